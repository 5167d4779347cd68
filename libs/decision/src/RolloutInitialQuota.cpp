// A quota that is no whole number is rounded up at as many instances as its fraction says.
#include <decision/RolloutInitialQuota.h>

#include <base/Hash.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

int RolloutInitialQuota::quota(std::uint64_t order, double slack, int liveInstances) const
{
    constexpr double kRange = 18446744073709551616.0; // 2^64
    const double each = this->options.slackPart * slack / std::max(1, liveInstances);
    const double place =
        static_cast<double>(hash64(std::to_string(order), this->instance)) / kRange;
    return static_cast<int>(std::floor(each + place));
}

Duration RolloutInitialQuota::length(const RolloutState &state) const
{
    return fromSeconds(this->options.lasts * toSeconds(state.deadline));
}

bool RolloutInitialQuota::isActive(const RolloutState &state, Duration elapsed) const
{
    return state.phase == RolloutPhase::InProgress && elapsed >= Duration::zero()
        && elapsed < this->length(state);
}

bool RolloutInitialQuota::tryAcquire(const RolloutState &state, Duration elapsed, double slack,
                                     int liveInstances)
{
    if (!this->isActive(state, elapsed)) {
        return false;
    }
    Taken &taken = this->byService[state.service];
    if (taken.order != state.order) {
        taken = {state.order, 0};
    }
    const int most = this->quota(state.order, slack, liveInstances);
    const double due = most * toSeconds(elapsed) / toSeconds(this->length(state));
    if (taken.count >= most || taken.count > due) {
        return false;
    }
    ++taken.count;
    return true;
}

} // namespace basilnotch
