// Selects the upstream for a request: the one with the shortest expected time to first token among
// those that have the model version loaded and accept new requests.
#pragma once

#include <base/Clock.h>
#include <decision/PrefixHints.h>
#include <rules/Rules.h>

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Index of an upstream in the list that the policy was constructed with.
using UpstreamIndex = int;
/// Index of a model version, assigned by RoutingPolicy::versionId.
using VersionId = int;
constexpr VersionId kNoVersion = -1;
constexpr int kMaxVersions = 64; ///< Versions that a policy can distinguish.

struct UpstreamInfo
{
    std::string name;
    std::string failureDomain;
    int slots = 48; ///< Concurrent sequences.
};

/// Load as reported by an engine; always somewhat out of date.
struct LoadReport
{
    TimePoint measuredAt;
    int running = 0;
    int queued = 0;
    double queuedPrefillTokens = 0;
    bool leaving = false;
    std::vector<ModelVersion> loaded;
};

/// Initial assumptions about engine speed, which observations of each upstream correct.
struct RouterOptions
{
    double prefillTokensPerSecond = 9000;
    /// Share of engine time spent on prefill while prompts are queued.
    double prefillTimeShare = 0.6;
    Duration stepBase = std::chrono::milliseconds(18);
    Duration stepPerSequence = std::chrono::microseconds(350);
    Duration sameDomainLatency = std::chrono::microseconds(200);
    Duration otherDomainLatency = std::chrono::milliseconds(1);
    Duration initialServiceTime = std::chrono::seconds(6); ///< Initial value of the average.
    double scoreTolerance = 0.10; ///< Scores within this fraction of the best count as equal.
    Duration scoreToleranceTime = std::chrono::milliseconds(5);
    int entries = 1; ///< Number of instances that share the upstreams.
    Duration crashPause = std::chrono::seconds(2); ///< After a crash or failed connection.
    Duration slownessHalfLife = std::chrono::seconds(20);
};

/// What a request requires of an upstream.
struct RouteQuery
{
    VersionId version = kNoVersion;
    int promptTokens = 0;
    std::uint64_t prefixHash = 0; ///< 0 if there is no shared prefix.
    int prefixTokens = 0;
    /// Share of an upstream's slots below which it has room for this request.
    double maxSlotShare = 1.0;
    UpstreamIndex avoid = -1;     ///< An upstream that has just failed this request; -1 if none.
    std::string_view avoidDomain; ///< For hedges: a failure domain to exclude.
};

struct RouteChoice
{
    UpstreamIndex upstream = -1;
    Duration expectedFirstToken{};
    int cachedTokens = 0;
};

enum class CompletionStatus { Finished, Cancelled, Failed, Crashed };

/// One row of RoutingPolicy::explain: why an upstream is or isn't a candidate.
struct RouteExplanation
{
    UpstreamIndex upstream = -1;
    std::string verdict;
    Duration expectedFirstToken{};
};

/// Interface of routing policies, so that baselines and other policies can be selected by name.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    virtual VersionId versionId(const ModelVersion &version) = 0;
    virtual void applyReport(UpstreamIndex upstream, const LoadReport &report) = 0;
    virtual void applyCacheEvent(UpstreamIndex upstream, std::uint64_t prefixHash, int tokens) = 0;
    virtual void setLeaving(UpstreamIndex upstream, bool leaving) = 0;
    /// The upstream for `query`; empty if none has room for it now.
    virtual std::optional<RouteChoice> choose(const RouteQuery &query) = 0;
    /// Whether an upstream that accepts requests has `version` loaded, even if it is full.
    virtual bool isServed(VersionId version) const = 0;
    virtual void onDispatched(const RouteChoice &choice, const RouteQuery &query) = 0;
    virtual void onFirstToken(const RouteChoice &choice, Duration took) = 0;
    virtual void onEnded(const RouteChoice &choice, CompletionStatus end, Duration took) = 0;
    virtual std::vector<RouteExplanation> explain(const RouteQuery &query) const = 0;
};

/// The default policy. Not thread-safe; allocates nothing in the steady state.
///
///     Router router(upstreams, "a", options, clock, seed);
///     router.applyReport(0, report);
///     if (const auto choice = router.choose(query)) { router.onDispatched(*choice, query); }
class Router final : public RoutingPolicy
{
public:
    Router(std::vector<UpstreamInfo> upstreams, const std::string &ownDomain, RouterOptions options,
           const Clock &clock, std::uint64_t seed);

