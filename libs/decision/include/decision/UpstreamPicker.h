// Which of a service's live upstreams gets a request: expected delay from what the upstreams said
// of their load, what this instance has sent them since, which prompt parts they are likely to have
// cached, and how healthy they look. No network, no fibers.
#pragma once

#include <base/Clock.h>
#include <decision/PrefillBacklog.h>
#include <decision/PromptCacheIndex.h>
#include <decision/UpstreamHealth.h>
#include <upstreams/UpstreamList.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// What an upstream said of its load with an answer.
struct LoadSample
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

struct PickerOptions
{
    HealthOptions health;
    std::string ownDomain;
    Duration otherDomainPenalty = std::chrono::milliseconds(2); ///< A round trip between domains.
    Duration sampleAge = std::chrono::milliseconds(1500); ///< An older load sample says nothing.
    /// What reading 1,000 shared tokens again costs operators, as a delay that is as bad.
    Duration rereadPer1000 = std::chrono::milliseconds(30);
    /// What moving 1,000 tokens of a cached prompt between engines costs them, in the same way.
    Duration fetchPer1000 = std::chrono::milliseconds(20);
    /// Time of such a move: links carry a prompt in some milliseconds.
    Duration fetchTime = std::chrono::milliseconds(10);
    int leastFetchedTokens = 500; ///< A shorter prompt is read as fast as it is moved.
    Duration perRunning = std::chrono::milliseconds(3); ///< Added delay for each running request.
    double nearBest = 0.1; ///< Scores within this share of the best count as equal.
    Duration nearBestSlack = std::chrono::milliseconds(2);
    double fillLimit = 1.0; ///< Of the slots, beyond which an upstream counts as full.
};

/// What a request needs of an upstream.
struct PickQuery
{
    std::span<const UpstreamRef> candidates;
    std::span<const std::string> avoid; ///< Ids that have failed this request.
    std::uint64_t affinityKey = 0;      ///< Of the shared prompt parts and the model; 0: none.
    Duration ownWork{};    ///< Engine time for the prompt that no other request shares.
    Duration sharedWork{}; ///< Engine time for the prompt that may be cached.
    int sharedTokens = 0;  ///< Tokens of that.
    int liveInstances = 1;
    bool isEngine = false;
};

enum class PickProblem {
    None,
    NoUpstream, ///< None is ready for this request.
    AllFull,    ///< All that could serve it are full.
};

struct Pick
{
    UpstreamRef upstream; ///< Null when there is a problem.
    PickProblem problem = PickProblem::NoUpstream;
    Duration work{};       ///< Engine time that its prompt takes there.
    Duration ahead{};      ///< Engine time of the prompts that are read before it.
    UpstreamRef fetchFrom; ///< Another engine that has the shared prompt; null to read it.
};

/// What instances know of engines beyond the engines' own words. One thread.
struct EngineEstimates
{
    PrefillBacklog backlog;
    PromptCacheIndex cachedPrompts;
};

/// One thread.
class UpstreamPicker
{
public:
    /// `beliefs` must outlive the picker.
    UpstreamPicker(PickerOptions options, EngineEstimates &engineEstimates, const Clock &clock,
                   std::uint64_t seed);

    Pick pick(const PickQuery &query);
    /// `work`: as the pick said.
    void onSent(const UpstreamRecord &upstream, Duration work);
    /// The prompt has been read, or never will be. Once for each send.
    void onPrefilled(const UpstreamRecord &upstream, Duration work);
    /// True when the result has paused the upstream.
    bool onEnded(const UpstreamRecord &upstream, std::optional<AttemptResult> result);
    void onLoad(const UpstreamRecord &upstream, const LoadSample &sample);
    /// Forgets upstreams that are not in `list`.
    void retain(const UpstreamList &list);

private:
    struct State
    {
        explicit State(UpstreamHealth health)
            : health(health)
        { }
        UpstreamHealth health;
        std::uint32_t backlogKey = 0;
        int inFlight = 0; ///< Sent by this instance and not ended.
        LoadSample sample;
        TimePoint sampledAt{};
        int inFlightAtSample = 0;
        std::int64_t bornMs = 0;
    };

    State &state(const UpstreamRecord &upstream);
    double load(const State &state, int liveInstances) const;
    /// A candidate with its expected delay; kept between calls, so that a decision allocates
    /// nothing.
    struct Scored
    {
        const UpstreamRef *upstream = nullptr;
        double ms = 0;
        Duration work{};
        Duration ahead{};
        bool fetches = false; ///< Its shared prompt is to come from the holder.
        bool isHealthy = true;
        bool isFull = false;
    };
    /// Where the shared prompt of a request is, or is to be read first.
    struct PromptSources
    {
        std::span<const std::uint32_t> holders; ///< Keys of engines that have it.
        const UpstreamRef *latest = nullptr;    ///< The latest of them that is a candidate.
        const UpstreamRecord *home = nullptr;   ///< Reads it first, as all instances agree.
    };
    PromptSources sourcesOf(const PickQuery &query);
    /// The candidate that all instances choose for a shared prompt; null without one.
    static const UpstreamRecord *home(const PickQuery &query);
    Scored score(const UpstreamRef &upstream, const PickQuery &query, const PromptSources &sources);
    /// Adds what the prompt of a request takes at an engine.
    void scorePrompt(const State &state, const PickQuery &query, const PromptSources &sources,
                     Scored *item) const;
    /// Fills `scored` with the candidates that have not failed the request.
    void scoreAll(const PickQuery &query);
    /// One of the best of `scored` at random; null when none has room.
    const Scored *pickNearBest(bool healthyOnly);

    const PickerOptions options;
    EngineEstimates &engineEstimates;
    const Clock &clock;
    std::mt19937_64 random;
    std::map<std::string, State, std::less<>> states;
    std::vector<Scored> scored;
    std::vector<const Scored *> nearBest;
    const UpstreamRef *fetchSource = nullptr; ///< Of the candidates scored last.
};

} // namespace basilnotch
