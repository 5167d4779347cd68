// Two pollers for each upstream, chosen by rendezvous hashing over the live members: one death
// leaves no upstream unseen, and the load of polling does not grow with the number of instances.
#include "UpstreamPoller.h"

#include "PeerPayloads.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr int kPollersPerUpstream = 2;

} // namespace

UpstreamPoller::UpstreamPoller(FiberRuntime &runtime, const Settings &settings, Gossip &gossip,
                               HttpClient &client, const Clock &clock, Metrics &metrics,
                               LoadReportHandler sink)
    : runtime(runtime)
    , settings(settings)
    , gossip(gossip)
    , clock(clock)
    , sink(std::move(sink))
    , views(settings.upstreams.size())
    , polling(settings.upstreams.size(), false)
    , rumorVersions(settings.upstreams.size(), 0)
    , polls(metrics.counter("upstream_polls_total"))
    , pollFailures(metrics.counter("upstream_poll_failures_total"))
{
    for (const UpstreamSettings &upstream : settings.upstreams) {
        if (!this->kinds.contains(upstream.kind)) {
            this->kinds[upstream.kind] =
                UpstreamAdapterRegistry::instance().make(upstream.kind, {&client, &clock});
        }
    }
}

UpstreamAdapter &UpstreamPoller::kind(UpstreamIndex upstream)
{
    return *this->kinds.at(this->settings.upstreams[static_cast<std::size_t>(upstream)].kind);
}

bool UpstreamPoller::isMine(const UpstreamSettings &upstream,
                            const std::vector<std::string> &names) const
{
    std::vector<std::string> left = names;
    for (int round = 0; round < kPollersPerUpstream && !left.empty(); ++round) {
        const std::size_t owner = rendezvousOwner(upstream.name, left);
        if (left[owner] == this->settings.name) {
            return true;
        }
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(owner));
    }
    return false;
}

void UpstreamPoller::pollRound()
{
    std::vector<std::string> names;
    for (const Member &member : readMembers(this->gossip.store())) {
        if (member.state != MemberState::Unknown) {
            names.push_back(member.name);
        }
    }
    for (std::size_t index = 0; index < this->settings.upstreams.size(); ++index) {
        if (!this->polling[index] && this->isMine(this->settings.upstreams[index], names)) {
            this->polling[index] = true;
            this->runtime.spawn([this, index] {
                this->poll(static_cast<UpstreamIndex>(index));
                this->polling[index] = false;
            });
        }
    }
}

void UpstreamPoller::poll(UpstreamIndex index)
{
    const UpstreamSettings &upstream = this->settings.upstreams[static_cast<std::size_t>(index)];
    this->polls.add();
    const auto polled = this->kind(index).pollLoad(upstream);
    if (!polled.ok()) {
        this->pollFailures.add();
        return;
    }
    this->take(index, polled->report, polled->loading, polled->cacheEvents);
    // The version orders reports of different pollers; instances' wall clocks are close enough for
    // that, and a wrong order only makes a report a little older.
    const auto version = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(this->clock.wallNow().time_since_epoch()).count());
    const Duration age = this->clock.now() - polled->report.measuredAt;
    this->rumorVersions[static_cast<std::size_t>(index)] = version;
    this->gossip.tell(
        {{RumorKind::UpstreamLoad, upstream.name}, version, encodeLoad(polled->report, age)});
    if (polled->report.leaving) {
        this->gossip.tell({{RumorKind::UpstreamLeaving, upstream.name}, 1, ""});
    }
}

void UpstreamPoller::take(UpstreamIndex index, const LoadReport &report, int loading,
                          const std::vector<CacheEvent> &events)
{
    UpstreamStatus &view = this->views[static_cast<std::size_t>(index)];
    if (view.known && report.measuredAt < view.report.measuredAt) {
        return;
    }
    view = {report, loading, true};
    this->sink(index, report, events);
}

void UpstreamPoller::applyRumors()
{
    const TimePoint now = this->clock.now();
    for (std::size_t index = 0; index < this->settings.upstreams.size(); ++index) {
        const Rumor *rumor = this->gossip.store().find(
            {RumorKind::UpstreamLoad, this->settings.upstreams[index].name});
        if (!rumor || rumor->version <= this->rumorVersions[index]) {
            continue;
        }
        this->rumorVersions[index] = rumor->version;
        const auto report = decodeLoad(rumor->payload, now);
        if (report.ok()) {
            this->take(static_cast<UpstreamIndex>(index), *report, this->views[index].loading, {});
        }
    }
    this->gossip.store().forEach(RumorKind::UpstreamLeaving, [&](const Rumor &rumor) {
        for (std::size_t index = 0; index < this->settings.upstreams.size(); ++index) {
            UpstreamStatus &view = this->views[index];
            if (this->settings.upstreams[index].name == rumor.id.name && !view.report.leaving) {
                view.report.leaving = true;
                this->sink(static_cast<UpstreamIndex>(index), view.report, {});
            }
        }
    });
}

} // namespace basilnotch
