// Counts of all instances and what follows from them: holds of roll-outs and the cascade plan.
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
    /// Takes the other instances' counts and holds.
    void applyRumors();
    /// Tells the own counts of versions that have changed.
    void tell();
    /// Tells the own quality counts, if they have changed.
    void tellQuality();
    /// Feeds the guards of the roll-outs in `rules`; true when a hold was added.
    bool judge(const Rules &rules);
    /// Reads the holds of earlier processes. Blocks the calling fiber.
    absl::Status loadHolds();
    /// Writes holds that are not in the table yet. Blocks the calling fiber.
    void storeHolds();
    CascadePlan plan(const Rules &rules) const;

    const std::set<std::string> &held() const { return this->heldKeys; }
    QualityStats::Table qualityTotals() const { return this->quality.totals(); }
    bool ratingsAvailable() const;

private:
    void hold(const std::string &key, const std::string &reason);
    VersionCounts totals(const ModelVersion &version) const;

    const std::string self;
    Gossip &gossip;
    TableService &table;
    const Clock &clock;
    QualityStats quality;
    std::map<ModelVersion, VersionCounts> own;
    std::map<ModelVersion, std::map<std::string, VersionCounts>> others; ///< By instance.
    std::map<std::string, std::uint64_t> toldVersions; ///< Rumor name -> last version told.
    std::map<RumorId, std::uint64_t> takenVersions;    ///< Of the rumors that were decoded last.
    std::map<std::string, std::unique_ptr<RolloutGuard>> guards; ///< By RolloutRule::key().
    std::set<std::string> heldKeys;
    std::map<std::string, std::string> unstoredHolds; ///< Key -> reason.
    CascadePlanner planner{PlannerOptions{}};
    std::optional<TimePoint> ratingsDownAt;
    Counter &holds;
};

} // namespace basilnotch
