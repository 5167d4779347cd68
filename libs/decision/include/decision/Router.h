// Which upstream a request goes to: the one with the shortest expected time to its first token,
// among those that hold the version and take new work.
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

/// Index of an upstream in the list that the router was made with.
using UpstreamIndex = int;
/// Small number of a model version, given out by Router::versionId.
using VersionId = int;
constexpr VersionId kNoVersion = -1;
constexpr int kMaxVersions = 64; ///< Versions that can be loaded somewhere at one time.

struct UpstreamInfo
{
    std::string name;
    std::string failureDomain;
    int slots = 48; ///< Sequences that it runs at once.
};

/// What an engine says of itself, always somewhat old.
struct LoadReport
{
    TimePoint measuredAt;
    int running = 0;
    int queued = 0;
    double queuedPrefillTokens = 0;
    bool leaving = false;
    std::vector<ModelVersion> loaded;
};

/// How fast engines are; what is learned of each upstream corrects it.
struct RouterOptions
{
    double prefillTokensPerSecond = 9000;
    double prefillPart = 0.6; ///< Part of an engine's time that goes to prompts while they wait.
    Duration stepBase = std::chrono::milliseconds(18);
    Duration stepPerSequence = std::chrono::microseconds(350);
    Duration sameDomainOneWay = std::chrono::microseconds(200);
    Duration otherDomainOneWay = std::chrono::milliseconds(1);
    Duration expectedService = std::chrono::seconds(6); ///< Until requests have been seen to end.
    double nearBest = 0.10; ///< Scores within this share of the best count as equal.
    Duration nearBestSlack = std::chrono::milliseconds(5);
    int entries = 1;                               ///< Instances that send to the same upstreams.
    Duration crashPause = std::chrono::seconds(2); ///< No new work after a failed connection.
    Duration slownessHalfLife = std::chrono::seconds(20);
};

/// One request that wants an upstream.
struct RouteQuery
{
    VersionId version = kNoVersion;
    int promptTokens = 0;
    std::uint64_t prefixHash = 0; ///< 0: no shared prefix.
    int prefixTokens = 0;
    double fill = 1.0; ///< Part of an upstream's slots that may be taken when this request goes.
    UpstreamIndex avoid = -1;     ///< An upstream that has just failed it.
    std::string_view avoidDomain; ///< For a hedge: another failure domain than this one.
};

struct RouteChoice
{
    UpstreamIndex upstream = -1;
    Duration expectedFirstToken{};
    int cachedTokens = 0;
};

enum class CompletionStatus { Finished, Cancelled, Failed, Crashed };

/// One line of `explain`: why an upstream would be used or not.
struct RouteExplanation
{
    UpstreamIndex upstream = -1;
    std::string verdict;
    Duration expectedFirstToken{};
};

/// Varying part of the choice, so that baselines and other policies plug in by name.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    virtual VersionId versionId(const ModelVersion &version) = 0;
    virtual void applyReport(UpstreamIndex upstream, const LoadReport &report) = 0;
    virtual void applyCacheEvent(UpstreamIndex upstream, std::uint64_t prefixHash, int tokens) = 0;
    virtual void setLeaving(UpstreamIndex upstream, bool leaving) = 0;
    /// The upstream for `query`; nothing when none has room for it now.
    virtual std::optional<RouteChoice> choose(const RouteQuery &query) = 0;
    /// True when some upstream that takes work holds `version`, full or not.
    virtual bool isServed(VersionId version) const = 0;
    virtual void onDispatched(const RouteChoice &choice, const RouteQuery &query) = 0;
    virtual void onFirstToken(const RouteChoice &choice, Duration took) = 0;
    virtual void onEnded(const RouteChoice &choice, CompletionStatus end, Duration took) = 0;
    virtual std::vector<RouteExplanation> explain(const RouteQuery &query) const = 0;
};

/// The product's policy. Used by one thread; allocates nothing in the steady state.
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

    /// Expected time to first token without regard to room.
    Duration expectedFirstToken(UpstreamIndex upstream, const RouteQuery &query,
                                int cachedTokens) const;

private:
    /// A change of our own work at an upstream that its last report does not show yet.
    struct OwnEvent
    {
        TimePoint at;
        int requests = 0; ///< +1 dispatched, -1 ended.
    };
    static constexpr std::size_t kOwnEvents = 64;

    struct Upstream
    {
        UpstreamInfo info;
        Duration oneWay{};
        std::uint64_t loaded = 0; ///< Bit for each VersionId.
        TimePoint measuredAt;
        int reportedLoad = 0;
        double reportedPrefill = 0;
        bool hasReport = false;
        bool leaving = false;
        int ownInFlight = 0;
        std::array<OwnEvent, kOwnEvents> events; ///< Ring, oldest first from `firstEvent`.
        std::size_t firstEvent = 0;
        std::size_t eventCount = 0; ///< Invariant: at most kOwnEvents.
        int ownSince = 0;           ///< Invariant: sum of `requests` in the ring.
        double ownBacklog = 0; ///< Prompt tokens of ours that it has not taken in, at ownBacklogAt.
        TimePoint ownBacklogAt;
        double slowness = 1; ///< Observed over expected time to first token.
        TimePoint slownessAt;
        TimePoint pausedUntil;
    };

    void pushEvent(Upstream &upstream, const OwnEvent &event);
    void dropSeenEvents(Upstream &upstream);
    bool takesWork(const Upstream &upstream, VersionId version, TimePoint now) const;
    double load(const Upstream &upstream) const;
    double backlog(const Upstream &upstream, TimePoint now) const;
    double ownBacklog(const Upstream &upstream, TimePoint now) const;
    bool hasRoom(const Upstream &upstream, double fill) const;
    double slowness(const Upstream &upstream, TimePoint now) const;
    /// Seconds until the first token; `load` is load(upstream).
    double score(const Upstream &upstream, int uncachedTokens, double load, TimePoint now) const;
    void markHints(const RouteQuery &query, bool set);
    /// One of the upstreams whose score is near `best`, at random.
    RouteChoice pickNearBest(double best);

    /// Options in the units of the inner loop.
    struct Rates
    {
        double stepBase = 0;        ///< Seconds.
        double stepPerSequence = 0; ///< Seconds.
        double prefillPerToken = 0; ///< Seconds.
        double drainedPerNano = 0;  ///< Prompt tokens.
        double fadePerNano = 0;     ///< Of the slowness.
        double others = 0; ///< What other entries are taken to send for each request of ours.
    };

    const RouterOptions options;
    const Rates rates;
    const Clock &clock;
    std::vector<Upstream> upstreams;
    std::vector<ModelVersion> versions; ///< Index is the VersionId.
    PrefixHints hints;
    std::vector<int> cachedScratch; ///< Cached tokens of the query at hand; zero outside choose().
    std::vector<double> scoreScratch; ///< Seconds.
    Duration serviceTime;             ///< Moving average over finished requests.
    std::mt19937_64 random;
};

} // namespace basilnotch