    VersionId versionId(const ModelVersion &version) override;
    void applyReport(UpstreamIndex upstream, const LoadReport &report) override;
    void applyCacheEvent(UpstreamIndex upstream, std::uint64_t prefixHash, int tokens) override;
    void setLeaving(UpstreamIndex upstream, bool leaving) override;
    std::optional<RouteChoice> choose(const RouteQuery &query) override;
    bool isServed(VersionId version) const override;
    void onDispatched(const RouteChoice &choice, const RouteQuery &query) override;
    void onFirstToken(const RouteChoice &choice, Duration took) override;
    void onEnded(const RouteChoice &choice, CompletionStatus end, Duration took) override;
    std::vector<RouteExplanation> explain(const RouteQuery &query) const override;

    /// Expected time to first token, regardless of free slots.
    Duration expectedFirstToken(UpstreamIndex upstream, const RouteQuery &query,
                                int cachedTokens) const;

private:
    /// A change of this instance's load at an upstream that its last report does not include yet.
    struct LocalLoadChange
    {
        TimePoint at;
        int requests = 0; ///< +1 dispatched, -1 ended.
    };
    static constexpr std::size_t kMaxLoadChanges = 64;

    struct Upstream
    {
        UpstreamInfo info;
        Duration latency{};
        std::uint64_t loaded = 0; ///< Bit set indexed by VersionId.
        TimePoint measuredAt;
        int reportedLoad = 0;
        double reportedPrefill = 0;
        bool hasReport = false;
        bool leaving = false;
        int localInFlight = 0;
        /// Ring buffer, oldest first from `firstChange`.
        std::array<LocalLoadChange, kMaxLoadChanges> loadChanges;
        std::size_t firstChange = 0;
        std::size_t changeCount = 0; ///< Invariant: at most kMaxLoadChanges.
        int unreportedRequests = 0;  ///< Invariant: sum of `requests` in `loadChanges`.
        double localBacklog = 0;     ///< Own prompt tokens not prefilled yet, at localBacklogAt.
        TimePoint localBacklogAt;
        double slowness = 1; ///< Observed over expected time to first token.
        TimePoint slownessAt;
        TimePoint pausedUntil;
    };

    void recordLoadChange(Upstream &upstream, const LocalLoadChange &change);
    void dropReportedChanges(Upstream &upstream);
    bool acceptsRequests(const Upstream &upstream, VersionId version, TimePoint now) const;
    double load(const Upstream &upstream) const;
    double backlog(const Upstream &upstream, TimePoint now) const;
    double localBacklog(const Upstream &upstream, TimePoint now) const;
    bool hasRoom(const Upstream &upstream, double maxSlotShare) const;
    double slowness(const Upstream &upstream, TimePoint now) const;
    /// Expected seconds until the first token; `load` is load(upstream).
    double score(const Upstream &upstream, int uncachedTokens, double load, TimePoint now) const;
    /// Sets the cached tokens of the hinted upstreams in `cachedScratch`, or resets them to zero.
    void applyHints(const RouteQuery &query, bool set);
    /// Returns a random upstream whose score is within the tolerance of `best`.
    RouteChoice selectNearBest(double best);

    /// Options, converted to the units of the scoring loop.
    struct Rates
    {
        double stepBase = 0;             ///< Seconds.
        double stepPerSequence = 0;      ///< Seconds.
        double prefillPerToken = 0;      ///< Seconds.
        double prefilledPerNano = 0;     ///< Prompt tokens.
        double slownessDecayPerNano = 0; ///< Of the slowness.
        double otherInstancesFactor = 0; ///< Estimated requests of other instances per own request.
    };

    const RouterOptions options;
    const Rates rates;
    const Clock &clock;
    std::vector<Upstream> upstreams;
    std::vector<ModelVersion> versions; ///< Index is the VersionId.
    PrefixHints hints;
    std::vector<int> cachedScratch; ///< Cached tokens of the current query; zero outside choose().
    std::vector<double> scoreScratch; ///< Seconds.
    Duration serviceTime;             ///< Moving average of finished requests.
    std::mt19937_64 random;
};

} // namespace basilnotch
