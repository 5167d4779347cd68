// Updates carry a sequence number per instance, so that they may arrive in any order.
#include <decision/PrefillBacklog.h>

#include <base/Hash.h>

#include <algorithm>

namespace basilnotch {

PrefillBacklog::PrefillBacklog(PrefillBacklogOptions options, std::uint32_t instance,
                               const Clock &clock)
    : options(options)
    , instance(instance)
    , clock(clock)
{ }

std::uint32_t PrefillBacklog::engineKey(const UpstreamRecord &upstream)
{
    return static_cast<std::uint32_t>(
        hash64(upstream.id, static_cast<std::uint64_t>(upstream.bornMs)));
}

void PrefillBacklog::onSent(std::uint32_t upstream, Duration work)
{
    this->local[upstream].work += work;
}

void PrefillBacklog::onPrefilled(std::uint32_t upstream, Duration work)
{
    Duration &left = this->local[upstream].work;
    left = std::max(left - work, Duration::zero());
}

bool PrefillBacklog::applyUpdate(const BacklogUpdate &update)
{
    if (update.instance == this->instance) {
        return false;
    }
    std::vector<RemoteWork> &remotes = this->remote[update.upstream];
    const auto known = std::find_if(remotes.begin(), remotes.end(), [&](const RemoteWork &entry) {
        return entry.instance == update.instance;
    });
    const TimePoint now = this->clock.now();
    if (known == remotes.end()) {
        remotes.push_back({update.instance, update.number, update.work, now});
        return true;
    }
    if (update.number <= known->number) {
        return false;
    }
    *known = {update.instance, update.number, update.work, now};
    return true;
}

bool PrefillBacklog::isReportDue(const LocalWork &local, TimePoint now) const
{
    const bool isKnown = local.reportedWork > Duration::zero();
    if (local.work == Duration::zero()) {
        return isKnown;
    }
    const Duration change = local.work > local.reportedWork ? local.work - local.reportedWork
                                                            : local.reportedWork - local.work;
    return change >= this->options.minReportedChange
        || (isKnown && now - local.reportedAt >= this->options.refreshInterval);
}

std::vector<BacklogUpdate> PrefillBacklog::takeUpdates()
{
    const TimePoint now = this->clock.now();
    std::vector<BacklogUpdate> updates;
    for (auto &[upstream, local] : this->local) {
        if (this->isReportDue(local, now)) {
            local.reportedWork = local.work;
            local.reportedAt = now;
            updates.push_back({this->instance, upstream, ++this->lastNumber, local.work});
        }
    }
    std::erase_if(this->local, [](const auto &item) {
        return item.second.work == Duration::zero() && item.second.reportedWork == Duration::zero();
    });
    return updates;
}

Duration PrefillBacklog::pendingWork(std::uint32_t upstream) const
{
    Duration sum{};
    if (const auto found = this->local.find(upstream); found != this->local.end()) {
        sum += found->second.work;
    }
    const auto remotes = this->remote.find(upstream);
    if (remotes != this->remote.end()) {
        for (const RemoteWork &entry : remotes->second) {
            sum += entry.work;
        }
    }
    return sum;
}

void PrefillBacklog::expire()
{
    const TimePoint oldest = this->clock.now() - this->options.remoteTimeout;
    for (auto &[upstream, remotes] : this->remote) {
        std::erase_if(remotes, [&](const RemoteWork &entry) { return entry.receivedAt < oldest; });
    }
    std::erase_if(this->remote, [](const auto &item) { return item.second.empty(); });
}

} // namespace basilnotch
