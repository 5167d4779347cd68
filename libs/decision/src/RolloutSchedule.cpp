// The new version's share of a service's new work is a piecewise linear function of the elapsed
// fraction of the time from the start of the roll-out to its deadline.
#include <decision/RolloutSchedule.h>

#include <base/Hash.h>

#include <algorithm>

namespace basilnotch {

namespace {

double fractionElapsed(const RolloutState &state, Duration elapsed)
{
    return state.deadline > Duration::zero() ? toSeconds(elapsed) / toSeconds(state.deadline) : 1;
}

/// Fraction of the time to the deadline at which the ramp starts; empty while it must not.
std::optional<double> rampStart(const RolloutState &state, const RolloutScheduleOptions &options)
{
    if (!state.approvedAt) {
        return std::nullopt;
    }
    if (state.deadline <= Duration::zero()) {
        return 0; // It has no length.
    }
    return std::max(options.rampFrom, fractionElapsed(state, *state.approvedAt - state.startedAt));
}

} // namespace

std::vector<std::string> RolloutState::blockedVersions() const
{
    std::vector<std::string> blocked = this->abandoned;
    if (this->phase != RolloutPhase::Completed) {
        blocked.push_back(this->toVersion);
    }
    return blocked;
}

double canaryShare(double acceptedExposure, double elapsedFraction,
                   const RolloutScheduleOptions &options)
{
    const double least = options.minCanaryFraction * acceptedExposure;
    if (elapsedFraction < options.sessionsStayUntil) {
        return least;
    }
    // Solves for the share between sessionsStayUntil and rampFrom at which the mean share over the
    // whole roll-out is exposureFraction of the accepted exposure. `late` is the part of that mean
    // from the ramp and the full share after it.
    const double ramp = (options.rampUntil - options.rampFrom) / 2;
    const double late = ramp + 1 - options.rampUntil;
    const double left =
        options.exposureFraction * acceptedExposure - late - least * options.sessionsStayUntil;
    return std::max(least, left / (options.rampFrom - options.sessionsStayUntil));
}

double rolloutShare(const RolloutState &state, Duration elapsed, double acceptedExposure,
                    const RolloutScheduleOptions &options)
{
    if (state.phase != RolloutPhase::InProgress) {
        return state.phase == RolloutPhase::Completed ? 1 : 0;
    }
    const double elapsedFraction = fractionElapsed(state, elapsed);
    const double canary = canaryShare(acceptedExposure, elapsedFraction, options);
    const std::optional<double> start = rampStart(state, options);
    if (!start || elapsedFraction < *start) {
        return canary;
    }
    const double width = std::max(options.rampUntil - options.rampFrom, 1e-6);
    const double along = std::min(1.0, (elapsedFraction - *start) / width);
    return canary + (1 - canary) * along;
}

bool mayApprove(const RolloutState &state, Duration elapsed, const RolloutScheduleOptions &options)
{
    return state.phase == RolloutPhase::InProgress
        && fractionElapsed(state, elapsed) >= options.approveFrom;
}

bool mayComplete(const RolloutState &state, Duration elapsed, const RolloutScheduleOptions &options)
{
    const std::optional<double> start = rampStart(state, options);
    return state.phase == RolloutPhase::InProgress && start
        && fractionElapsed(state, elapsed) >= *start + options.completeFrom - options.rampFrom;
}

Duration rampTime(const RolloutState &state, const RolloutScheduleOptions &options)
{
    return fromSeconds((options.completeFrom - options.rampFrom) * toSeconds(state.deadline));
}

bool keepsSessions(const RolloutState &state, Duration elapsed,
                   const RolloutScheduleOptions &options)
{
    return state.phase == RolloutPhase::InProgress
        && fractionElapsed(state, elapsed) < options.sessionsStayUntil;
}

bool routesToNewVersion(std::string_view key, double share)
{
    constexpr std::uint64_t kSeed = 0x726f6c6c; // Makes the hash independent of its other uses.
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
