// The control thread owns the shared state of the instance and publishes it as snapshots.
#pragma once

#include "Observations.h"
#include "ReceiptWriter.h"
#include "RulesStore.h"
#include "Snapshot.h"
#include "UpstreamPoller.h"

#include <membership/Gossip.h>
#include <settings/Settings.h>
#include <telemetry/Metrics.h>
#include <telemetry/Spans.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace basilnotch {

class AbandonedReceiptSweeper;
class PeerMessenger;
class PoolController;
class OutcomeAggregator;

/// Which instances have a stored rules version in force.
struct RulesStatus
{
    struct Instance
    {
        std::string name;
        std::uint64_t inForce = 0;
        MemberState state = MemberState::Alive;
        double missingForSeconds = 0; ///< Since the reporting instance first saw the version.
    };
    std::uint64_t version = 0;
    std::vector<Instance> instances;

    /// True if every instance that has not stopped has the version, or a later one, in force.
    bool isInForceEverywhere() const;
};

struct ApplyReport
{
    ApplyResult result;
    RulesStatus status;
};

/// Events that traffic threads receive immediately, in addition to the snapshot. The callbacks run
/// on the control thread.
struct ControlListener
{
    std::function<void(UpstreamIndex, const LoadReport &, const std::vector<CacheEvent> &)> report;
    std::function<void(const std::string &fingerprint, const std::string &upstream)> crash;
    std::function<void(const std::string &workspace, const std::string &reporter,
                       const UsageCounts &)>
        usage;
    std::function<void()> snapshotChanged;
};

/// Methods may be called from any thread unless stated otherwise.
class ControlThread
{
public:
    ControlThread(const Settings &settings, const Clock &clock, Metrics &metrics,
                  SpanBuffer &spans);
    ~ControlThread();
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    /// Must be called before start().
    void addListener(ControlListener listener);
    /// Binds the peer port and starts the thread.
    absl::Status start();

    std::shared_ptr<const Snapshot> snapshot() const { return this->currentSnapshot.get(); }
    void observe(Observation observation);
    /// Writes the opening receipt of a request. The returned gate resolves when the receipt is
    /// durable or rejected. Does not block.
    std::shared_ptr<ReceiptGate> openReceipt(Receipt receipt);
    /// Writes the closing receipt of a request; never rejected. Does not block.
    void closeReceipt(Receipt receipt);
    // The following three calls block the calling fiber, which may belong to another thread.

    /// Stores `text` as the successor of version `base` and waits a few seconds until it is in
    /// force everywhere.
    ApplyReport applyRules(std::string text, std::uint64_t base);
    /// Returns the rules file of `version`, or the current one if `version` is 0.
    absl::StatusOr<RulesFile> fetchRules(std::uint64_t version);
    RulesStatus rulesStatus();

    /// Announces to peers that this instance is about to stop.
    void leave();
    /// Flushes receipts; false if some did not reach the table within `timeout`. Blocks the calling
    /// fiber.
    bool drainReceipts(Duration timeout);
    const std::string &incarnation() const { return this->incarnationName; }

private:
    /// Runs `work` in a fiber of the control thread and blocks until it returns.
    template <typename Result>
    Result runAndWait(std::function<Result()> work);

    void run();
    void bootstrap();
    void startPeriodicTasks();
    void runEvery(Duration interval, std::function<void()> work);
    void processRumors();
    void fetchNewerRules();
    void publish();
    void updateReadiness(Snapshot &next) const;
    /// Reads the current rules from the table, publishes a snapshot if their version has changed
    /// and announces the version to peers. Blocks the calling fiber.
    void refreshRules();
    void pollInstanceList();
    void exportSpans();
    RulesStatus currentRulesStatus() const;
    void announceRulesVersion();

    const Settings &settings;
    const Clock &clock;
    Metrics &metrics;
    SpanBuffer &spans;
    std::string incarnationName;
    CurrentSnapshot currentSnapshot;
    std::vector<ControlListener> listeners;

    std::unique_ptr<FiberRuntime> runtime;
    std::unique_ptr<HttpClient> client;
    std::unique_ptr<Platform> platform;
    std::unique_ptr<Gossip> gossip;
    std::unique_ptr<PeerMessenger> peers;
    std::unique_ptr<RulesStore> rules;
    std::unique_ptr<ReceiptWriter> receipts;
    std::unique_ptr<AbandonedReceiptSweeper> sweeper;
    std::unique_ptr<UpstreamPoller> poller;
    std::unique_ptr<PoolController> pools;
    std::unique_ptr<OutcomeAggregator> outcomes;
    std::shared_ptr<const CascadePlan> plan = std::make_shared<CascadePlan>();
    TimePoint lastPlatformContact;
    TimePoint rulesVersionSeenAt;            ///< When the version in force was first seen.
    std::uint64_t publishedGossipDigest = 0; ///< Gossip digest of the last snapshot.
    bool bootstrapped = false;
    bool fetchingRules = false;
    std::set<std::string> listedLive;    ///< Names that the platform lists as live.
    std::set<std::string> listedLeaving; ///< Listed as leaving; instances and upstreams.
    std::set<std::string> knownCrashes;
    std::thread thread;
};

} // namespace basilnotch
