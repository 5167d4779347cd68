// A fractional quota is rounded up on a fraction of the instances, so that the total is met on
// average.
#include <decision/RolloutInitialQuota.h>

#include <base/Hash.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

int RolloutInitialQuota::quota(std::uint64_t order, double slack, int liveInstances) const
{
    constexpr double kRange = 18446744073709551616.0; // 2^64
    const double perInstance = this->options.slackFraction * slack / std::max(1, liveInstances);
    const double position =
        static_cast<double>(hash64(std::to_string(order), this->instance)) / kRange;
    return static_cast<int>(std::floor(perInstance + position));
}

Duration RolloutInitialQuota::duration(const RolloutState &state) const
{
    return fromSeconds(this->options.durationFraction * toSeconds(state.deadline));
}

bool RolloutInitialQuota::isActive(const RolloutState &state, Duration elapsed) const
{
    return state.phase == RolloutPhase::InProgress && elapsed >= Duration::zero()
        && elapsed < this->duration(state);
}

bool RolloutInitialQuota::tryAcquire(const RolloutState &state, Duration elapsed, double slack,
                                     int liveInstances)
{
    if (!this->isActive(state, elapsed)) {
        return false;
    }
    AcquiredCount &acquired = this->byService[state.service];
    if (acquired.order != state.order) {
        acquired = {state.order, 0};
    }
    const int limit = this->quota(state.order, slack, liveInstances);
    const double due = limit * toSeconds(elapsed) / toSeconds(this->duration(state));
    if (acquired.count >= limit || acquired.count > due) {
        return false;
    }
    ++acquired.count;
    return true;
}

} // namespace basilnotch
