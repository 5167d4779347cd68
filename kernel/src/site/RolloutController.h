// Moves roll-outs forward: begins one when an operator orders it, reverts it when the new version
// shows to be bad, and completes it near its deadline. The state is one record that any instance
// may move by compare-and-set; there is no lease, and the instances' ranks only spread their tries.
#pragma once

#include "AnswerReport.h"
#include "RolloutAggregator.h"
#include "SiteView.h"

#include <decision/CrashRateDetector.h>
#include <kernel/Site.h>
#include <membership/Gossip.h>
#include <replica/Replica.h>
#include <telemetry/EventLog.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

class FiberRuntime;

/// The table of the product's own records.
inline constexpr char kInternalTable[] = "basilnotch";

/// Control thread only.
class RolloutController
{
public:
    RolloutController(FiberRuntime &runtime, RecordStore &store, const RecordCodec &recordCodec,
                      Gossip &gossip, PeerMessenger &peers, const Clock &clock, EventLog &log);

    void onOrder(const RolloutOrder &order, RecordVersion version);
    /// A record of our own table; others than those of roll-outs are skipped.
    void onOwnRecord(const Record &record);
    void onAnswer(const AnswerReport &report);
    /// Judges and moves roll-outs. `storeTime`: the store's clock, if known.
    void tick(std::optional<Duration> storeTime, const UpstreamList &upstreams);
    std::map<std::string, ActiveRollout, std::less<>>
    rollouts(std::optional<Duration> storeTime) const;
    /// True for a rumor of a crashed upstream that still decides something.
    bool isUnderWay(const Rumor &crashed) const;
    /// Grows whenever rollouts() would say something else.
    std::uint64_t revision() const { return this->changes; }

private:
    struct Known
    {
        RolloutOrder order;
        RecordVersion orderVersion = 0;
        RolloutState state; ///< As last read; its order is 0 until there is one.
        RecordVersion stateVersion = 0;
        TimePoint orderedAt{}; ///< When the order was first seen here.
        bool held = false;
        TimePoint heldAt{};  ///< When this instance heard of it.
        bool moving = false; ///< A commit is under way.
        CrashRateDetector crashes;
    };

    bool isCurrent(const Known &known) const;
    Duration rankDelay(const std::string &service) const;
    void judgeCrashes(Known &known, const UpstreamList &upstreams);
    /// Gives the new version nothing more, here and at all peers.
    void hold(Known &known, std::string_view reason, const AnswerCounts &oldVersion,
              const AnswerCounts &newVersion);
    void setHeld(Known &known, std::string_view reason);
    void onFinding(const std::string &service, const VersionFinding &finding);
    void onHeld(const HeldRollout &held);
    std::vector<HeldRollout> heldRollouts() const;
    void takeHolds(const Known &known);
    void begin(Known &known, Duration storeTime);
    void move(Known &known, RolloutPhase phase);
    void commit(Known &known, RolloutState next);

    FiberRuntime &runtime;
    RecordStore &store;
    const RecordCodec &recordCodec;
    Gossip &gossip;
    const Clock &clock;
    EventLog &log;
    std::map<std::string, Known> byService;
    RolloutCounts counts;
    std::uint64_t changes = 0;
};

} // namespace basilnotch
