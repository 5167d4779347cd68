// Aggregates the outcome counts of all instances and derives roll-out holds and the cascade plan.
#pragma once

#include "Observations.h"

#include <decision/CascadePlanner.h>
#include <membership/Gossip.h>
#include <platform/TableService.h>
#include <telemetry/Metrics.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace basilnotch {

/// Control thread only.
class OutcomeAggregator
{
public:
    OutcomeAggregator(std::string self, Gossip &gossip, TableService &table, const Clock &clock,
                      Metrics &metrics);

    void observe(const Observation &observation);
    /// Applies the counts and holds received from other instances.
    void applyRumors();
    /// Gossips this instance's version counts that have changed.
    void publishCounts();
    /// Gossips this instance's quality counts if they have changed.
    void publishQuality();
    /// Checks the roll-outs in `rules` for regressions; true if a hold was added.
    bool evaluateRollouts(const Rules &rules);
    /// Reads stored holds from the table. Blocks the calling fiber.
    absl::Status loadRolloutHolds();
    /// Writes holds that are not in the table yet; failed writes are retried by the next call.
    /// Blocks the calling fiber.
    void storeRolloutHolds();
    CascadePlan plan(const Rules &rules) const;

    /// Keys of held roll-outs; see RolloutRule::key().
    const std::set<std::string> &heldRollouts() const { return this->heldRolloutKeys; }
    QualityStats::Table qualityTotals() const { return this->quality.totals(); }
    /// False for some seconds after the rating service did not respond, unless a rating arrives.
    bool ratingsAvailable() const;

private:
    void holdRollout(const std::string &key, const std::string &reason);
    VersionCounts totals(const ModelVersion &version) const;

    const std::string self;
    Gossip &gossip;
    TableService &table;
    const Clock &clock;
    QualityStats quality;
    std::map<ModelVersion, VersionCounts> ownCounts;
    std::map<ModelVersion, std::map<std::string, VersionCounts>> peerCounts; ///< By instance.
    std::map<std::string, std::uint64_t> publishedVersions;      ///< Last gossiped, by rumor name.
    std::map<RumorId, std::uint64_t> appliedVersions;            ///< Last applied version by rumor.
    std::map<std::string, std::unique_ptr<RolloutGuard>> guards; ///< By RolloutRule::key().
    std::set<std::string> heldRolloutKeys;
    std::map<std::string, std::string> unstoredHolds; ///< Key -> reason.
    CascadePlanner planner{PlannerOptions{}};
    std::optional<TimePoint> ratingsFailedAt;
    Counter &holds;
};

} // namespace basilnotch
