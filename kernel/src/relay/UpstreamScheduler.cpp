// A place is taken for a waiting request before its fiber runs again, so that a later one cannot
// slip in.
#include "UpstreamScheduler.h"

#include <decision/CanaryGroup.h>

#include <algorithm>
#include <utility>

namespace basilnotch {

namespace {

/// Shared prompts of fewer tokens are not worth telling other instances of.
constexpr int kLeastToldTokens = 1000;

std::uint32_t promptOf(const UpstreamRequirements &want)
{
    return want.sharedTokens >= kLeastToldTokens ? static_cast<std::uint32_t>(want.affinityKey) : 0;
}

} // namespace

UpstreamLease::UpstreamLease(UpstreamScheduler &desk, Pick pick, std::uint32_t prompt)
    : desk(desk)
    , pick(std::move(pick))
    , prompt(prompt)
{ }

UpstreamLease::~UpstreamLease()
{
    this->endReading();
    this->desk.picker.onEnded(this->upstream(), this->result);
    this->desk.forecast(this->upstream().service).onSlotFreed();
    this->desk.pump();
}

void UpstreamLease::onLoad(const LoadSample &sample)
{
    this->desk.picker.onLoad(this->upstream(), sample);
}

void UpstreamLease::endReading()
{
    if (!std::exchange(this->isRead, true)) {
        this->desk.picker.onPrefilled(this->upstream(), this->pick.work);
        this->desk.listener.backlogChanged();
    }
}

void UpstreamLease::onFirstByte()
{
    if (!this->isRead && this->prompt != 0) {
        const PromptCacheUpdate note{this->prompt, PrefillBacklog::engineKey(this->upstream())};
        this->desk.engineEstimates.cachedPrompts.onPrefilled(note);
        this->desk.listener.promptRead(note);
    }
    this->endReading();
}

UpstreamScheduler::UpstreamScheduler(PickerOptions options, EngineEstimates &engineEstimates,
                                     const Clock &clock, std::uint64_t seed,
                                     UpstreamSchedulerListener listener)
    : clock(clock)
    , engineEstimates(engineEstimates)
    , picker(std::move(options), engineEstimates, clock, seed)
    , listener(std::move(listener))
{ }

void UpstreamScheduler::setUpstreams(std::shared_ptr<const UpstreamList> next, int instances)
{
    this->list = std::move(next);
    this->liveInstances = instances;
    this->picker.retain(*this->list);
    this->pump();
}

Pick UpstreamScheduler::pick(const UpstreamRequirements &want)
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
        selectCanaries(&this->canaries,
                       canaryCount(this->candidates.size(), oldOnes, versions.share),
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

Pick UpstreamScheduler::pickFrom(std::span<const UpstreamRef> upstreams,
                                 const UpstreamRequirements &want)
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

QueueWaitEstimator &UpstreamScheduler::forecast(const std::string &service)
{
    return this->forecasts.try_emplace(service, QueueWaitOptions(), this->clock).first->second;
}

std::size_t UpstreamScheduler::ahead(const UpstreamRequirements &want) const
{
    return static_cast<std::size_t>(
        std::count_if(this->waiters.begin(), this->waiters.end(), [&](const Waiter *waiter) {
            return waiter->want.service == want.service && waiter->want.priority <= want.priority;
        }));
}

AcquireResult UpstreamScheduler::acquire(const UpstreamRequirements &want, Duration longestWait,
                                         const FiberEvent &cancelled)
{
    Pick picked = this->pick(want);
    if (picked.upstream) {
        return {std::make_unique<UpstreamLease>(*this, std::move(picked), promptOf(want)),
                AcquireError::None,
                {}};
    }
    if (picked.problem == PickProblem::NoUpstream) {
        return {nullptr, AcquireError::NoUpstream, {}};
    }
    const std::size_t before = this->ahead(want);
    const QueueWaitEstimator &expected = this->forecast(want.service);
    if (expected.expectedWait(before).value_or(Duration::zero()) > longestWait
        || longestWait <= Duration::zero()) {
        return {nullptr, AcquireError::TooBusy, expected.retryAfter(before)};
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
                AcquireError::None,
                {}};
    }
    this->waiters.erase(own);
    return {nullptr, cancelled.isSet() ? AcquireError::Cancelled : AcquireError::TooBusy,
            this->forecast(want.service).retryAfter(this->ahead(want))};
}

void UpstreamScheduler::pump()
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
