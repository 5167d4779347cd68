// Expected delay = the last report, aged, plus own load that the report does not include yet. One
// linear pass scores the upstreams, a second one selects randomly among the near-best: all
// instances see the same report and would otherwise choose the same upstream.
#include <decision/Router.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace basilnotch {

namespace {

constexpr double kSecondsPerNano = 1e-9;
constexpr double kSlownessSmoothing = 0.2; // Weight of one observation.
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 50;
constexpr double kServiceTimeSmoothing = 0.02; // Weight of one finished request.
constexpr double kUnusable = std::numeric_limits<double>::infinity();

} // namespace

Router::Router(std::vector<UpstreamInfo> infos, const std::string &ownDomain, RouterOptions options,
               const Clock &clock, std::uint64_t seed)
    : options(options)
    , rates{toSeconds(options.stepBase),
            toSeconds(options.stepPerSequence),
            1 / options.prefillTokensPerSecond,
            options.prefillTokensPerSecond * options.prefillTimeShare * kSecondsPerNano,
            kSecondsPerNano / (2 * toSeconds(options.slownessHalfLife)),
            std::sqrt(static_cast<double>(options.entries) - 1)}
    , clock(clock)
    , cachedScratch(infos.size(), 0)
    , scoreScratch(infos.size())
    , serviceTime(options.initialServiceTime)
    , random(seed)
{
    this->upstreams.reserve(infos.size());
    for (UpstreamInfo &info : infos) {
        Upstream upstream;
        upstream.latency = info.failureDomain == ownDomain ? options.sameDomainLatency
                                                           : options.otherDomainLatency;
        upstream.info = std::move(info);
        upstream.slownessAt = clock.now();
        this->upstreams.push_back(std::move(upstream));
    }
}

VersionId Router::versionId(const ModelVersion &version)
{
    const auto found = std::find(this->versions.begin(), this->versions.end(), version);
    if (found != this->versions.end()) {
        return static_cast<VersionId>(found - this->versions.begin());
    }
    if (this->versions.size() >= kMaxVersions) {
        return kNoVersion;
    }
    this->versions.push_back(version);
    return static_cast<VersionId>(this->versions.size() - 1);
}

void Router::recordLoadChange(Upstream &upstream, const LocalLoadChange &change)
{
    if (upstream.changeCount == kMaxLoadChanges) {
        const LocalLoadChange &oldest = upstream.loadChanges[upstream.firstChange];
        upstream.unreportedRequests -= oldest.requests;
        upstream.firstChange = (upstream.firstChange + 1) % kMaxLoadChanges;
        --upstream.changeCount;
    }
    upstream.loadChanges[(upstream.firstChange + upstream.changeCount) % kMaxLoadChanges] = change;
    ++upstream.changeCount;
    upstream.unreportedRequests += change.requests;
}

void Router::dropReportedChanges(Upstream &upstream)
{
    const TimePoint reportedUntil = upstream.measuredAt - upstream.latency;
    while (upstream.changeCount > 0
           && upstream.loadChanges[upstream.firstChange].at <= reportedUntil) {
        upstream.unreportedRequests -= upstream.loadChanges[upstream.firstChange].requests;
        upstream.firstChange = (upstream.firstChange + 1) % kMaxLoadChanges;
        --upstream.changeCount;
    }
}

void Router::applyReport(UpstreamIndex index, const LoadReport &report)
{
    Upstream &upstream = this->upstreams[static_cast<std::size_t>(index)];
    if (upstream.hasReport && report.measuredAt < upstream.measuredAt) {
        return;
    }
    upstream.hasReport = true;
    upstream.measuredAt = report.measuredAt;
    upstream.reportedLoad = report.running + report.queued;
    upstream.reportedPrefill = report.queuedPrefillTokens;
    upstream.leaving = upstream.leaving || report.leaving;
    upstream.loaded = 0;
    for (const ModelVersion &version : report.loaded) {
        const VersionId id = this->versionId(version);
        if (id != kNoVersion) {
            upstream.loaded |= std::uint64_t{1} << id;
        }
    }
    this->dropReportedChanges(upstream);
}

void Router::applyCacheEvent(UpstreamIndex upstream, std::uint64_t prefixHash, int tokens)
{
    this->hints.record(prefixHash, upstream, tokens, this->clock.now());
}

