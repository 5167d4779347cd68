// Controls roll-outs: starts one when an operator orders it, reverts it when the new version is
// bad, approves the version when enough has been seen of it, and then completes it. Any instance
// may update the state record by compare-and-set. There is no lease; delays by rank only keep the
// instances from updating at the same time.
#pragma once

#include "AnswerReport.h"
#include "RolloutAggregator.h"
#include "SiteView.h"

#include <decision/CrashRateDetector.h>
#include <kernel/Site.h>
#include <membership/Gossip.h>
#include <replica/Replica.h>
#include <telemetry/EventLog.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

class FiberRuntime;

/// The table of basilnotch's own records.
inline constexpr char kInternalTable[] = "basilnotch";

/// Control thread only.
class RolloutController
{
public:
    RolloutController(FiberRuntime &runtime, RecordStore &store, const RecordCodec &recordCodec,
                      Gossip &gossip, PeerMessenger &peers, const Clock &clock, EventLog &log);

    /// Handles an operator's order; `version` is that of its record. Older orders are ignored.
    void onOrder(const RolloutOrder &order, RecordVersion version);
    /// Handles a record of kInternalTable; ignores records other than roll-out states.
    void onInternalRecord(const Record &record);
    /// Counts an answer, or publishes a crash of the upstream in gossip.
    void onAnswer(const AnswerReport &report);
    /// Evaluates all roll-outs and starts the updates that are due. `storeTime` is the time of the
    /// store's clock, if known.
    void tick(std::optional<Duration> storeTime, const UpstreamList &upstreams);
    /// The roll-outs by service. `held` is set when the new version is bad, when the roll-out has
    /// not begun, and while the store's time is unknown or the reports to the collectors are
    /// overdue.
    std::map<std::string, ActiveRollout, std::less<>>
    rollouts(std::optional<Duration> storeTime) const;
    /// True for a rumor of a crashed upstream that belongs to a roll-out in progress.
    bool isCrashRelevant(const Rumor &rumor) const;
    /// Increases when the result of rollouts() changes other than by the passage of time.
    std::uint64_t revision() const { return this->currentRevision; }

private:
    /// A service's latest order and the state of its roll-out.
    struct TrackedRollout
    {
        RolloutOrder order;
        RecordVersion orderVersion = 0;
        bool isFirstOfEpoch = true; ///< No order of the same epoch came before.
        std::deque<RolloutOrder> formerOrders;
        RolloutState state; ///< The latest one known; `order` is 0 until there is a record.
        RecordVersion stateVersion = 0; ///< Of the record as last read, also when it is deleted.
        bool hasRecord = false;         ///< The store has a record, as last read.
        /// When this instance learned that a restored store lacks `state`; empty while it has it.
        std::optional<TimePoint> lostAt;
        TimePoint orderedAt{}; ///< When this instance first saw the order.
        /// When this instance learned that `state` is approved.
        TimePoint approvalKnownAt{};
        bool held = false;
        TimePoint heldAt{};         ///< When this instance set `held`.
        bool commitPending = false; ///< A commit to the store has not returned yet.
        CrashRateDetector crashes;
    };

    /// Handles an order of a later epoch than the known one. Returns false for a copy of an order
    /// that has been replaced.
    bool takeRestoredOrder(const TrackedRollout &tracked, const RolloutOrder &order,
                           RecordVersion version);
    /// Handles a state record that a restored store lacks or that is behind the known one.
    void onStateLost(TrackedRollout &tracked, const Record &record);
    /// False while the latest order has no state record.
    bool isStateCurrent(const TrackedRollout &tracked) const;
    /// How long this instance waits before it updates the record, by its rank.
    Duration rankDelay(const std::string &service) const;
    void checkCrashRate(TrackedRollout &tracked, const UpstreamList &upstreams);
    /// Stops traffic to the new version, on this instance and on all peers.
    void hold(TrackedRollout &tracked, std::string_view reason, const AnswerCounts &oldVersion,
              const AnswerCounts &newVersion);
    void markHeld(TrackedRollout &tracked, std::string_view reason);
    /// Logs a decision about the new version with the counts of both versions.
    void logDecision(const TrackedRollout &tracked, std::string_view event, std::string_view reason,
                     const AnswerCounts &oldVersion, const AnswerCounts &newVersion) const;
    void onFinding(const std::string &service, const VersionFinding &finding);
    void onHeld(const HeldRollout &held);
    std::vector<HeldRollout> heldRollouts() const;
    void applyGossipedHold(const TrackedRollout &tracked);
    /// Commits the first state of the latest order.
    void begin(TrackedRollout &tracked, Duration storeTime);
    void setPhase(TrackedRollout &tracked, RolloutPhase phase);
    /// Approves the new version if this instance is a collector and its counts allow it; holds one
    /// that the counts are against at its deadline. `elapsed` is the time since the start.
    void assess(TrackedRollout &tracked, Duration elapsed);
    /// Completes the roll-out of an approved version if this instance is a collector, its counts
    /// still allow it and enough of the version's upstreams are ready; holds a version that the
    /// counts are against. `elapsed` is the time since the start.
    void completeIfDue(TrackedRollout &tracked, Duration elapsed, const UpstreamList &upstreams);
    void commit(TrackedRollout &tracked, RolloutState next);

    FiberRuntime &runtime;
    RecordStore &store;
    const RecordCodec &recordCodec;
    Gossip &gossip;
    const Clock &clock;
    EventLog &log;
    std::map<std::string, TrackedRollout> byService;
    RolloutAggregator aggregator;
    std::uint64_t currentRevision = 0;
};

} // namespace basilnotch
