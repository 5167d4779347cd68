// Rendezvous hashing over the live members assigns two pollers to each upstream. Every upstream is
// still polled if one instance fails, and the polling load does not grow with the number of
// instances.
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
                               LoadReportHandler onLoadReport)
    : runtime(runtime)
    , settings(settings)
    , gossip(gossip)
    , clock(clock)
    , onLoadReport(std::move(onLoadReport))
    , statuses(settings.upstreams.size())
    , pollInProgress(settings.upstreams.size(), false)
    , rumorVersions(settings.upstreams.size(), 0)
    , polls(metrics.counter("upstream_polls_total"))
    , pollFailures(metrics.counter("upstream_poll_failures_total"))
{
    for (const UpstreamSettings &upstream : settings.upstreams) {
        if (!this->adapters.contains(upstream.kind)) {
            this->adapters[upstream.kind] =
                UpstreamAdapterRegistry::instance().make(upstream.kind, {&client, &clock});
        }
    }
}

UpstreamAdapter &UpstreamPoller::adapter(UpstreamIndex upstream)
{
    return *this->adapters.at(this->settings.upstreams[static_cast<std::size_t>(upstream)].kind);
}

bool UpstreamPoller::isAssignedToSelf(const UpstreamSettings &upstream,
                                      const std::vector<std::string> &names) const
{
    std::vector<std::string> remaining = names;
    for (int rank = 0; rank < kPollersPerUpstream && !remaining.empty(); ++rank) {
        const std::size_t owner = rendezvousOwner(upstream.name, remaining);
        if (remaining[owner] == this->settings.name) {
            return true;
        }
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(owner));
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
        if (!this->pollInProgress[index]
            && this->isAssignedToSelf(this->settings.upstreams[index], names)) {
            this->pollInProgress[index] = true;
            this->runtime.spawn([this, index] {
                this->poll(static_cast<UpstreamIndex>(index));
                this->pollInProgress[index] = false;
            });
        }
    }
}

void UpstreamPoller::poll(UpstreamIndex index)
{
    const UpstreamSettings &upstream = this->settings.upstreams[static_cast<std::size_t>(index)];
    this->polls.add();
    const auto polled = this->adapter(index).pollLoad(upstream);
    if (!polled.ok()) {
        this->pollFailures.add();
        return;
    }
    this->updateStatus(index, polled->report, polled->loading, polled->cacheEvents);
    // The version orders the reports of different pollers. Wall clocks are close enough for that,
    // and a wrong order only makes a report slightly older.
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

void UpstreamPoller::updateStatus(UpstreamIndex index, const LoadReport &report, int loading,
                                  const std::vector<CacheEvent> &events)
{
    UpstreamStatus &status = this->statuses[static_cast<std::size_t>(index)];
    if (status.known && report.measuredAt < status.report.measuredAt) {
        return;
    }
    status = {report, loading, true};
    this->onLoadReport(index, report, events);
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
            this->updateStatus(static_cast<UpstreamIndex>(index), *report,
                               this->statuses[index].loading, {});
        }
    }
    this->gossip.store().forEach(RumorKind::UpstreamLeaving, [&](const Rumor &rumor) {
        for (std::size_t index = 0; index < this->settings.upstreams.size(); ++index) {
            UpstreamStatus &status = this->statuses[index];
            if (this->settings.upstreams[index].name == rumor.id.name && !status.report.leaving) {
                status.report.leaving = true;
                this->onLoadReport(static_cast<UpstreamIndex>(index), status.report, {});
            }
        }
    });
}

} // namespace basilnotch
