// Quota of requests that a new version gets at the start of a roll-out, in addition to its share of
// the traffic.
//
// On a service with few requests, a share of a few percent gives too few answers in the first half
// of a roll-out to detect a bad version, and when there are enough, the store may be unavailable
// and the hold cannot be stored. Operators accept a number of requests beyond the share; this quota
// spends a part of it early.
#pragma once

#include <base/Clock.h>
#include <decision/RolloutSchedule.h>

#include <cstdint>
#include <map>
#include <string>

namespace basilnotch {

struct RolloutInitialQuotaOptions
{
    /// Fraction of the accepted requests beyond the share. The rest is a reserve for instances that
    /// start during the initial period, as they do not know what they have sent before.
    double slackFraction = 0.5;
    /// Fraction of the roll-out's deadline over which the requests are spread. Sent all at once
    /// they would queue at the few upstreams of the new version and appear slow.
    double durationFraction = 0.15;
};

/// State of one instance; not thread-safe.
class RolloutInitialQuota
{
public:
    /// `instance` seeds the hash that selects the instances whose fractional quota is rounded up.
    RolloutInitialQuota(RolloutInitialQuotaOptions options, std::uint64_t instance)
        : options(options)
        , instance(instance)
    { }

    /// True during the initial period; cheap enough to be checked for every request.
    bool isActive(const RolloutState &state, Duration elapsed) const;
    /// Takes one request out of the quota for the new version of `state`, at `elapsed` since its
    /// start. Returns false if this instance has used its part of `slack` up to now, or if the
    /// initial period is over.
    bool tryAcquire(const RolloutState &state, Duration elapsed, double slack, int liveInstances);

private:
    struct AcquiredCount
    {
        std::uint64_t order = 0;
        int count = 0;
    };

    Duration duration(const RolloutState &state) const;
    /// Number of requests that this instance may take in total.
    int quota(std::uint64_t order, double slack, int liveInstances) const;

    const RolloutInitialQuotaOptions options;
    const std::uint64_t instance;
    std::map<std::string, AcquiredCount> byService; ///< Latest roll-out of each service.
};

} // namespace basilnotch
