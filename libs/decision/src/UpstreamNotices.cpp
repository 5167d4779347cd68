// Notices of upstreams that have exited are dropped when their retention is over.
#include <decision/UpstreamNotices.h>

#include <algorithm>

namespace basilnotch {

namespace {

/// Longer than any upstream takes to exit, and than any pause.
constexpr Duration kLeavingRetention = std::chrono::minutes(10);

} // namespace

void UpstreamNotices::add(const UpstreamRecord &upstream, Notice notice)
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->notices, [now](const auto &item) { return item.second.until <= now; });
    const Notice *known = this->find(upstream);
    if (!known || known->until < notice.until) {
        this->notices[upstream.id] = notice;
    }
}

const UpstreamNotices::Notice *UpstreamNotices::find(const UpstreamRecord &upstream) const
{
    const auto found = this->notices.find(upstream.id);
    const bool holds = found != this->notices.end() && found->second.bornMs == upstream.bornMs
        && found->second.until > this->clock.now();
    return holds ? &found->second : nullptr;
}

void UpstreamNotices::onLeaving(const UpstreamRecord &upstream)
{
    this->add(upstream, {upstream.bornMs, this->clock.now() + kLeavingRetention, true});
}

void UpstreamNotices::onPauseRequested(const UpstreamRecord &upstream, Duration pause)
{
    this->add(upstream, {upstream.bornMs, this->clock.now() + std::min(pause, kMaxPause), false});
}

bool UpstreamNotices::acceptsRequests(const UpstreamRecord &upstream) const
{
    return this->find(upstream) == nullptr;
}

std::optional<Duration> UpstreamNotices::pauseLeft(const UpstreamRecord &upstream) const
{
    const Notice *notice = this->find(upstream);
    return notice && !notice->isLeaving ? std::optional(notice->until - this->clock.now())
                                        : std::nullopt;
}

} // namespace basilnotch
