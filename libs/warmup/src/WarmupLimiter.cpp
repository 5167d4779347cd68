// Two sides of a partition may choose different instances for an upstream when one of them has
// learned of instances that the other has not. The shares fill half of the bound, so that the
// chosen ones of any two views together stay within it.
#include <warmup/WarmupLimiter.h>

#include <base/Hash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace basilnotch {

namespace {

/// Views of the membership that may be in use at the same time.
constexpr double kMaxViews = 2;
constexpr double kMostSends = 1e6; // A window's; keeps the conversion to a whole number safe.

} // namespace

WarmupLimiter::WarmupLimiter(WarmupOptions options, const Clock &clock)
    : options(std::move(options))
    , clock(clock)
    , startedAt(clock.now())
    , members{this->options.instance}
{ }

void WarmupLimiter::setRates(WarmupRates next)
{
    std::erase_if(next, [](const auto &item) { return !(item.second.perSecond > 0); });
    this->rates = std::move(next);
    ++this->revision;
}

void WarmupLimiter::setMembers(std::vector<std::string> names)
{
    names.push_back(this->options.instance);
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    if (names != this->members) {
        this->members = std::move(names);
        ++this->revision;
    }
}

void WarmupLimiter::setUpstreams(const UpstreamList &list)
{
    const TimePoint now = this->clock.now();
    list.forEach([&](const UpstreamRecord &upstream) {
        if (const WarmupRate *rate = this->rateOf(upstream.service)) {
            this->learn(upstream, *rate, list);
        }
    });
    std::erase_if(this->states, [&](const auto &item) {
        const State &state = item.second;
        return state.pending == 0 && !list.find(item.first) && this->sentInWindow(state, now) == 0;
    });
}

void WarmupLimiter::learn(const UpstreamRecord &upstream, const WarmupRate &rate,
                          const UpstreamList &list)
{
    const auto [entry, isNew] = this->states.try_emplace(upstream.id);
    State &state = entry->second;
    const bool hasRestarted = isNew || state.bornMs != upstream.bornMs;
    if (hasRestarted) {
        state.bornMs = upstream.bornMs;
        state.suspectUntil = {};
    }
    if (upstream.coldLeft) {
        state.coldUntil = upstream.heardAt + *upstream.coldLeft;
    } else if (hasRestarted) {
        state.coldUntil = upstream.heardAt + rate.coldStart;
    }
    const bool isOutOfService = list.isOutOfService(upstream.id);
    if (std::exchange(state.wasOutOfService, isOutOfService) && !isOutOfService) {
        // Its operators may have restarted it meanwhile, and its registration may be on the way.
        state.suspectUntil = std::max(state.suspectUntil, this->clock.now() + rate.coldStart);
    }
    this->noteCold(state);
}

void WarmupLimiter::noteCold(const State &state)
{
    this->anyColdUntil =
        std::max(this->anyColdUntil, std::max(state.coldUntil, state.suspectUntil));
    this->anyCold = this->clock.now() < this->anyColdUntil;
}

const WarmupRate *WarmupLimiter::rateOf(std::string_view service) const
{
    const auto found = this->rates.find(service);
    return found == this->rates.end() ? nullptr : &found->second;
}

const WarmupLimiter::State *WarmupLimiter::find(const UpstreamRecord &upstream) const
{
    const auto found = this->states.find(upstream.id);
    return found == this->states.end() ? nullptr : &found->second;
}

WarmupLimiter::State *WarmupLimiter::find(const UpstreamRecord &upstream)
{
    const auto found = this->states.find(upstream.id);
    return found == this->states.end() ? nullptr : &found->second;
}

bool WarmupLimiter::isColdAt(const State &state, TimePoint now) const
{
    return now < std::max(state.coldUntil, state.suspectUntil);
}

bool WarmupLimiter::isCold(const UpstreamRecord &upstream) const
{
    const State *state = this->find(upstream);
    return state && this->isColdAt(*state, this->clock.now());
}

