// Share of the traffic of a service that goes to a new version during a roll-out. All instances
// compute the same share from the same order, so the steps need no messages.
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

enum class RolloutPhase {
    InProgress,
    Completed, ///< All work goes to the new version; the old upstreams may stop.
    Reverted,  ///< The new version gets no work.
};

/// Stored state of a roll-out. The phase only changes from InProgress to one of the others.
struct RolloutState
{
    std::string service;
    std::string toVersion;
    std::uint64_t order = 0; ///< Version of the operator's record that ordered the roll-out.
    RolloutPhase phase = RolloutPhase::InProgress;
    Duration startedAt{}; ///< Time of the store's clock.
    Duration deadline{};  ///< Time allowed, from the start.
    /// Time of the store's clock at which the new version was approved. Until then it gets no more
    /// than the canary's share, also after the deadline.
    std::optional<Duration> approvedAt;
    /// Versions of earlier roll-outs that were not completed. They get no work, though their
    /// upstreams may still exist.
    std::vector<std::string> abandoned;

    /// Versions that get no work except for requests assigned to the new version.
    std::vector<std::string> blockedVersions() const;
};

struct RolloutScheduleOptions
{
    /// Fraction of the time to the deadline during which sessions stay on the old version.
    /// Operators require one half.
    double sessionsStayUntil = 0.5;
    /// A version that fails only under load shows no failures while its share is small. The share
    /// therefore grows as late as leaves time to complete, so that the exposure to an undetected
    /// bad version stays within what operators accept.
    double approveFrom = 0.92;
    double rampFrom = 0.93;
    double rampUntil = 0.95;
    /// Leaves half a second of a short roll-out for the commit to a slow store.
    double completeFrom = 0.965;
    /// Fraction of the exposure accepted by operators that the schedule uses.
    double exposureFraction = 0.9;
    /// Minimum fraction of the accepted exposure that the new version gets while sessions stay.
    /// Only requests without a session reach it then, so the rest is reserved for the time when all
    /// requests may.
    double minCanaryFraction = 0.2;
};

/// Share of the canary at `elapsedFraction` of the deadline. `acceptedExposure` is the fraction of
/// the service's requests during a roll-out that operators accept to send to a version that turns
/// out bad. The part of it that the ramp does not need is spent before the ramp, most of it after
/// sessions may move.
double canaryShare(double acceptedExposure, double elapsedFraction,
                   const RolloutScheduleOptions &options = {});

/// True once the new version may be approved. Not sooner, as a version may turn bad later.
bool mayApprove(const RolloutState &state, Duration elapsed,
                const RolloutScheduleOptions &options = {});

/// Share of new work for the new version at `elapsed` since the start, in [0, 1]. It never falls
/// while the phase is InProgress.
double rolloutShare(const RolloutState &state, Duration elapsed, double acceptedExposure,
                    const RolloutScheduleOptions &options = {});

/// True once the roll-out may complete: the new version was approved and gets all work.
bool mayComplete(const RolloutState &state, Duration elapsed,
                 const RolloutScheduleOptions &options = {});

/// Time from the start of the ramp until the roll-out may complete.
Duration rampTime(const RolloutState &state, const RolloutScheduleOptions &options = {});

/// True while sessions of the old version have to stay there.
bool keepsSessions(const RolloutState &state, Duration elapsed,
                   const RolloutScheduleOptions &options = {});

/// True if `key` is assigned to the new version at `share`. The result is the same on every
/// instance, and a growing share only adds keys.
bool routesToNewVersion(std::string_view key, double share);

std::string_view phaseName(RolloutPhase phase);

} // namespace basilnotch
