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

UpstreamPicker::UpstreamPicker(PickerOptions options, PromptBacklog &backlog, const Clock &clock,
                               std::uint64_t seed)
    : options(std::move(options))
    , backlog(backlog)
    , clock(clock)
    , random(seed)
{ }

UpstreamPicker::State &UpstreamPicker::state(const UpstreamRecord &upstream)
{
    const auto found = this->states.find(upstream.id);
    if (found == this->states.end() || found->second.bornMs != upstream.bornMs) {
        State fresh(UpstreamHealth(this->options.health, this->clock));
        fresh.bornMs = upstream.bornMs;
        fresh.backlogKey = PromptBacklog::keyOf(upstream);
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

UpstreamPicker::Scored UpstreamPicker::score(const UpstreamRef &upstream, const PickQuery &query,
                                             bool isHome)
{
    const State &state = this->state(*upstream);
    const double load = this->load(state, query.liveInstances);
    Scored item;
    item.upstream = &upstream;
    item.ms = inMs(this->options.perRunning) * load;
    if (query.isEngine) {
        item.work = query.ownWork + (isHome ? Duration::zero() : query.sharedWork);
        item.ahead = this->backlog.unread(state.backlogKey);
        item.ms += inMs(item.ahead + item.work);
        constexpr double kThousand = 1000;
        const double rereadThousands = isHome ? 0 : query.sharedTokens / kThousand;
        item.ms += rereadThousands * inMs(this->options.rereadPer1000);
    }
    if (upstream->failureDomain != this->options.ownDomain) {
        item.ms += inMs(this->options.otherDomainPenalty);
    }
    item.ms *= 1 + 2 * state.health.failureShare();
    const bool isTried = state.health.isOnTrial() && state.inFlight > 0;
    item.isHealthy = !state.health.isPaused() && !isTried;
    item.isFull = load >= std::max(1.0, this->options.fillLimit * upstream->slots);
    return item;
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
        if (!contains(query.avoid, candidate->id)) {
            this->scored.push_back(this->score(candidate, query, candidate.get() == home));
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
    const double limit = best * (1 + this->options.nearBest) + inMs(this->options.nearBestSlack);
    this->nearBest.clear();
    for (const Scored &item : this->scored) {
        if (isUsable(item) && item.ms <= limit) {
            this->nearBest.push_back(&item);
        }
    }
    return this->nearBest.empty() ? nullptr
                                  : this->nearBest[this->random() % this->nearBest.size()];
}

Pick UpstreamPicker::pick(const PickQuery &query)
{
    this->scoreAll(query);
    if (this->scored.empty()) {
        return {nullptr, PickProblem::NoUpstream, {}, {}};
    }
    const bool anyHealthy = std::any_of(this->scored.begin(), this->scored.end(),
                                        [](const Scored &item) { return item.isHealthy; });
    // When all look sick it is likelier that this instance misjudges them.
    const Scored *picked = this->pickNearBest(anyHealthy);
    return picked ? Pick{*picked->upstream, PickProblem::None, picked->work, picked->ahead}
                  : Pick{nullptr, PickProblem::AllFull, {}, {}};
}

void UpstreamPicker::onSent(const UpstreamRecord &upstream, Duration work)
{
    State &state = this->state(upstream);
    ++state.inFlight;
    if (work > Duration::zero()) {
        this->backlog.onSent(state.backlogKey, work);
    }
}

void UpstreamPicker::onRead(const UpstreamRecord &upstream, Duration work)
{
    if (work > Duration::zero()) {
        this->backlog.onRead(this->state(upstream).backlogKey, work);
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
