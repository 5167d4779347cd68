// The lease on a pool of model engines and the orders of its holder.
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

/// A lease row. `fence` only grows: each new holder takes the next number.
struct LeaseRow
{
    std::string holder;
    std::uint64_t fence = 0;
};

/// Holding of one pool as far as this instance knows. Invariant: it gives orders only while
/// `mayOrder(now)`, which ends a margin before others may take the lease.
class PoolLease
{
public:
    PoolLease(std::string pool, std::string self, const TimingSettings &timing,
              bool allCheckFencing);

    /// Takes or renews the lease if that is due. Blocks the calling fiber.
    void keep(TableService &table, const Clock &clock);
    bool mayOrder(TimePoint now) const;
    std::uint64_t fence() const { return this->row.fence; }
    const std::string &holder() const { return this->row.holder; }

private:
    void tryWrite(TableService &table, const Clock &clock, std::uint64_t expectedVersion,
                  std::uint64_t fence);
    Duration takeOverAfter() const;

    const std::string key;
    const std::string self;
    const TimingSettings timing;
    const bool allCheckFencing; ///< Every engine of the pool refuses old fencing numbers.
    LeaseRow row;
    std::uint64_t rowVersion = 0;
    TimePoint versionSeenAt; ///< When this instance first saw `rowVersion`, on its own clock.
    TimePoint heldUntil;     ///< Counted from before the write that took or renewed it.
    bool held = false;
};

/// Control thread only.
class PoolController
{
public:
    PoolController(const Settings &settings, std::string incarnation, TableService &table,
                   UpstreamPoller &poller, const Clock &clock, Metrics &metrics);

    /// Keeps the leases and gives the orders that are due. Blocks the calling fiber.
    void round(const Rules &rules);

private:
    void orderPool(const std::string &pool, PoolLease &lease, const Rules &rules);

    const Settings &settings;
    TableService &table;
    UpstreamPoller &poller;
    const Clock &clock;
    std::map<std::string, PoolLease, std::less<>> leases;
    Counter &orders;
    Counter &ordersRefused;
};

/// Versions that an engine should hold by `rules`: the current version of each of its models, both
/// sides of a roll-out, and nothing withdrawn. Versions that are pinned by sessions stay loaded
/// until they are withdrawn, so everything in the catalogue that is `loaded` and valid is kept.
std::vector<ModelVersion> wantedVersions(const Rules &rules, const std::vector<std::string> &models,
                                         const std::vector<ModelVersion> &loaded);

} // namespace basilnotch