void Router::setLeaving(UpstreamIndex upstream, bool leaving)
{
    this->upstreams[static_cast<std::size_t>(upstream)].leaving = leaving;
}

bool Router::acceptsRequests(const Upstream &upstream, VersionId version, TimePoint now) const
{
    return version != kNoVersion && (upstream.loaded >> version & 1) != 0 && !upstream.leaving
        && upstream.pausedUntil <= now;
}

double Router::load(const Upstream &upstream) const
{
    return std::max(upstream.reportedLoad + upstream.unreportedRequests, upstream.localInFlight);
}

bool Router::hasRoom(const Upstream &upstream, double maxSlotShare) const
{
    // Other instances are assumed to be as busy as this one, and the report does not include what
    // they have sent since.
    const double unreportedByOthers = maxSlotShare < 1
        ? std::max(0, upstream.unreportedRequests) * this->rates.otherInstancesFactor
        : 0;
    return this->load(upstream) + unreportedByOthers < upstream.info.slots * maxSlotShare;
}

double Router::slowness(const Upstream &upstream, TimePoint now) const
{
    const auto age = static_cast<double>((now - upstream.slownessAt).count());
    const double decay = std::max(0.0, 1 - age * this->rates.slownessDecayPerNano);
    // Linear, since this runs for every upstream and request.
    return 1 + (upstream.slowness - 1) * decay;
}

double Router::localBacklog(const Upstream &upstream, TimePoint now) const
{
    const auto age = static_cast<double>((now - upstream.localBacklogAt).count());
    return std::max(0.0, upstream.localBacklog - this->rates.prefilledPerNano * age);
}

double Router::backlog(const Upstream &upstream, TimePoint now) const
{
    // The reported backlog is soon prefilled, and prompts that other instances have sent since are
    // unknown. Own recent prompts are known; counting them separately spreads them over upstreams.
    const auto age = static_cast<double>((now - upstream.measuredAt).count());
    return std::max(0.0, upstream.reportedPrefill - this->rates.prefilledPerNano * age)
        + this->localBacklog(upstream, now);
}

double Router::score(const Upstream &upstream, int uncachedTokens, double load, TimePoint now) const
{
    const double slots = upstream.info.slots;
    const double step = this->rates.stepBase + this->rates.stepPerSequence * std::min(load, slots);
    const double slotWait =
        load + 1 > slots ? (load + 1 - slots) * toSeconds(this->serviceTime) / slots : 0;
    const double prefill =
        (this->backlog(upstream, now) + uncachedTokens) * this->rates.prefillPerToken;
    const double latency = static_cast<double>(upstream.latency.count()) * kSecondsPerNano;
    return (2 * latency + slotWait + prefill + step) * this->slowness(upstream, now);
}

Duration Router::expectedFirstToken(UpstreamIndex index, const RouteQuery &query,
                                    int cachedTokens) const
{
    const Upstream &upstream = this->upstreams[static_cast<std::size_t>(index)];
    const int uncached = std::max(0, query.promptTokens - cachedTokens);
    return fromSeconds(this->score(upstream, uncached, this->load(upstream), this->clock.now()));
}

void Router::applyHints(const RouteQuery &query, bool set)
{
    if (query.prefixHash == 0) {
        return;
    }
    const TimePoint now = this->clock.now();
    for (const PrefixHint &hint : this->hints.find(query.prefixHash)) {
        const int estimatedTokens =
            set ? std::min(query.prefixTokens, PrefixHints::estimatedTokens(hint, now)) : 0;
        this->cachedScratch[static_cast<std::size_t>(hint.upstream)] = estimatedTokens;
    }
}

std::optional<RouteChoice> Router::choose(const RouteQuery &query)
{
    this->applyHints(query, true);
    const TimePoint now = this->clock.now();
    double best = kUnusable;
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        const Upstream &upstream = this->upstreams[index];
        this->scoreScratch[index] = kUnusable;
        if (!this->acceptsRequests(upstream, query.version, now)
            || !this->hasRoom(upstream, query.maxSlotShare)) {
            continue;
        }
        const bool avoided = static_cast<UpstreamIndex>(index) == query.avoid
            || (!query.avoidDomain.empty() && upstream.info.failureDomain == query.avoidDomain);
        if (avoided) {
            continue;
        }
        const int uncached = std::max(0, query.promptTokens - this->cachedScratch[index]);
        this->scoreScratch[index] = this->score(upstream, uncached, this->load(upstream), now);
        best = std::min(best, this->scoreScratch[index]);
    }
    std::optional<RouteChoice> choice;
    if (best != kUnusable) {
        choice = this->selectNearBest(best);
    }
    this->applyHints(query, false);
    return choice;
}

