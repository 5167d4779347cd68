// The control thread: owns all shared state of the instance and publishes it as snapshots.
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

/// How far a stored rules version has come.
struct RulesStatus
{
    struct Instance
    {
        std::string name;
        std::uint64_t inForce = 0;
        MemberState state = MemberState::Alive;
        double missingForSeconds = 0; ///< Since the head was first seen here.
    };
    std::uint64_t version = 0;
    std::vector<Instance> instances;

    /// True when every instance that is not gone has the version in force.
    bool isInForceEverywhere() const;
};

struct ApplyReport
{
    ApplyResult result;
    RulesStatus status;
};

/// What traffic threads need to hear at once, beside the snapshot. Called on the control thread.
struct ControlListener
{
    std::function<void(UpstreamIndex, const LoadReport &, const std::vector<CacheEvent> &)> report;
    std::function<void(const std::string &fingerprint, const std::string &upstream)> crash;
    std::function<void(const std::string &workspace, const std::string &reporter,
                       const UsageCounts &)>
        usage;
    std::function<void()> snapshotChanged;
};

/// Methods may be called from any thread unless said otherwise.
class ControlThread
{
public:
    ControlThread(const Settings &settings, const Clock &clock, Metrics &metrics,
                  SpanBuffer &spans);
    ~ControlThread();
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    /// Before start().
    void addListener(ControlListener listener);
    /// Binds the peer port and starts the thread.
    absl::Status start();

    std::shared_ptr<const Snapshot> snapshot() const { return this->box.get(); }
    void observe(Observation observation);
    std::shared_ptr<ReceiptGate> openReceipt(Receipt receipt);
    void closeReceipt(Receipt receipt);
    /// Block the calling fiber, which may belong to another thread.
    ApplyReport applyRules(std::string text, std::uint64_t base);
    absl::StatusOr<RulesFile> fetchRules(std::uint64_t version);
    RulesStatus rulesStatus();
    /// Says to peers that this instance is about to stop.
    void leave();
    /// Flushes receipts; false when some did not reach the table in time.
    bool drainReceipts(Duration timeout);
    const std::string &incarnation() const { return this->incarnationName; }

private:
    /// Runs `work` in a fiber of the control thread and waits for its result.
    template <typename Result>
    Result ask(std::function<Result()> work);

    void run();
    void boot();
    void startLoops();
    void every(Duration interval, std::function<void()> work);
    void takeRumors();
    void takeRulesRumor();
    void publish();
    void updateReadiness(Snapshot &next) const;
    void pollHead();
    void pollInstanceList();
    void exportSpans();
    RulesStatus statusNow() const;
    void tellInForce();

    const Settings &settings;
    const Clock &clock;
    Metrics &metrics;
    SpanBuffer &spans;
    std::string incarnationName;
    CurrentSnapshot box;
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
    std::unique_ptr<OutcomeAggregator> verdicts;
    std::shared_ptr<const CascadePlan> plan = std::make_shared<CascadePlan>();
    TimePoint platformHeardAt;
    TimePoint headSeenAt;              ///< When the version in force here was first seen.
    std::uint64_t publishedDigest = 0; ///< Of the rumors that the last snapshot was made from.
    bool booted = false;
    bool fetchingRules = false;
    std::set<std::string> listedLive; ///< Names on the platform's list, leaving ones left out.
    std::set<std::string> listedLeaving;
    std::set<std::string> knownCrashes;
    std::thread thread;
};

} // namespace basilnotch