std::size_t WarmupLimiter::coldCount() const
{
    const TimePoint now = this->clock.now();
    return static_cast<std::size_t>(
        std::count_if(this->states.begin(), this->states.end(),
                      [&](const auto &item) { return this->isColdAt(item.second, now); }));
}

std::size_t WarmupLimiter::computeShare(const UpstreamRecord &upstream) const
{
    const WarmupRate *rate = this->rateOf(upstream.service);
    if (!rate) {
        return static_cast<std::size_t>(kMostSends);
    }
    const double bound = rate->perSecond * this->options.overrun + this->options.slack;
    const auto sends =
        static_cast<std::size_t>(std::floor(std::clamp(bound / kMaxViews, 0.0, kMostSends)));
    const std::size_t chosen = std::min(sends, this->members.size());
    const bool isChosen =
        chosen > 0 && rendezvousRank(upstream.id, this->options.instance, this->members) < chosen;
    return isChosen ? sends / chosen : 0;
}

std::size_t WarmupLimiter::share(const UpstreamRecord &upstream, const State &state) const
{
    if (this->clock.now() - this->startedAt < this->options.settleTime) {
        return 0;
    }
    if (state.shareRevision != this->revision) {
        state.share = this->computeShare(upstream);
        state.shareRevision = this->revision;
    }
    return state.share;
}

std::size_t WarmupLimiter::sentInWindow(const State &state, TimePoint now) const
{
    const auto first =
        std::upper_bound(state.sent.begin(), state.sent.end(), now - this->options.window);
    return static_cast<std::size_t>(state.sent.end() - first);
}

bool WarmupLimiter::mayAssign(const UpstreamRecord &upstream) const
{
    if (!this->anyCold) {
        return true;
    }
    const TimePoint now = this->clock.now();
    this->anyCold = now < this->anyColdUntil;
    const State *state = this->anyCold ? this->find(upstream) : nullptr;
    if (!state || !this->isColdAt(*state, now)) {
        return true;
    }
    return this->sentInWindow(*state, now) + static_cast<std::size_t>(state->pending)
        < this->share(upstream, *state);
}

Duration WarmupLimiter::waitTime(const UpstreamRecord &upstream) const
{
    if (this->mayAssign(upstream)) {
        return Duration::zero();
    }
    const TimePoint now = this->clock.now();
    const State &state = *this->find(upstream);
    const Duration untilWarm = std::max(state.coldUntil, state.suspectUntil) - now;
    const std::size_t share = this->share(upstream, state);
    if (share == 0) {
        return untilWarm;
    }
    const std::size_t sent = this->sentInWindow(state, now);
    const Duration untilFree = sent < share
        ? this->options.window // Requests that are about to be sent.
        : state.sent[state.sent.size() - share] + this->options.window - now;
    return std::min(untilWarm, untilFree);
}

void WarmupLimiter::onAssigned(const UpstreamRecord &upstream)
{
    if (State *state = this->find(upstream)) {
        ++state->pending;
    }
}

void WarmupLimiter::onReleased(const UpstreamRecord &upstream)
{
    if (State *state = this->find(upstream)) {
        state->pending = std::max(0, state->pending - 1);
    }
}

bool WarmupLimiter::trySend(const UpstreamRecord &upstream)
{
    State *state = this->find(upstream);
    if (!state) {
        return true;
    }
    const TimePoint now = this->clock.now();
    if (this->isColdAt(*state, now)
        && this->sentInWindow(*state, now) >= this->share(upstream, *state)) {
        ++this->refused;
        return false;
    }
    state->pending = std::max(0, state->pending - 1);
    std::erase_if(state->sent,
                  [&](TimePoint sentAt) { return sentAt <= now - this->options.window; });
    state->sent.push_back(now);
    return true;
}

void WarmupLimiter::onConnectFailed(const UpstreamRecord &upstream)
{
    State *state = this->find(upstream);
    const WarmupRate *rate = this->rateOf(upstream.service);
    if (state && rate && state->bornMs == upstream.bornMs) {
        state->suspectUntil = this->clock.now() + this->options.restartTime + rate->coldStart;
        this->noteCold(*state);
    }
}

} // namespace basilnotch