RouteChoice Router::selectNearBest(double best)
{
    const double limit =
        best * (1 + this->options.scoreTolerance) + toSeconds(this->options.scoreToleranceTime);
    const auto isNear = [limit](double score) { return score <= limit; };
    const auto near = std::count_if(this->scoreScratch.begin(), this->scoreScratch.end(), isNear);
    auto skip = std::uniform_int_distribution<std::ptrdiff_t>(0, near - 1)(this->random);
    std::size_t index = 0;
    while (!isNear(this->scoreScratch[index]) || skip-- > 0) {
        ++index;
    }
    return {static_cast<UpstreamIndex>(index), fromSeconds(this->scoreScratch[index]),
            this->cachedScratch[index]};
}

bool Router::isServed(VersionId version) const
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(),
                       [&](const Upstream &upstream) {
                           return this->acceptsRequests(upstream, version, this->clock.now());
                       });
}

void Router::onDispatched(const RouteChoice &choice, const RouteQuery &query)
{
    Upstream &upstream = this->upstreams[static_cast<std::size_t>(choice.upstream)];
    const TimePoint now = this->clock.now();
    ++upstream.localInFlight;
    const double uncached = std::max(0, query.promptTokens - choice.cachedTokens);
    upstream.localBacklog = this->localBacklog(upstream, now) + uncached;
    upstream.localBacklogAt = now;
    this->recordLoadChange(upstream, {now, 1});
    if (query.prefixHash != 0) {
        this->hints.record(query.prefixHash, choice.upstream, query.prefixTokens, now);
    }
}

void Router::onFirstToken(const RouteChoice &choice, Duration took)
{
    Upstream &upstream = this->upstreams[static_cast<std::size_t>(choice.upstream)];
    const double before = this->slowness(upstream, this->clock.now());
    const double expected = std::max(1e-4, toSeconds(choice.expectedFirstToken) / before);
    const double seen = std::clamp(toSeconds(took) / expected, kMinSlowness, kMaxSlowness);
    upstream.slowness =
        std::exp((1 - kSlownessSmoothing) * std::log(before) + kSlownessSmoothing * std::log(seen));
    upstream.slownessAt = this->clock.now();
}

void Router::onEnded(const RouteChoice &choice, CompletionStatus end, Duration took)
{
    Upstream &upstream = this->upstreams[static_cast<std::size_t>(choice.upstream)];
    const TimePoint now = this->clock.now();
    assert(upstream.localInFlight > 0);
    --upstream.localInFlight;
    this->recordLoadChange(upstream, {now, -1});
    if (end == CompletionStatus::Finished) {
        this->serviceTime = fromSeconds((1 - kServiceTimeSmoothing) * toSeconds(this->serviceTime)
                                        + kServiceTimeSmoothing * toSeconds(took));
    }
    if (end == CompletionStatus::Crashed) {
        upstream.pausedUntil = now + this->options.crashPause;
    }
}

std::vector<RouteExplanation> Router::explain(const RouteQuery &query) const
{
    std::vector<RouteExplanation> reasons;
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        const Upstream &upstream = this->upstreams[index];
        RouteExplanation reason;
        reason.upstream = static_cast<UpstreamIndex>(index);
        reason.expectedFirstToken = this->expectedFirstToken(reason.upstream, query, 0);
        const bool hasVersion =
            query.version != kNoVersion && (upstream.loaded >> query.version & 1) != 0;
        reason.verdict = !upstream.hasReport               ? "no load report yet"
            : upstream.leaving                             ? "leaving: takes no new work"
            : !hasVersion                                  ? "does not hold this version"
            : upstream.pausedUntil > this->clock.now()     ? "paused after a failure"
            : !this->hasRoom(upstream, query.maxSlotShare) ? "full: requests wait at the entry"
                                                           : "candidate";
        reasons.push_back(std::move(reason));
    }
    return reasons;
}

} // namespace basilnotch
