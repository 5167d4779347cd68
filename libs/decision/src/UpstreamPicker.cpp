// A shared prompt that no engine is known to have cached is prefilled at its home engine, which all
// instances determine by rendezvous hashing. A cached one is used in place or fetched from its
// holder. The score includes the delays of prefill and transfer, so overloaded engines are avoided.
#include <decision/UpstreamPicker.h>

#include <base/Hash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace basilnotch {

namespace {

double inMs(Duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// An engine with more queued prefills may be silent without a fault.
constexpr Duration kMaxAheadOfSilent = std::chrono::seconds(1);

bool contains(std::span<const std::string> ids, std::string_view id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

UpstreamPicker::UpstreamPicker(PickerOptions options, EngineEstimates &engineEstimates,
                               const Clock &clock, std::uint64_t seed, WarmupLimiter *warmup)
    : options(std::move(options))
    , engineEstimates(engineEstimates)
    , warmup(warmup)
    , clock(clock)
    , random(seed)
    , notices(clock)
{ }

UpstreamPicker::State &UpstreamPicker::state(const UpstreamRecord &upstream)
{
    auto &[id, state] = this->statesByRecord[&upstream];
    if (state && *id == upstream.id && state->bornMs == upstream.bornMs) {
        return *state;
    }
    auto found = this->states.find(upstream.id);
    if (found == this->states.end() || found->second.bornMs != upstream.bornMs) {
        State fresh(UpstreamHealth(this->options.health, this->clock));
        fresh.bornMs = upstream.bornMs;
        fresh.backlogKey = PrefillBacklog::engineKey(upstream);
        found = this->states.insert_or_assign(upstream.id, fresh).first;
    }
    id = &found->first;
    state = &found->second;
    return *state;
}

UpstreamPicker::ServiceTimes &UpstreamPicker::serviceTimes(const UpstreamRecord &upstream)
{
    const auto found = this->times.find(upstream.service);
    return found != this->times.end() ? found->second : this->times[upstream.service];
}

void UpstreamPicker::fade(ServiceTimes &times) const
{
    const TimePoint now = this->clock.now();
    if (times.updatedAt != TimePoint{}) {
        const double seconds = toSeconds(now - times.updatedAt);
        const double left = std::exp(-seconds / toSeconds(this->options.holdTimeSmoothing));
        times.requestSeconds = times.requestSeconds * left + times.inFlight * seconds;
        times.ended *= left;
    }
    times.updatedAt = now;
}

Duration UpstreamPicker::holdTime(const ServiceTimes &times) const
{
    return times.ended < 1 ? this->options.initialHoldTime
                           : fromSeconds(times.requestSeconds / times.ended);
}

UpstreamPicker::Scored UpstreamPicker::score(const UpstreamRef &upstream, const State &state,
                                             const UpstreamLoad &load, const PickQuery &query,
                                             const PromptSources &sources) const
{
    Scored item;
    item.upstream = &upstream;
    item.msPerRequest = inMs(this->options.delayPerRequest) / load.pace;
    item.ms = item.msPerRequest * load.requests;
    if (query.isEngine) {
        this->scorePrompt(state, load.pace, query, sources, &item);
    } else {
        constexpr double kMsPerSecond = 1000;
        item.ms += std::max(0.0, 1 / load.pace - 1) * this->serviceSeconds * kMsPerSecond;
    }
    if (upstream->failureDomain != this->options.ownDomain) {
        item.ms += inMs(this->options.otherDomainPenalty);
    }
    item.ms *= 1 + 2 * state.health.smoothedFailureRatio();
    const bool hasProbeInFlight = state.health.isProbing() && state.inFlight > 0;
    item.isHealthy = !state.health.isPaused() && !hasProbeInFlight && !load.failsForOthers
        && !(load.isSilent && item.ahead < kMaxAheadOfSilent);
    item.isFull = load.requests >= std::max(1.0, this->options.maxSlotShare * upstream->slots);
    return item;
}

void UpstreamPicker::scorePrompt(const State &state, double pace, const PickQuery &query,
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
    item->ms += inMs(item->ahead + item->work) / pace;
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
    return !contains(query.avoid, upstream.id) && this->notices.acceptsRequests(upstream)
        && (!this->warmup || this->warmup->mayAssign(upstream));
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
    for (std::size_t index = 0; !sources.holders.empty() && index < this->usable.size(); ++index) {
        const State &state = *this->usableStates[index];
        const auto place =
            std::find(sources.holders.begin(), sources.holders.end(), state.backlogKey);
        const auto rank = static_cast<std::size_t>(place - sources.holders.begin()) + 1;
        if (place != sources.holders.end() && rank > latest && !state.health.isPaused()) {
            latest = rank;
            sources.latest = this->usable[index];
        }
    }
    return sources;
}

void UpstreamPicker::scoreAll(const PickQuery &query)
{
    this->scored.clear();
    this->usable.clear();
    this->usableStates.clear();
    this->loads.clear();
    for (const UpstreamRef &candidate : query.candidates) {
        if (this->mayServe(*candidate, query)) {
            const State &state = this->state(*candidate);
            this->usable.push_back(&candidate);
            this->usableStates.push_back(&state);
            this->loads.push_back({state.backlogKey, candidate->slots});
        }
    }
    if (this->usable.empty()) {
        return;
    }
    const PromptSources sources = this->findPromptSources(query);
    this->fetchSource = sources.latest;
    ServiceTimes &times = this->serviceTimes(**this->usable.front());
    this->fade(times);
    this->serviceSeconds = times.answerSeconds;
    this->engineEstimates.load.estimate(this->loads, this->holdTime(times), query.liveInstances);
    this->unseenArrivals = 0;
    for (std::size_t index = 0; index < this->usable.size(); ++index) {
        const UpstreamLoad &load = this->loads[index];
        this->unseenArrivals += load.unseenArrivals;
        this->scored.push_back(
            this->score(*this->usable[index], *this->usableStates[index], load, query, sources));
    }
}

double UpstreamPicker::fillLevel(double best) const
{
    // Each item takes (level - ms) / msPerRequest of the arrivals. Starts with a level that is too
    // high and leaves out the items above it until none is left out.
    double level = std::numeric_limits<double>::infinity();
    while (true) {
        double arrivals = this->unseenArrivals;
        double perMs = 0;
        double highest = 0;
        for (const Scored *item : this->nearBest) {
            if (item->ms < level) {
                arrivals += item->ms / item->msPerRequest;
                perMs += 1 / item->msPerRequest;
                highest = std::max(highest, item->ms);
            }
        }
        if (perMs == 0) {
            return best;
        }
        level = arrivals / perMs;
        if (highest <= level) {
            return level;
        }
    }
}

const UpstreamPicker::Scored *UpstreamPicker::pickNearBest(bool healthyOnly)
{
    this->nearBest.clear();
    double best = std::numeric_limits<double>::infinity();
    for (Scored &item : this->scored) {
        if (!item.isFull && (item.isHealthy || !healthyOnly)) {
            this->nearBest.push_back(&item);
            best = std::min(best, item.ms);
        }
    }
    if (this->nearBest.empty()) {
        return nullptr;
    }
    const double tolerated =
        best * (1 + this->options.scoreTolerance) + inMs(this->options.scoreToleranceTime);
    const double level = std::max(this->fillLevel(best), tolerated);
    double sum = 0;
    for (Scored *item : this->nearBest) {
        item->weight = std::max(0.0, level - item->ms) / item->msPerRequest;
        sum += item->weight;
    }
    double left = std::uniform_real_distribution<double>(0, sum)(this->random);
    const Scored *picked = nullptr;
    for (const Scored *item : this->nearBest) {
        if (item->weight <= 0) {
            continue;
        }
        picked = item;
        left -= item->weight;
        if (left < 0) {
            break;
        }
    }
    return picked;
}

Pick UpstreamPicker::explainNone(const PickQuery &query) const
{
    Pick none;
    for (const UpstreamRef &candidate : query.candidates) {
        std::optional<Duration> left = this->notices.pauseLeft(*candidate);
        if (!left && this->warmup && this->notices.acceptsRequests(*candidate)) {
            left = this->warmup->waitTime(*candidate);
        }
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

UpstreamLoad UpstreamPicker::loadOf(const UpstreamRecord &upstream, int liveInstances)
{
    std::array<UpstreamLoad, 1> loads{{{this->state(upstream).backlogKey, upstream.slots}}};
    this->engineEstimates.load.estimate(loads, this->holdTime(this->serviceTimes(upstream)),
                                        liveInstances);
    return loads.front();
}

bool UpstreamPicker::isLessLoaded(const UpstreamRecord &upstream, const UpstreamRecord &other,
                                  int liveInstances)
{
    const auto usedShare = [&](const UpstreamRecord &record) {
        const UpstreamLoad load = this->loadOf(record, liveInstances);
        return load.requests / (std::max(1, record.slots) * load.pace);
    };
    return usedShare(upstream) < usedShare(other);
}

CandidateExplanation UpstreamPicker::explainCandidate(const UpstreamRef &upstream,
                                                      const PickQuery &query)
{
    CandidateExplanation item;
    item.upstream = upstream;
    const State &state = this->state(*upstream);
    item.load = this->loadOf(*upstream, query.liveInstances).requests;
    item.failureRatio = state.health.smoothedFailureRatio();
    item.pauseLeft = this->notices.pauseLeft(*upstream).value_or(Duration::zero());
    if (contains(query.avoid, upstream->id)) {
        item.leftOut = "has failed this request";
    } else if (!this->notices.acceptsRequests(*upstream)) {
        item.leftOut = item.pauseLeft > Duration::zero() ? "paused" : "leaving";
    } else if (!this->mayServe(*upstream, query)) {
        item.leftOut = "warming up";
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
    if (this->warmup) {
        this->warmup->onAssigned(upstream);
    }
    State &state = this->state(upstream);
    ++state.inFlight;
    this->engineEstimates.load.onSent(state.backlogKey);
    ServiceTimes &times = this->serviceTimes(upstream);
    this->fade(times);
    ++times.inFlight;
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
    this->engineEstimates.load.onEnded(state.backlogKey);
    ServiceTimes &times = this->serviceTimes(upstream);
    this->fade(times);
    times.inFlight = std::max(0, times.inFlight - 1);
    ++times.ended;
    if (result) {
        this->engineEstimates.load.onResult(state.backlogKey, *result == AttemptResult::Good);
    }
    return result && state.health.onResult(*result);
}

void UpstreamPicker::onLoad(const UpstreamRecord &upstream, const LoadSample &sample)
{
    this->engineEstimates.load.onSample(this->state(upstream).backlogKey, sample);
}

void UpstreamPicker::onAnswered(const UpstreamRecord &upstream, Duration took, Duration expected)
{
    ServiceTimes &times = this->serviceTimes(upstream);
    const double fixed = toSeconds(this->options.fixedDelay);
    const double seconds = toSeconds(took) + fixed;
    const double smoothing = this->options.serviceTimeSmoothing;
    times.answerSeconds = times.answerSeconds == 0
        ? seconds
        : times.answerSeconds + smoothing * (seconds - times.answerSeconds);
    const bool hasPrefill = expected > Duration::zero();
    const double usual = hasPrefill ? toSeconds(expected) + fixed : times.answerSeconds;
    const double logRatio = std::log(seconds / usual);
    // Compared with the other upstreams, so an expectation that is wrong for all does no harm.
    this->engineEstimates.load.onServiceTime(this->state(upstream).backlogKey,
                                             std::exp(logRatio - times.logRatio));
    times.logRatio += smoothing * (logRatio - times.logRatio);
}

void UpstreamPicker::retain(const UpstreamList &list)
{
    this->statesByRecord.clear();
    std::erase_if(this->states, [&](const auto &item) {
        return item.second.inFlight == 0 && !list.find(item.first);
    });
}

} // namespace basilnotch
