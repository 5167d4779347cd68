// One run: engines, ratings, entries and callers of a scenario on one paused clock.
#pragma once

#include "BenchEntry.h"
#include "EventLoop.h"
#include "FakeEngine.h"
#include "FakeRatings.h"
#include "Summary.h"

#include <memory>
#include <string>
#include <vector>

namespace basilnotch::bench {

class BenchWorld
{
public:
    BenchWorld(const Scenario &scenario, const PolicyChoice &policy, std::uint64_t seed);
    ~BenchWorld();

    /// Runs the scenario to its end.
    Summary run();

private:
    /// An entry instance's own state.
    struct Entry
    {
        int number = 0;
        std::string domain;
        std::unique_ptr<RoutingPolicy> routing;
        std::unique_ptr<Dispatcher> dispatcher;
        std::unique_ptr<QualityStats> quality;
        PromptMedian medians;
        std::map<ModelVersion, VersionCounts> ownCounts;
        std::map<ModelVersion, VersionCounts> knownCounts; ///< Of all entries, as last exchanged.
        std::unique_ptr<RolloutGuard> guard;
        std::set<std::string> held;
        double ratingCredit = 0;
        TimePoint ratingCreditAt;
        std::mt19937_64 random;
    };

    /// A request in the system.
    struct Live
    {
        BenchRequest request;
        Chain chain;
        std::size_t stage = 0;
        bool countedLong = false; ///< The entry's own idea of a long prompt.
        DispatchDecision decision;
        bool atEngine = false;
        bool left = false; ///< The caller has gone.
        bool sawFirstToken = false;
        TimePoint sentAt;
        std::uint64_t waitId = 0;
        int attempts = 0;
    };

    void makeEngines();
    void makeEntries(std::uint64_t seed);
    void schedule();
    void reportLoads();
    void exchange();
    void replan();
    void startRollout();
    void judge(Entry &entry);
    void applyHold(Entry &entry, bool tellOthers);

    void arrive(const BenchRequest &request);
    void enqueueStage(Live &live);
    void pump(Entry &entry);
    void sendToEngine(Live &live);
    void callerLeaves(std::uint64_t id);
    void onFirstToken(std::uint64_t id);
    void onFinished(std::uint64_t id, int tokens);
    void onStopped(std::uint64_t id, int tokens, int wasted);
    void onLost(std::uint64_t id);
    void endStage(Live &live, CompletionStatus end, int tokens);
    void countRun(const Live &live, int tokens);
    void checkAnswer(Live &live, bool good);
    void finish(Live &live, bool good);
    void observeRating(int entry, const QualityKey &key, const ModelVersion &version, bool passed);
    bool isBad(const Live &live) const;
    bool answerIsGood(const Live &live) const;
    QualityKey qualityKey(const Live &live) const;
    int modelIndex(const std::string &name) const;
    void charge(const Live &live, int tokens);
    void serveLedger(const BenchRequest &request);

    const Scenario &scenario;
    const PolicyChoice policy;
    ManualClock clock;
    EventLoop loop;
    std::mt19937_64 random;
    FakeRatings ratings;
    std::vector<std::unique_ptr<FakeEngine>> engines;
    std::vector<int> engineModels;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<BenchRequest> requests;
    std::unordered_map<std::uint64_t, Live> lives;
    std::map<std::uint64_t, std::uint64_t> byWaitId;
    std::uint64_t lastWaitId = 0;
    std::shared_ptr<const Rules> rules;
    CascadePlan plan;
    QualityStats::Table truth; ///< For the cost oracle.
    bool rolloutStarted = false;
    TimePoint ratingsDownUntil;
    std::vector<TimePoint> ledgerFree; ///< When each slot of the ledger is free.
    Summary summary;
};

} // namespace basilnotch::bench
