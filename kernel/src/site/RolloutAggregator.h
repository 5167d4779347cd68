// Brings what this instance sees of a roll-out to the roll-out's collectors, sums what others bring
// if this is one of them, and tells every instance at once when the roll-out is held.
//
// A few collectors for each service, by rendezvous hashing over the live instances: while the fleet
// restarts, one of them is mostly there. A new collector gets the sums of the others.
#pragma once

#include "RolloutMessage.h"

#include "control/PeerMessenger.h"

#include <decision/VersionReporter.h>
#include <decision/VersionTally.h>
#include <membership/Gossip.h>
#include <telemetry/EventLog.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

class FiberRuntime;

/// Called on the control thread.
struct RolloutAggregatorListener
{
    /// This instance collects, and the new version has shown to be bad.
    std::function<void(const std::string &service, const VersionFinding &finding)> found;
    /// A peer says that the roll-out is held.
    std::function<void(const HeldRollout &held)> heldByPeer;
    /// All roll-outs that this instance knows to be held.
    std::function<std::vector<HeldRollout>()> held;
};

/// Control thread only.
class RolloutCounts
{
public:
    /// All of these must outlive the object.
    RolloutCounts(FiberRuntime &runtime, PeerMessenger &peers, const Gossip &gossip,
                  const Clock &clock, EventLog &log, RolloutAggregatorListener listener);

    /// A roll-out is under way; counts of an earlier order of the service are dropped.
    void begin(const std::string &service, std::uint64_t order);
    void end(const std::string &service);
    void onAnswer(const std::string &service, const std::string &route, bool isNew, bool isBad);
    /// Sends what is due. True when isReportOverdue() has changed for a service.
    bool tick();
    /// Tells all instances.
    void tellHeld(const HeldRollout &held);
    /// True while no collector has what this instance saw of the new version.
    bool isReportOverdue(const std::string &service) const;

private:
    /// An instance that collects; another incarnation knows nothing of before.
    struct Collector
    {
        std::string incarnation;
        Endpoint peers;
        bool isSelf = false;

        friend bool operator==(const Collector &, const Collector &) = default;
    };
    struct Underway
    {
        Underway(std::uint64_t order, VersionReporter reporter)
            : order(order)
            , reporter(std::move(reporter))
        { }
        std::uint64_t order;
        VersionReporter reporter;
        VersionTally tally; ///< Empty unless this instance collects, or did so.
        std::vector<Collector> collectors;
        bool unheard = false; ///< As last returned.
    };

    std::vector<Collector> collectorsOf(const std::string &service, int *liveInstances) const;
    void useCollectors(Underway &underway, std::vector<Collector> now);
    void sendReport(const std::string &service, Underway &underway);
    void handOver(const Underway &underway, const Collector &receiver);
    void addReport(const VersionReport &report);
    /// The roll-out of that order; null when it is not under way here.
    Underway *find(const std::string &service, std::uint64_t order);
    /// Sends to one peer in a fiber of its own; `heard`: the peer has taken it.
    void send(const Collector &receiver, std::string text, std::function<void()> heard);
    void takeHeld(const RolloutMessage &message);
    std::string answer(std::string_view text);

    FiberRuntime &runtime;
    PeerMessenger &peers;
    const Gossip &gossip;
    const Clock &clock;
    EventLog &log;
    const RolloutAggregatorListener listener;
    std::map<std::string, Underway, std::less<>> byService;
};

} // namespace basilnotch
