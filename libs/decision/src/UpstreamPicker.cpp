// Rendezvous hashing gives each shared prompt a home that all instances agree on; the delay of
// reading it again elsewhere stands in the score, so a home that is behind is passed by.
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

UpstreamPicker::UpstreamPicker(PickerOptions options, const Clock &clock, std::uint64_t seed)
    : options(std::move(options))
    , clock(clock)
    , random(seed)
{ }

UpstreamPicker::State &UpstreamPicker::state(const UpstreamRecord &upstream)
{
    const auto found = this->states.find(upstream.id);
    if (found == this->states.end() || found->second.bornMs != upstream.bornMs) {
        State fresh(UpstreamHealth(this->options.health, this->clock));
        fresh.bornMs = upstream.bornMs;
        return this->states.insert_or_assign(upstream.id, fresh).first->second;
    }
    return found->second;
}

double UpstreamPicker::load(const State &state, int liveInstances) const
{
    const bool fresh = this->clock.now() - state.sampledAt < this->options.sampleAge
        && state.sampledAt != TimePoint{};
    if (!fresh) {
        // Others are taken to send as much as this instance does.
        return state.inFlight * std::max(1, liveInstances);
    }
    const int since = state.inFlight - state.inFlightAtSample;
    return std::max(state.inFlight, state.sample.running + state.sample.waiting + since);
}

double UpstreamPicker::scoreMs(const UpstreamRecord &upstream, const State &state,
                               const PickQuery &query, bool isHome) const
{
    const double load = this->load(state, query.liveInstances);
    double score = inMs(this->options.perRunning) * load;
    if (query.isEngine) {
        const int uncached = query.ownTokens + (isHome ? 0 : query.sharedTokens);
        const double tokens = state.unreadTokens + uncached;
        score += tokens / this->options.prefillTokensPerMs;
    }
    if (upstream.failureDomain != this->options.ownDomain) {
        score += inMs(this->options.otherDomainPenalty);
    }
    return score * (1 + 2 * state.health.failureShare());
}

const UpstreamRecord *UpstreamPicker::home(const PickQuery &query)
{
    const UpstreamRecord *home = nullptr;
    std::uint64_t heaviest = 0;
    if (query.affinityKey == 0) {
        return home;
    }
    for (const UpstreamRef &candidate : query.candidates) {
        const std::uint64_t weight = hash64(candidate->id, query.affinityKey);
        if (!home || weight > heaviest) {
            home = candidate.get();
            heaviest = weight;
        }
    }
    return home;
}

void UpstreamPicker::scoreAll(const PickQuery &query)
{
    this->scored.clear();
    const UpstreamRecord *home = UpstreamPicker::home(query);
    for (const UpstreamRef &candidate : query.candidates) {
        if (contains(query.avoid, candidate->id)) {
            continue;
        }
        const State &state = this->state(*candidate);
        const bool isHome = candidate.get() == home;
        const bool isTried = state.health.isOnTrial() && state.inFlight > 0;
        const double room = std::max(1.0, this->options.fillLimit * candidate->slots);
        Scored item;
        item.upstream = &candidate;
        item.ms = this->scoreMs(*candidate, state, query, isHome);
        item.isHealthy = !state.health.isPaused() && !isTried;
        item.isFull = this->load(state, query.liveInstances) >= room;
        this->scored.push_back(item);
    }
}

const UpstreamRef *UpstreamPicker::pickNearBest(bool healthyOnly)
{
    const auto isUsable = [healthyOnly](const Scored &item) {
        return !item.isFull && (item.isHealthy || !healthyOnly);
    };
    double best = std::numeric_limits<double>::infinity();
    for (const Scored &item : this->scored) {
        best = isUsable(item) ? std::min(best, item.ms) : best;
    }
    const double limit = best * (1 + this->options.nearBest) + inMs(this->options.nearBestSlack);
    this->nearBest.clear();
    for (const Scored &item : this->scored) {
        if (isUsable(item) && item.ms <= limit) {
            this->nearBest.push_back(item.upstream);
        }
    }
    return this->nearBest.empty() ? nullptr
                                  : this->nearBest[this->random() % this->nearBest.size()];
}

Pick UpstreamPicker::pick(const PickQuery &query)
{
    this->scoreAll(query);
    if (this->scored.empty()) {
        return {nullptr, PickProblem::NoUpstream};
    }
    const bool anyHealthy = std::any_of(this->scored.begin(), this->scored.end(),
                                        [](const Scored &item) { return item.isHealthy; });
    // When all look sick it is likelier that this instance misjudges them.
    const UpstreamRef *picked = this->pickNearBest(anyHealthy);
    return picked ? Pick{*picked, PickProblem::None} : Pick{nullptr, PickProblem::AllFull};
}

void UpstreamPicker::onSent(const UpstreamRecord &upstream, const PickQuery &query)
{
    State &state = this->state(upstream);
    ++state.inFlight;
    state.unreadTokens += query.ownTokens;
}

void UpstreamPicker::onFirstByte(const UpstreamRecord &upstream, const PickQuery &query)
{
    State &state = this->state(upstream);
    state.unreadTokens = std::max(0.0, state.unreadTokens - query.ownTokens);
}

bool UpstreamPicker::onEnded(const UpstreamRecord &upstream, const PickQuery &query,
                             bool sawFirstByte, std::optional<AttemptResult> result)
{
    State &state = this->state(upstream);
    state.inFlight = std::max(0, state.inFlight - 1);
    if (!sawFirstByte) {
        state.unreadTokens = std::max(0.0, state.unreadTokens - query.ownTokens);
    }
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
