// Rendezvous hashing gives each shared prompt a first and a second home that all instances agree
// on; the delay of reading it again elsewhere stands in the score, so a home that is behind is
// passed by.
#include <decision/UpstreamPicker.h>

#include <base/Hash.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace {

constexpr int kHomes = 2; ///< Upstreams that are taken to hold a shared prompt.
constexpr double kFullPenaltyMs = 1e6;

double inMs(Duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

bool contains(std::span<const std::string> ids, std::string_view id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

int uncachedTokens(const PickQuery &query, int affinityRank)
{
    return query.ownTokens + (affinityRank < kHomes ? 0 : query.sharedTokens);
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

double UpstreamPicker::load(const UpstreamRecord &upstream, const State &state,
                            int liveInstances) const
{
    (void)upstream;
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
                               const PickQuery &query, int affinityRank) const
{
    const double load = this->load(upstream, state, query.liveInstances);
    double score = inMs(this->options.perRunning) * load;
    if (query.isEngine) {
        const double tokens = state.unreadTokens + uncachedTokens(query, affinityRank);
        score += tokens / this->options.prefillTokensPerMs;
    }
    if (upstream.failureDomain != this->options.ownDomain) {
        score += inMs(this->options.otherDomainPenalty);
    }
    return score * (1 + 2 * state.health.failureShare());
}

std::vector<const UpstreamRecord *> UpstreamPicker::affinityOrder(const PickQuery &query) const
{
    std::vector<std::pair<std::uint64_t, const UpstreamRecord *>> weighed;
    weighed.reserve(query.candidates.size());
    for (const UpstreamRef &candidate : query.candidates) {
        weighed.emplace_back(hash64(candidate->id, query.affinityKey), candidate.get());
    }
    std::sort(weighed.begin(), weighed.end(), std::greater<>());
    std::vector<const UpstreamRecord *> order;
    order.reserve(weighed.size());
    for (const auto &[weight, upstream] : weighed) {
        order.push_back(upstream);
    }
    return order;
}

Pick UpstreamPicker::pick(const PickQuery &query)
{
    struct Scored
    {
        const UpstreamRef *upstream;
        double score;
        bool healthy;
        bool full;
    };
    std::vector<Scored> scored;
    const auto order =
        query.affinityKey != 0 ? this->affinityOrder(query) : std::vector<const UpstreamRecord *>();
    std::size_t healthyCount = 0;
    for (const UpstreamRef &candidate : query.candidates) {
        if (contains(query.avoid, candidate->id)) {
            continue;
        }
        const State &state = this->state(*candidate);
        const auto rank = std::find(order.begin(), order.end(), candidate.get()) - order.begin();
        const bool onTrial = state.health.isOnTrial() && state.inFlight > 0;
        const bool healthy = !state.health.isPaused() && !onTrial;
        const double load = this->load(*candidate, state, query.liveInstances);
        const double room = std::max(1.0, this->options.fillLimit * candidate->slots);
        healthyCount += healthy ? 1 : 0;
        scored.push_back({&candidate,
                          this->scoreMs(*candidate, state, query, static_cast<int>(rank)), healthy,
                          load >= room});
    }
    if (scored.empty()) {
        return {nullptr, PickProblem::NoUpstream};
    }
    const auto mustRemain = static_cast<std::size_t>(
        std::ceil((1 - this->options.mostPausedShare) * static_cast<double>(scored.size())));
    const bool ignoreHealth = healthyCount < std::min<std::size_t>(mustRemain, 1);
    double best = kFullPenaltyMs;
    for (const Scored &item : scored) {
        if (!item.full && (item.healthy || ignoreHealth)) {
            best = std::min(best, item.score);
        }
    }
    if (best >= kFullPenaltyMs) {
        return {nullptr, PickProblem::AllFull};
    }
    const double limit = best * (1 + this->options.nearBest) + inMs(this->options.nearBestSlack);
    std::vector<const UpstreamRef *> near;
    for (const Scored &item : scored) {
        if (!item.full && (item.healthy || ignoreHealth) && item.score <= limit) {
            near.push_back(item.upstream);
        }
    }
    return {*near[this->random() % near.size()], PickProblem::None};
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

double UpstreamPicker::occupancy(std::span<const UpstreamRef> candidates, int liveInstances) const
{
    double taken = 0;
    double places = 0;
    for (const UpstreamRef &candidate : candidates) {
        const auto found = this->states.find(candidate->id);
        places += candidate->slots;
        if (found != this->states.end()) {
            taken += this->load(*candidate, found->second, liveInstances);
        }
    }
    return places > 0 ? taken / places : 1;
}

} // namespace basilnotch
