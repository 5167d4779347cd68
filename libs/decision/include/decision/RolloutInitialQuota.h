// The first requests of a new version, which come to it beyond its share of the traffic.
//
// Answers the pattern of a bad version on a service with few requests: a share of some hundredths
// brings a handful of answers in the first half of a roll-out, too few to tell, and by the time
// there are enough the store may be away and the hold cannot be written down. Operators accept a
// number of requests beyond the share; some of them come first.
#pragma once

#include <base/Clock.h>
#include <decision/RolloutSchedule.h>

#include <cstdint>
#include <map>
#include <string>

namespace basilnotch {

struct RolloutInitialQuotaOptions
{
    /// Of the requests that operators accept beyond the share. The rest is for instances that start
    /// during the opening, which do not know what they sent before.
    double slackPart = 0.5;
    /// Part of a roll-out's time over which they are spread: at once they would queue at the few
    /// new upstreams that take them, and look slow.
    double lasts = 0.15;
};

/// One instance, one thread.
class RolloutInitialQuota
{
public:
    /// `instance` says which instances take one more when they cannot all take the same number.
    RolloutInitialQuota(RolloutInitialQuotaOptions options, std::uint64_t instance)
        : options(options)
        , instance(instance)
    { }

    /// True while the first requests may still come; cheap, for requests that are not among them.
    bool isActive(const RolloutState &state, Duration elapsed) const;
    /// Takes one request for the new version of `state` at `elapsed` since its start; false when
    /// this instance has taken its part of `slack` requests by now, or the opening is over.
    bool tryAcquire(const RolloutState &state, Duration elapsed, double slack, int liveInstances);

private:
    struct Taken
    {
        std::uint64_t order = 0;
        int count = 0;
    };

    Duration length(const RolloutState &state) const;
    /// How many requests this instance takes in all.
    int quota(std::uint64_t order, double slack, int liveInstances) const;

    const RolloutInitialQuotaOptions options;
    const std::uint64_t instance;
    std::map<std::string, Taken> byService; ///< Of the latest roll-out of each.
};

} // namespace basilnotch
