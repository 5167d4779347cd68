// Sends this instance's answer counts of a roll-out to the collectors of the roll-out, aggregates
// the counts of all instances if this instance is a collector, and notifies all instances when the
// roll-out is held.
//
// Rendezvous hashing over the live instances selects a few collectors for each service, so that
// usually one of them is up while the fleet restarts. A new collector gets the counts that the
// others hold.
#pragma once

#include "AnswerReport.h"
#include "RolloutMessage.h"

#include "control/PeerMessenger.h"

#include <decision/VersionReporter.h>
#include <decision/VersionTally.h>
#include <membership/Gossip.h>
#include <telemetry/EventLog.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

class FiberRuntime;

/// Callbacks, invoked on the control thread.
struct RolloutAggregatorListener
{
    /// This instance is a collector and has found that the new version is bad.
    std::function<void(const std::string &service, const VersionFinding &finding)> onRegression;
    /// A peer reports that the roll-out is held.
    std::function<void(const HeldRollout &held)> onHeldByPeer;
    /// Returns all roll-outs that this instance knows to be held.
    std::function<std::vector<HeldRollout>()> heldRollouts;
};

/// The counts that a collector has of a roll-out.
struct CollectedCounts
{
    const VersionTally *tally = nullptr; ///< Valid until the aggregator is called again.
    Duration collectingFor{};            ///< Since this instance became a collector.
    std::size_t rank = 0;                ///< Of this instance among the collectors.
};

/// Control thread only.
class RolloutAggregator
{
public:
    /// All references must outlive the object.
    RolloutAggregator(FiberRuntime &runtime, PeerMessenger &peers, const Gossip &gossip,
                      const Clock &clock, EventLog &log, RolloutAggregatorListener listener);

    /// Starts counting for a roll-out in progress; drops the counts of the service's earlier order.
    void begin(const std::string &service, std::uint64_t order);
    /// Drops the counts of the service.
    void end(const std::string &service);
    /// Counts an answer; ignored when no roll-out of the service is in progress.
    void onAnswer(const AnswerReport &report, bool isNew);
    /// Sends the reports that are due. Returns true when isReportOverdue() has changed for a
    /// service.
    bool tick();
    /// Notifies all instances that a roll-out is held. Does not block.
    void broadcastHold(const HeldRollout &held);
    /// True while answers of the new version have been without a collector's acknowledgement for
    /// too long.
    bool isReportOverdue(const std::string &service) const;
    /// What this instance has collected; empty if it is no collector.
    std::optional<CollectedCounts> collected(const std::string &service) const;

private:
    /// An instance that collects reports. A new incarnation has none of the earlier reports.
    struct Collector
    {
        std::string incarnation;
        Endpoint peers;
        bool isSelf = false;

        friend bool operator==(const Collector &, const Collector &) = default;
    };
    /// The state of one roll-out in progress.
    struct RolloutEntry
    {
        RolloutEntry(std::uint64_t order, VersionReporter reporter)
            : order(order)
            , reporter(std::move(reporter))
        { }
        std::uint64_t order;
        VersionReporter reporter;
        VersionTally tally; ///< Empty unless this instance is or was a collector.
        std::vector<Collector> collectors;
        TimePoint collectorSince{}; ///< When this instance became a collector, if it is one.
        bool reportOverdue = false; ///< As of the last tick().
        bool hasNewCounts = false;  ///< Since the counts were logged.
        TimePoint loggedAt{};       ///< When the counts were logged.
    };

    static std::vector<Collector>::const_iterator
    findSelf(const std::vector<Collector> &collectors);
    /// Also sets `liveInstances` to the number of live instances.
    std::vector<Collector> collectorsFor(const std::string &service, int *liveInstances) const;
    void updateCollectors(RolloutEntry &entry, std::vector<Collector> now);
    void sendReport(const std::string &service, RolloutEntry &entry);
    /// Sends the reports in `entry` to a new collector.
    void transferReports(const RolloutEntry &entry, const Collector &receiver);
    void addReport(const VersionReport &report);
    /// Logs the counts that this instance has collected, by route; "" is the sum.
    void logCounts(const std::string &service, RolloutEntry &entry);
    /// Returns null when this instance does not know the order to be in progress.
    RolloutEntry *find(const std::string &service, std::uint64_t order);
    /// Sends to one peer from a new fiber; calls `onDelivered` when the peer has accepted it.
    void send(const Collector &receiver, std::string text, std::function<void()> onDelivered);
    void applyHolds(const RolloutMessage &message);
    /// Returns the reply to a peer's message; empty when the message is not accepted.
    std::string handleMessage(std::string_view text);

    FiberRuntime &runtime;
    PeerMessenger &peers;
    const Gossip &gossip;
    const Clock &clock;
    EventLog &log;
    const RolloutAggregatorListener listener;
    std::map<std::string, RolloutEntry, std::less<>> byService;
};

} // namespace basilnotch
