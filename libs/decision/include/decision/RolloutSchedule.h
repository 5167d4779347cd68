// How much of a service's traffic goes to a new version while its roll-out is under way. All
// instances compute the same share from the same order, so the steps need no messages.
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

enum class RolloutPhase {
    InProgress,
    Completed, ///< All work goes to the new version; the old upstreams may stop.
    Reverted,  ///< No work goes to the new version.
};

/// A roll-out as it is stored: phases only move forward, from InProgress to one of the others.
struct RolloutState
{
    std::string service;
    std::string toVersion;
    std::uint64_t order = 0; ///< Version of the operator's record that asked for it.
    RolloutPhase phase = RolloutPhase::InProgress;
    Duration startedAt{}; ///< By the store's clock.
    Duration deadline{};  ///< From the start.
    /// Versions of earlier roll-outs that were not completed: they get no work, though their
    /// upstreams may still be there.
    std::vector<std::string> abandoned;

    /// Versions that no work may go to unless it falls on the new one.
    std::vector<std::string> closedVersions() const;
};

struct RolloutScheduleOptions
{
    /// Sessions stay where they are until half of the time has passed, as operators ask.
    double sessionsStayUntil = 0.5;
    /// A version that fails only under load shows nothing while its share is small, so the share
    /// grows as late as leaves time to complete: what a roll-out loses to a bad version that nobody
    /// noticed stays within what operators accept.
    double rampFrom = 0.93;
    double rampUntil = 0.95;
    /// Leaves a slow store half a second of a short roll-out for the commit.
    double completeFrom = 0.965;
    double exposurePart = 0.9; ///< Of the exposure that operators accept, which is planned for.
    /// Of that exposure, which the new version gets while sessions stay, at least: only requests
    /// without a session come to it then, so the rest is kept for the time when all may.
    double leastCanaryPart = 0.2;
};

/// Share of the canary at `part` of the time: what is left of the accepted exposure by the time
/// after the ramp, most of it after sessions may move.
double canaryShare(double exposureShare, double part, const RolloutScheduleOptions &options = {});

/// Share of new work for the new version at `elapsed` since the start, between 0 and 1. Never falls
/// while the phase is InProgress.
double rolloutShare(const RolloutState &state, Duration elapsed, double exposureShare,
                    const RolloutScheduleOptions &options = {});

/// True when the old version is no longer needed, if the new one is good.
bool mayComplete(const RolloutState &state, Duration elapsed,
                 const RolloutScheduleOptions &options = {});

/// True while a session that is known to the old version must stay there.
bool keepsSessions(const RolloutState &state, Duration elapsed,
                   const RolloutScheduleOptions &options = {});

/// Which side of a share `key` falls on, the same on every instance: true for the new version.
bool routesToNewVersion(std::string_view key, double share);

std::string_view phaseName(RolloutPhase phase);

} // namespace basilnotch
