// Selects one of a service's live upstreams for a request by expected delay: from the estimates of
// load and pace, the prompt parts that are likely to be cached, and passive health checks. Many
// instances select at the same time from similar estimates, so each spreads its requests over as
// many of the best upstreams as the fleet's unseen arrivals fill. No network, no fibers.
#pragma once

#include <base/Clock.h>
#include <decision/PrefillBacklog.h>
#include <decision/PromptCacheIndex.h>
#include <decision/UpstreamHealth.h>
#include <decision/UpstreamNotices.h>
#include <load/LoadEstimate.h>
#include <upstreams/UpstreamList.h>
#include <warmup/WarmupLimiter.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace basilnotch {

struct PickerOptions
{
    HealthOptions health;
    std::string ownDomain;
    Duration otherDomainPenalty = std::chrono::milliseconds(2); ///< Round trip between domains.
    /// Cost to operators of prefilling 1,000 shared tokens again, as an equivalent delay.
    Duration prefillCostPer1000 = std::chrono::milliseconds(30);
    /// Cost to operators of transferring 1,000 cached tokens between engines, as an equivalent
    /// delay.
    Duration fetchCostPer1000 = std::chrono::milliseconds(20);
    /// Duration of such a transfer: links carry a prompt in a few milliseconds.
    Duration fetchTime = std::chrono::milliseconds(10);
    int minFetchedTokens = 500; ///< The prefill of shorter prompts is as fast as a transfer.
    /// Added delay per request at an upstream of the usual pace.
    Duration delayPerRequest = std::chrono::milliseconds(3);
    /// Time constant of the mean time that requests spend at a service's upstreams.
    Duration holdTimeSmoothing = std::chrono::seconds(10);
    Duration initialHoldTime = std::chrono::seconds(1); ///< Until a request has ended.
    double serviceTimeSmoothing = 0.05; ///< Weight of the newest answer in a service's times.
    /// Part of the time to an answer that doesn't depend on the upstream's pace.
    Duration fixedDelay = std::chrono::milliseconds(10);
    double scoreTolerance = 0.1; ///< Scores within this fraction of the best count as equal.
    Duration scoreToleranceTime = std::chrono::milliseconds(2);
    double maxSlotShare = 1.0; ///< Share of the slots from which an upstream counts as full.
};

/// What a request requires of an upstream.
struct PickQuery
{
    std::span<const UpstreamRef> candidates;
    std::span<const std::string> avoid; ///< Ids of upstreams that have failed this request.
    std::uint64_t affinityKey = 0; ///< Hash of the shared prompt parts and the model; 0 if none.
    Duration ownWork{};            ///< Prefill time of the prompt part that isn't shared.
    Duration sharedWork{};         ///< Prefill time of the shared part, which may be cached.
    int sharedTokens = 0;          ///< Tokens of the shared part.
    int liveInstances = 1;
    bool isEngine = false;
};

enum class PickProblem {
    None,
    NoUpstream, ///< No candidate is left for this request.
    AllFull,    ///< All usable candidates are full.
    AllPaused,  ///< All usable candidates have asked for a pause or warm up; see Pick::pauseLeft.
};

struct Pick
{
    UpstreamRef upstream; ///< Null if `problem` isn't None.
    PickProblem problem = PickProblem::NoUpstream;
    Duration work{};       ///< Engine time of its prefill there, including a transfer.
    Duration ahead{};      ///< Engine time of the prefills queued before it.
    UpstreamRef fetchFrom; ///< Engine to fetch the shared prompt's cache from; null if none.
    Duration pauseLeft{};  ///< With AllPaused: until the first candidate accepts requests again.
};

/// How pick() sees a candidate.
struct CandidateExplanation
{
    UpstreamRef upstream;
    std::string_view leftOut;   ///< Why it can't be picked; empty when it can.
    double scoreMs = 0;         ///< Expected delay; the least is best.
    double load = 0;            ///< Requests assumed there.
    double failureRatio = 0;    ///< Smoothed.
    Duration ahead{};           ///< Engine time of the prefills queued there.
    Duration work{};            ///< Engine time of this request's prefill there.
    bool fetchesPrompt = false; ///< Would fetch the shared prompt from another engine.
    Duration pauseLeft{};       ///< If it has asked for a pause.
};

struct PickExplanation
{
    Pick pick; ///< What the next pick() for the same query returns, at the same time.
    std::vector<CandidateExplanation> candidates;
};

/// Engine state that instances estimate from their traffic, beyond the engines' reports. Not
/// thread-safe.
struct EngineEstimates
{
    PrefillBacklog backlog;
    PromptCacheIndex cachedPrompts;
    LoadEstimate load{{}, this->backlog.usedClock()};
};

/// Not thread-safe.
class UpstreamPicker
{
public:
    /// `engineEstimates` and `warmup` must outlive the picker. Without `warmup`, upstreams get
    /// requests at any rate.
    UpstreamPicker(PickerOptions options, EngineEstimates &engineEstimates, const Clock &clock,
                   std::uint64_t seed, WarmupLimiter *warmup = nullptr);

