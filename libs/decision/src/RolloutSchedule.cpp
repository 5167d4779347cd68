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

double canaryShare(double exposureShare, double part, const RolloutScheduleOptions &options)
{
    const double least = options.leastCanaryPart * exposureShare;
    if (part < options.sessionsStayUntil) {
        return least;
    }
    const double ramp = (options.rampUntil - options.rampFrom) / 2;
    const double late = ramp + 1 - options.rampUntil;
    const double left =
        options.exposurePart * exposureShare - late - least * options.sessionsStayUntil;
    return std::max(least, left / (options.rampFrom - options.sessionsStayUntil));
}

double rolloutShare(const RolloutState &state, Duration elapsed, double exposureShare,
                    const RolloutScheduleOptions &options)
{
    if (state.phase != RolloutPhase::InProgress) {
        return state.phase == RolloutPhase::Completed ? 1 : 0;
    }
    const double part = passed(state, elapsed);
    const double canary = canaryShare(exposureShare, part, options);
    if (part < options.rampFrom) {
        return canary;
    }
    const double width = std::max(options.rampUntil - options.rampFrom, 1e-6);
    const double along = std::min(1.0, (part - options.rampFrom) / width);
    return canary + (1 - canary) * along;
}

bool mayComplete(const RolloutState &state, Duration elapsed, const RolloutScheduleOptions &options)
{
    return state.phase == RolloutPhase::InProgress
        && passed(state, elapsed) >= options.completeFrom;
}

bool keepsSessions(const RolloutState &state, Duration elapsed,
                   const RolloutScheduleOptions &options)
{
    return state.phase == RolloutPhase::InProgress
        && passed(state, elapsed) < options.sessionsStayUntil;
}

bool routesToNewVersion(std::string_view key, double share)
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
