// Notices of upstreams that have exited are dropped when their retention is over.
#include <decision/UpstreamNotices.h>

#include <algorithm>

namespace basilnotch {

namespace {

/// Longer than any upstream takes to exit.
constexpr Duration kLeavingRetention = std::chrono::minutes(10);

} // namespace

void UpstreamNotices::add(const UpstreamRecord &upstream, TimePoint until)
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->notices, [now](const auto &item) { return item.second.until <= now; });
    Notice &notice = this->notices[upstream.id];
    const bool isSameIncarnation = notice.bornMs == upstream.bornMs;
    notice = {upstream.bornMs, isSameIncarnation ? std::max(notice.until, until) : until};
}

void UpstreamNotices::onLeaving(const UpstreamRecord &upstream)
{
    this->add(upstream, this->clock.now() + kLeavingRetention);
}

bool UpstreamNotices::acceptsRequests(const UpstreamRecord &upstream) const
{
    const auto found = this->notices.find(upstream.id);
    return found == this->notices.end() || found->second.bornMs != upstream.bornMs
        || found->second.until <= this->clock.now();
}

} // namespace basilnotch
