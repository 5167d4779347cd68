// A shared prompt that no engine is known to have cached is prefilled at its home engine, which all
// instances determine by rendezvous hashing. A cached one is used in place or fetched from its
// holder. The score includes the delays of prefill and transfer, so overloaded engines are avoided.
#include <decision/UpstreamPicker.h>

#include <base/Hash.h>

#include <algorithm>
#include <limits>

namespace basilnotch {

namespace {

double inMs(Duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

bool contains(std::span<const std::string> ids, std::string_view id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

UpstreamPicker::UpstreamPicker(PickerOptions options, EngineEstimates &engineEstimates,
                               const Clock &clock, std::uint64_t seed)
    : options(std::move(options))
    , engineEstimates(engineEstimates)
    , clock(clock)
    , random(seed)
    , notices(clock)
{ }

UpstreamPicker::State &UpstreamPicker::state(const UpstreamRecord &upstream)
{
    const auto found = this->states.find(upstream.id);
    if (found == this->states.end() || found->second.bornMs != upstream.bornMs) {
        State fresh(UpstreamHealth(this->options.health, this->clock));
        fresh.bornMs = upstream.bornMs;
        fresh.backlogKey = PrefillBacklog::engineKey(upstream);
        return this->states.insert_or_assign(upstream.id, fresh).first->second;
    }
    return found->second;
}

double UpstreamPicker::load(const State &state, int liveInstances) const
{
    const bool fresh = this->clock.now() - state.sampledAt < this->options.maxSampleAge
        && state.sampledAt != TimePoint{};
    if (!fresh) {
        // Other instances are assumed to send as much as this one.
        return state.inFlight * std::max(1, liveInstances);
    }
    const int since = state.inFlight - state.inFlightAtSample;
    return std::max(state.inFlight, state.sample.running + state.sample.waiting + since);
}

UpstreamPicker::Scored UpstreamPicker::score(const UpstreamRef &upstream, const PickQuery &query,
                                             const PromptSources &sources)
{
    const State &state = this->state(*upstream);
    const double load = this->load(state, query.liveInstances);
    Scored item;
    item.upstream = &upstream;
    item.ms = inMs(this->options.delayPerRequest) * load;
    if (query.isEngine) {
        this->scorePrompt(state, query, sources, &item);
    }
    if (upstream->failureDomain != this->options.ownDomain) {
        item.ms += inMs(this->options.otherDomainPenalty);
    }
    item.ms *= 1 + 2 * state.health.smoothedFailureRatio();
    const bool hasProbeInFlight = state.health.isProbing() && state.inFlight > 0;
    item.isHealthy = !state.health.isPaused() && !hasProbeInFlight;
    item.isFull = load >= std::max(1.0, this->options.maxSlotShare * upstream->slots);
    return item;
}

void UpstreamPicker::scorePrompt(const State &state, const PickQuery &query,
                                 const PromptSources &sources, Scored *item) const
{
    constexpr double kThousand = 1000;
    const double thousands = query.sharedTokens / kThousand;
    const std::uint32_t key = state.backlogKey;
    const auto &holders = sources.holders;
    item->ahead = this->engineEstimates.backlog.pendingWork(key);
    item->work = query.ownWork;
    if (std::find(holders.begin(), holders.end(), key) != holders.end()) {
        // Only the unshared part of the prompt needs prefill.
    } else if (sources.latest && query.sharedTokens >= this->options.minFetchedTokens) {
        item->fetches = true;
        item->work += this->options.fetchTime;
        item->ms += thousands * inMs(this->options.fetchCostPer1000);
    } else {
        const bool isHome = item->upstream->get() == sources.homeEngine;
        item->work += query.sharedWork;
        item->ms += isHome ? 0 : thousands * inMs(this->options.prefillCostPer1000);
    }
    item->ms += inMs(item->ahead + item->work);
}

const UpstreamRecord *UpstreamPicker::homeEngine(const PickQuery &query)
{
    const UpstreamRecord *homeEngine = nullptr;
    std::uint64_t heaviest = 0;
    for (const UpstreamRef &candidate : query.candidates) {
        const std::uint64_t weight = hash64(candidate->id, query.affinityKey);
        if (!homeEngine || weight > heaviest) {
            homeEngine = candidate.get();
            heaviest = weight;
        }
    }
    return homeEngine;
}

bool UpstreamPicker::mayServe(const UpstreamRecord &upstream, const PickQuery &query) const
{
    return !contains(query.avoid, upstream.id) && this->notices.acceptsRequests(upstream);
}

UpstreamPicker::PromptSources UpstreamPicker::findPromptSources(const PickQuery &query)
{
    PromptSources sources;
    if (query.affinityKey == 0) {
        return sources;
    }
    sources.homeEngine = UpstreamPicker::homeEngine(query);
    sources.holders =
        this->engineEstimates.cachedPrompts.holders(static_cast<std::uint32_t>(query.affinityKey));
    std::size_t latest = 0;
    for (const UpstreamRef &candidate : query.candidates) {
        const State &state = this->state(*candidate);
        const auto place =
            std::find(sources.holders.begin(), sources.holders.end(), state.backlogKey);
        const auto rank = static_cast<std::size_t>(place - sources.holders.begin()) + 1;
        if (place != sources.holders.end() && rank > latest && !state.health.isPaused()
            && this->mayServe(*candidate, query)) {
            latest = rank;
            sources.latest = &candidate;
        }
    }
    return sources;
}

void UpstreamPicker::scoreAll(const PickQuery &query)
{
    this->scored.clear();
    const PromptSources sources = this->findPromptSources(query);
    this->fetchSource = sources.latest;
    for (const UpstreamRef &candidate : query.candidates) {
        if (this->mayServe(*candidate, query)) {
            this->scored.push_back(this->score(candidate, query, sources));
        }
    }
}

const UpstreamPicker::Scored *UpstreamPicker::pickNearBest(bool healthyOnly)
{
    const auto isUsable = [healthyOnly](const Scored &item) {
        return !item.isFull && (item.isHealthy || !healthyOnly);
    };
    double best = std::numeric_limits<double>::infinity();
    for (const Scored &item : this->scored) {
        best = isUsable(item) ? std::min(best, item.ms) : best;
    }
    const double limit =
        best * (1 + this->options.scoreTolerance) + inMs(this->options.scoreToleranceTime);
    this->nearBest.clear();
    for (const Scored &item : this->scored) {
        if (isUsable(item) && item.ms <= limit) {
            this->nearBest.push_back(&item);
        }
    }
    return this->nearBest.empty() ? nullptr
                                  : this->nearBest[this->random() % this->nearBest.size()];
}

Pick UpstreamPicker::explainNone(const PickQuery &query) const
{
    Pick none;
    for (const UpstreamRef &candidate : query.candidates) {
        const std::optional<Duration> left = this->notices.pauseLeft(*candidate);
        if (left && !contains(query.avoid, candidate->id)) {
            const bool isFirst = none.problem != PickProblem::AllPaused;
            none.pauseLeft = isFirst ? *left : std::min(none.pauseLeft, *left);
            none.problem = PickProblem::AllPaused;
        }
    }
    return none;
}

Pick UpstreamPicker::pick(const PickQuery &query)
{
    this->scoreAll(query);
    if (this->scored.empty()) {
        return this->explainNone(query);
    }
    const bool anyHealthy = std::any_of(this->scored.begin(), this->scored.end(),
                                        [](const Scored &item) { return item.isHealthy; });
    // If all appear unhealthy, a fault on this instance's side is more likely, so all are used.
    const Scored *picked = this->pickNearBest(anyHealthy);
    if (!picked) {
        return {nullptr, PickProblem::AllFull, {}, {}, nullptr, {}};
    }
    const UpstreamRef source = picked->fetches ? *this->fetchSource : nullptr;
    return {*picked->upstream, PickProblem::None, picked->work, picked->ahead, source, {}};
}

CandidateExplanation UpstreamPicker::explainCandidate(const UpstreamRef &upstream,
                                                      const PickQuery &query)
{
    CandidateExplanation item;
    item.upstream = upstream;
    const State &state = this->state(*upstream);
    item.load = this->load(state, query.liveInstances);
    item.failureRatio = state.health.smoothedFailureRatio();
    item.pauseLeft = this->notices.pauseLeft(*upstream).value_or(Duration::zero());
    if (contains(query.avoid, upstream->id)) {
        item.leftOut = "has failed this request";
    } else if (!this->notices.acceptsRequests(*upstream)) {
        item.leftOut = item.pauseLeft > Duration::zero() ? "paused" : "leaving";
    }
    const auto scored =
        std::find_if(this->scored.begin(), this->scored.end(),
                     [&](const Scored &s) { return s.upstream->get() == upstream.get(); });
    if (scored == this->scored.end()) {
        return item;
    }
    item.scoreMs = scored->ms;
    item.ahead = scored->ahead;
    item.work = scored->work;
    item.fetchesPrompt = scored->fetches;
    const bool isNearBest =
        std::find(this->nearBest.begin(), this->nearBest.end(), &*scored) != this->nearBest.end();
    if (!isNearBest) {
        item.leftOut = scored->isFull ? "full" : !scored->isHealthy ? "unhealthy" : "score";
    }
    return item;
}

PickExplanation UpstreamPicker::explain(const PickQuery &query) const
{
    // A copy has the same state and random numbers, so its pick is the next one.
    UpstreamPicker copy(*this);
    copy.nearBest.clear();
    PickExplanation explanation;
    explanation.pick = copy.pick(query);
    for (const UpstreamRef &candidate : query.candidates) {
        explanation.candidates.push_back(copy.explainCandidate(candidate, query));
    }
    return explanation;
}

void UpstreamPicker::onSent(const UpstreamRecord &upstream, Duration work)
{
    State &state = this->state(upstream);
    ++state.inFlight;
    if (work > Duration::zero()) {
        this->engineEstimates.backlog.onSent(state.backlogKey, work);
    }
}

void UpstreamPicker::onPrefilled(const UpstreamRecord &upstream, Duration work)
{
    if (work > Duration::zero()) {
        this->engineEstimates.backlog.onPrefilled(this->state(upstream).backlogKey, work);
    }
}

bool UpstreamPicker::onEnded(const UpstreamRecord &upstream, std::optional<AttemptResult> result)
{
    State &state = this->state(upstream);
    state.inFlight = std::max(0, state.inFlight - 1);
    return result && state.health.onResult(*result);
}

void UpstreamPicker::onLoad(const UpstreamRecord &upstream, const LoadSample &sample)
{
    State &state = this->state(upstream);
    state.sample = sample;
    state.sampledAt = this->clock.now();
    state.inFlightAtSample = state.inFlight;
}

void UpstreamPicker::retain(const UpstreamList &list)
{
    std::erase_if(this->states, [&](const auto &item) {
        return item.second.inFlight == 0 && !list.find(item.first);
    });
}

} // namespace basilnotch