    Pick pick(const PickQuery &query);
    /// Whether `upstream` has less of its slots in use than `other`.
    bool isLessLoaded(const UpstreamRecord &upstream, const UpstreamRecord &other,
                      int liveInstances);
    /// What pick() would return now and why; changes nothing.
    PickExplanation explain(const PickQuery &query) const;
    /// Records a dispatched request. `work`: Pick::work.
    void onSent(const UpstreamRecord &upstream, Duration work);
    /// The prefill is complete or has been abandoned. To be called once per onSent().
    void onPrefilled(const UpstreamRecord &upstream, Duration work);
    /// Records the end of a request. `result` is empty if it says nothing about the upstream's
    /// health. Returns true if the result has paused the upstream.
    bool onEnded(const UpstreamRecord &upstream, std::optional<AttemptResult> result);
    void onLoad(const UpstreamRecord &upstream, const LoadSample &sample);
    /// The first byte of a good answer arrived `took` after the request was sent; `expected`: time
    /// of the prefills until then, zero for services without.
    void onAnswered(const UpstreamRecord &upstream, Duration took, Duration expected);
    /// The upstream said in an answer that it is about to exit: its incarnation is not picked
    /// again.
    void onLeaving(const UpstreamRecord &upstream) { this->notices.onLeaving(upstream); }
    /// The upstream has turned a request away and wants no other for `pause`.
    void onPauseRequested(const UpstreamRecord &upstream, Duration pause)
    {
        this->notices.onPauseRequested(upstream, pause);
    }
    /// Removes the state of upstreams that are not in `list` and have no request in flight.
    void retain(const UpstreamList &list);

private:
    struct State
    {
        explicit State(UpstreamHealth health)
            : health(health)
        { }
        UpstreamHealth health;
        std::uint32_t backlogKey = 0;
        int inFlight = 0; ///< Requests of this instance that have not ended.
        std::int64_t bornMs = 0;
    };

    /// What this instance has measured at all upstreams of a service. Both sums fade.
    struct ServiceTimes
    {
        int inFlight = 0;          ///< Requests of this instance that have not ended.
        double requestSeconds = 0; ///< Time that requests have spent at upstreams.
        double ended = 0;          ///< Requests that have ended.
        TimePoint updatedAt{};
        double answerSeconds = 0; ///< Mean time to an answer at the usual pace; 0 if unknown.
        double logRatio = 0;      ///< Mean logarithm of measured by expected times.
    };

    State &state(const UpstreamRecord &upstream);
    ServiceTimes &serviceTimes(const UpstreamRecord &upstream);
    /// Brings the sums up to now.
    void fade(ServiceTimes &times) const;
    Duration holdTime(const ServiceTimes &times) const;
    /// A candidate with its expected delay. Kept between calls, so that a decision allocates
    /// nothing.
    struct Scored
    {
        const UpstreamRef *upstream = nullptr;
        double ms = 0;
        double msPerRequest = 0; ///< Delay that one more request there adds.
        double weight = 0;       ///< In the choice between the near-best candidates.
        Duration work{};
        Duration ahead{};
        bool fetches = false; ///< Fetches the shared prompt from a holder.
        bool isHealthy = true;
        bool isFull = false;
    };
    /// Engines that have the shared prompt of a request or should prefill it first.
    struct PromptSources
    {
        std::span<const std::uint32_t> holders; ///< Keys of engines that have it cached.
        const UpstreamRef *latest = nullptr;    ///< The most recent holder that is a candidate.
        /// Prefills it first; the same for all instances.
        const UpstreamRecord *homeEngine = nullptr;
    };
    PromptSources findPromptSources(const PickQuery &query);
    /// The candidate that all instances select for a shared prompt; null without candidates.
    static const UpstreamRecord *homeEngine(const PickQuery &query);
    /// The estimate for a single upstream; score() gets those of all candidates at once.
    UpstreamLoad loadOf(const UpstreamRecord &upstream, int liveInstances);
    Scored score(const UpstreamRef &upstream, const State &state, const UpstreamLoad &load,
                 const PickQuery &query, const PromptSources &sources) const;
    /// Adds the delay that the prompt of a request causes at an engine.
    void scorePrompt(const State &state, double pace, const PickQuery &query,
                     const PromptSources &sources, Scored *item) const;
    /// Whether the upstream accepts requests and has not failed this one.
    bool mayServe(const UpstreamRecord &upstream, const PickQuery &query) const;
    /// Scores the candidates that may serve the request, into `scored`.
    void scoreAll(const PickQuery &query);
    CandidateExplanation explainCandidate(const UpstreamRef &upstream, const PickQuery &query);
    /// The result of a pick for which `scored` is empty.
    Pick explainNone(const PickQuery &query) const;
    /// Returns a random near-best item of `scored`; null if none has room.
    const Scored *pickNearBest(bool healthyOnly);
    /// The delay up to which the unseen arrivals fill the items of `nearBest`.
    double fillLevel(double best) const;

    const PickerOptions options;
    EngineEstimates &engineEstimates;
    WarmupLimiter *const warmup;
    const Clock &clock;
    std::mt19937_64 random;
    std::map<std::string, State, std::less<>> states;
    /// Finds the entry of `states` without comparing ids on the way. The address may have been
    /// reused for another record, so the id is compared.
    std::unordered_map<const UpstreamRecord *, std::pair<const std::string *, State *>>
        statesByRecord;
    std::map<std::string, ServiceTimes, std::less<>> times; ///< By service.
    UpstreamNotices notices;
    // Scratch buffers of pick().
    std::vector<const UpstreamRef *> usable; ///< Candidates that may serve the request.
    std::vector<const State *> usableStates; ///< Of `usable`.
    std::vector<UpstreamLoad> loads;         ///< Of `usable`.
    std::vector<Scored> scored;
    std::vector<Scored *> nearBest;
    /// Requests that other instances have sent, by expectation, since the reports that `loads`
    /// rests on.
    double unseenArrivals = 0;
    double serviceSeconds = 0; ///< ServiceTimes::answerSeconds of the candidates scored last.
    const UpstreamRef *fetchSource = nullptr; ///< For the candidates scored last.
};

} // namespace basilnotch
