// Leases on pools of model engines, and the orders that a lease holder sends to the engines.
#pragma once

#include "UpstreamPoller.h"

#include <base/Clock.h>
#include <platform/TableService.h>
#include <rules/Rules.h>
#include <settings/Settings.h>
#include <telemetry/Metrics.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basilnotch {

/// Table row of a lease. `fence` is the fencing number; each new holder increments it.
struct LeaseRow
{
    std::string holder;
    std::uint64_t fence = 0;
};

/// State of the lease on one pool, as known to this instance. Orders may be sent only while
/// `isValid(now)`, which ends a margin before another instance may take over the lease.
class PoolLease
{
public:
    PoolLease(std::string pool, std::string self, const TimingSettings &timing,
              bool allEnginesCheckFencing);

    /// Acquires or renews the lease if it is due. Blocks the calling fiber.
    void acquireOrRenew(TableService &table, const Clock &clock);
    bool isValid(TimePoint now) const;
    std::uint64_t fence() const { return this->row.fence; }
    const std::string &holder() const { return this->row.holder; }

private:
    void writeLease(TableService &table, const Clock &clock, std::uint64_t expectedVersion,
                    std::uint64_t fence);
    Duration takeoverDelay() const;

    const std::string key;
    const std::string self;
    const TimingSettings timing;
    const bool allEnginesCheckFencing; ///< Every engine of the pool rejects old fencing numbers.
    LeaseRow row;
    std::uint64_t rowVersion = 0;
    TimePoint versionSeenAt; ///< When this instance first saw `rowVersion`, on its own clock.
    TimePoint heldUntil;     ///< Based on the time before the write that acquired or renewed it.
    bool held = false;
};

/// Control thread only.
class PoolController
{
public:
    PoolController(const Settings &settings, std::string incarnation, TableService &table,
                   UpstreamPoller &poller, const Clock &clock, Metrics &metrics);

    /// Maintains the leases and sends the orders that are due. Blocks the calling fiber.
    void runRound(const Rules &rules);

private:
    void orderEngines(const std::string &pool, PoolLease &lease, const Rules &rules);

    const Settings &settings;
    TableService &table;
    UpstreamPoller &poller;
    const Clock &clock;
    std::map<std::string, PoolLease, std::less<>> leases;
    Counter &orders;
    Counter &ordersRefused;
};

/// Returns the versions that an engine should have loaded according to `rules`: the current version
/// of each of its models, both versions of a roll-out, and every `loaded` version that is in the
/// catalogue, because sessions may be pinned to it. Withdrawn versions are excluded.
std::vector<ModelVersion> wantedVersions(const Rules &rules, const std::vector<std::string> &models,
                                         const std::vector<ModelVersion> &loaded);

} // namespace basilnotch
