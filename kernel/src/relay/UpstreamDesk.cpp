// A place is taken for a waiting request before its fiber runs again, so that a later one cannot
// slip in.
#include "UpstreamDesk.h"

#include <decision/CanaryGroup.h>

#include <algorithm>
#include <utility>

namespace basilnotch {

namespace {

/// Shared prompts of fewer tokens are not worth telling other instances of.
constexpr int kLeastToldTokens = 1000;

std::uint32_t promptOf(const UpstreamWant &want)
{
    return want.sharedTokens >= kLeastToldTokens ? static_cast<std::uint32_t>(want.affinityKey) : 0;
}

} // namespace

UpstreamLease::UpstreamLease(UpstreamDesk &desk, Pick pick, std::uint32_t prompt)
    : desk(desk)
    , pick(std::move(pick))
    , prompt(prompt)
{ }

UpstreamLease::~UpstreamLease()
{
    this->endReading();
    this->desk.picker.onEnded(this->upstream(), this->result);
    this->desk.forecast(this->upstream().service).onPlaceFreed();
    this->desk.pump();
}

void UpstreamLease::onLoad(const LoadSample &sample)
{
    this->desk.picker.onLoad(this->upstream(), sample);
}

void UpstreamLease::endReading()
{
    if (!std::exchange(this->isRead, true)) {
        this->desk.picker.onRead(this->upstream(), this->pick.work);
        this->desk.listener.backlogChanged();
    }
}

void UpstreamLease::onFirstByte()
{
    if (!this->isRead && this->prompt != 0) {
        const PlaceNote note{this->prompt, PromptBacklog::keyOf(this->upstream())};
        this->desk.beliefs.places.onRead(note);
        this->desk.listener.promptRead(note);
    }
    this->endReading();
}

UpstreamDesk::UpstreamDesk(PickerOptions options, EngineBeliefs &beliefs, const Clock &clock,
                           std::uint64_t seed, DeskListener listener)
    : clock(clock)
    , beliefs(beliefs)
    , picker(std::move(options), beliefs, clock, seed)
    , listener(std::move(listener))
{ }

void UpstreamDesk::setUpstreams(std::shared_ptr<const UpstreamList> next, int instances)
{
    this->list = std::move(next);
    this->liveInstances = instances;
    this->picker.retain(*this->list);
    this->pump();
}

Pick UpstreamDesk::pick(const UpstreamWant &want)
{
    const std::vector<UpstreamRef> &ready = this->list->ready(want.service);
    const VersionFilter versions = want.versions();
    this->candidates.clear();
    for (const UpstreamRef &upstream : ready) {
        if (versions.allows(*upstream)) {
            this->candidates.push_back(upstream);
        }
    }
    Pick picked;
    if (versions.share < 1) {
        const std::size_t oldOnes = ready.size() - this->candidates.size();
        this->canaries = this->candidates;
        keepCanaries(&this->canaries, canaryCount(this->candidates.size(), oldOnes, versions.share),
                     versions.order);
        picked = this->pickFrom(this->canaries, want);
    }
    if (!picked.upstream) {
        picked = this->pickFrom(this->candidates, want);
    }
    if (picked.upstream) {
        this->picker.onSent(*picked.upstream, picked.work);
        this->listener.backlogChanged();
    }
    return picked;
}

Pick UpstreamDesk::pickFrom(std::span<const UpstreamRef> upstreams, const UpstreamWant &want)
{
    PickQuery query;
    query.candidates = upstreams;
    query.avoid = want.avoid;
    query.affinityKey = want.affinityKey;
    query.ownWork = want.ownWork;
    query.sharedWork = want.sharedWork;
    query.sharedTokens = want.sharedTokens;
    query.liveInstances = this->liveInstances;
    query.isEngine = want.isEngine;
    return this->picker.pick(query);
}

QueueForecast &UpstreamDesk::forecast(const std::string &service)
{
    return this->forecasts.try_emplace(service, QueueForecastOptions(), this->clock).first->second;
}

std::size_t UpstreamDesk::ahead(const UpstreamWant &want) const
{
    return static_cast<std::size_t>(
        std::count_if(this->waiters.begin(), this->waiters.end(), [&](const Waiter *waiter) {
            return waiter->want.service == want.service && waiter->want.priority <= want.priority;
        }));
}

Acquired UpstreamDesk::acquire(const UpstreamWant &want, Duration longestWait,
                               const FiberEvent &cancelled)
{
    Pick picked = this->pick(want);
    if (picked.upstream) {
        return {std::make_unique<UpstreamLease>(*this, std::move(picked), promptOf(want)),
                AcquireProblem::None,
                {}};
    }
    if (picked.problem == PickProblem::NoUpstream) {
        return {nullptr, AcquireProblem::NoUpstream, {}};
    }
    const std::size_t before = this->ahead(want);
    const QueueForecast &expected = this->forecast(want.service);
    if (expected.wait(before).value_or(Duration::zero()) > longestWait
        || longestWait <= Duration::zero()) {
        return {nullptr, AcquireProblem::TooBusy, expected.comeBackAfter(before)};
    }
    Waiter waiter{want, cancelled, {}};
    auto place = this->waiters.begin();
    while (place != this->waiters.end() && (*place)->want.priority <= want.priority) {
        ++place;
    }
    const auto own = this->waiters.insert(place, &waiter);
    (void)waiter.ready.waitFor(longestWait);
    if (waiter.given.upstream) {
        cancelled.reset();
        return {std::make_unique<UpstreamLease>(*this, std::move(waiter.given), promptOf(want)),
                AcquireProblem::None,
                {}};
    }
    this->waiters.erase(own);
    return {nullptr, cancelled.isSet() ? AcquireProblem::Cancelled : AcquireProblem::TooBusy,
            this->forecast(want.service).comeBackAfter(this->ahead(want))};
}

void UpstreamDesk::pump()
{
    for (auto place = this->waiters.begin(); place != this->waiters.end();) {
        Waiter &waiter = **place;
        Pick picked = this->pick(waiter.want);
        if (picked.upstream) {
            waiter.given = std::move(picked);
            place = this->waiters.erase(place);
            waiter.ready.set();
        } else {
            ++place;
        }
    }
}

} // namespace basilnotch
