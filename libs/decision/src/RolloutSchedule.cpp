// Piecewise linear in the part of the deadline that has passed.
#include <decision/RolloutSchedule.h>

#include <base/Hash.h>

#include <algorithm>

namespace basilnotch {

namespace {

double passed(const RolloutState &state, Duration elapsed)
{
    return state.deadline > Duration::zero() ? toSeconds(elapsed) / toSeconds(state.deadline) : 1;
}

} // namespace

std::vector<std::string> RolloutState::closedVersions() const
{
    std::vector<std::string> closed = this->abandoned;
    if (this->phase != RolloutPhase::Completed) {
        closed.push_back(this->toVersion);
    }
    return closed;
}

double rolloutShare(const RolloutState &state, Duration elapsed, double exposureShare,
                    const RolloutScheduleOptions &options)
{
    if (state.phase != RolloutPhase::InProgress) {
        return state.phase == RolloutPhase::Completed ? 1 : 0;
    }
    const double part = passed(state, elapsed);
    if (part < options.canaryUntil) {
        return options.canaryPart * exposureShare;
    }
    const double width = std::max(options.rampUntil - options.canaryUntil, 1e-6);
    const double along = std::min(1.0, (part - options.canaryUntil) / width);
    return options.rampStart + (1 - options.rampStart) * along;
}

bool mayComplete(const RolloutState &state, Duration elapsed, const RolloutScheduleOptions &options)
{
    return state.phase == RolloutPhase::InProgress
        && passed(state, elapsed) >= options.completeFrom;
}

bool keepsSessions(const RolloutState &state, Duration elapsed,
                   const RolloutScheduleOptions &options)
{
    return state.phase == RolloutPhase::InProgress && passed(state, elapsed) < options.canaryUntil;
}

bool fallsOnNew(std::string_view key, double share)
{
    constexpr std::uint64_t kSeed = 0x726f6c6c;       // Independent of other uses of the hash.
    constexpr double kRange = 18446744073709551616.0; // 2^64
    return static_cast<double>(hash64(key, kSeed)) / kRange < share;
}

std::string_view phaseName(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::InProgress:
        return "in progress";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::Reverted:
        return "reverted";
    }
    return "unknown";
}

} // namespace basilnotch
