// The slot of a waiting request is reserved before its fiber resumes, so that a later request
// cannot take it.
#include "UpstreamScheduler.h"

#include <decision/CanaryGroup.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace basilnotch {

namespace {

/// Shared prompts with fewer tokens are not worth announcing to other instances.
constexpr int kMinAnnouncedTokens = 1000;
/// Operators take failure domains back in their own time; callers that return more often only add
/// load.
constexpr Duration kRetryAfterOutOfService = seconds(2);

std::uint32_t sharedPromptId(const UpstreamRequirements &requirements)
{
    return requirements.sharedTokens >= kMinAnnouncedTokens
        ? static_cast<std::uint32_t>(requirements.affinityKey)
        : 0;
}

} // namespace

UpstreamLease::UpstreamLease(UpstreamScheduler &scheduler, Pick pick, std::uint32_t prompt)
    : scheduler(scheduler)
    , pick(std::move(pick))
    , prompt(prompt)
{ }

UpstreamLease::~UpstreamLease()
{
    this->markPrefilled();
    if (!this->isSent) {
        this->scheduler.warmup.onReleased(this->upstream());
    }
    this->scheduler.picker.onEnded(this->upstream(), this->result);
    this->scheduler.waitEstimator(this->upstream().service).onSlotFreed();
    this->scheduler.dispatchWaiters();
}

bool UpstreamLease::trySend()
{
    this->isSent = this->scheduler.warmup.trySend(this->upstream());
    return this->isSent;
}

void UpstreamLease::setResult(AttemptResult next)
{
    this->result = next;
    if (next == AttemptResult::ConnectFailed) {
        this->scheduler.warmup.onConnectFailed(this->upstream());
    }
}

void UpstreamLease::onLoad(const LoadSample &sample)
{
    this->scheduler.picker.onLoad(this->upstream(), sample);
}

void UpstreamLease::onLeaving()
{
    this->scheduler.picker.onLeaving(this->upstream());
}

void UpstreamLease::onPauseRequested(Duration pause)
{
    this->scheduler.picker.onPauseRequested(this->upstream(), pause);
}

void UpstreamLease::markPrefilled()
{
    if (!std::exchange(this->isPrefilled, true)) {
        this->scheduler.picker.onPrefilled(this->upstream(), this->pick.work);
        this->scheduler.listener.backlogChanged();
    }
}

void UpstreamLease::onFirstByte()
{
    if (!this->isPrefilled && this->prompt != 0) {
        const PromptCacheUpdate update{this->prompt, PrefillBacklog::engineKey(this->upstream())};
        this->scheduler.engineEstimates.cachedPrompts.onPrefilled(update);
        this->scheduler.listener.promptPrefilled(update);
    }
    this->markPrefilled();
}

UpstreamScheduler::UpstreamScheduler(PickerOptions options, EngineEstimates &engineEstimates,
                                     WarmupLimiter &warmup, const Clock &clock, std::uint64_t seed,
                                     UpstreamSchedulerListener listener)
    : clock(clock)
    , engineEstimates(engineEstimates)
    , warmup(warmup)
    , picker(std::move(options), engineEstimates, clock, seed, &warmup)
    , listener(std::move(listener))
{ }

void UpstreamScheduler::setUpstreams(std::shared_ptr<const UpstreamList> next, int instances)
{
    this->list = std::move(next);
    this->liveInstances = instances;
    this->picker.retain(*this->list);
    this->warmup.setUpstreams(*this->list);
    this->dispatchWaiters();
}

Pick UpstreamScheduler::pick(const UpstreamRequirements &requirements,
                             const VersionFilter &versions)
{
    ++this->picks;
    const std::vector<UpstreamRef> &ready = this->list->ready(requirements.service);
    this->candidates.clear();
    for (const UpstreamRef &upstream : ready) {
        if (versions.allows(*upstream)) {
            this->candidates.push_back(upstream);
        }
    }
    Pick picked;
    if (versions.share < 1) {
        const std::size_t oldUpstreamCount = ready.size() - this->candidates.size();
        this->canaries = this->candidates;
        selectCanaries(&this->canaries,
                       canaryCount(this->candidates.size(), oldUpstreamCount, versions.share),
                       versions.rolloutOrder);
        picked = this->pickFrom(this->canaries, requirements);
    }
    if (!picked.upstream) {
        picked = this->pickFrom(this->candidates, requirements);
    }
    if (picked.problem == PickProblem::AllPaused && this->selectStandIns(ready, versions)) {
        picked = this->pickFrom(this->candidates, requirements);
    }
    if (picked.upstream) {
        this->picker.onSent(*picked.upstream, picked.work);
        this->listener.backlogChanged();
    }
    return picked;
}

bool UpstreamScheduler::selectStandIns(const std::vector<UpstreamRef> &ready,
                                       const VersionFilter &versions)
{
    const bool warmsUp = versions.share < 1
        && std::any_of(this->candidates.begin(), this->candidates.end(),
                       [this](const UpstreamRef &item) { return this->warmup.isCold(*item); });
    if (!warmsUp) {
        return false;
    }
    const VersionFilter others{.excludedVersions = versions.excludedVersions};
    this->candidates.clear();
    std::copy_if(ready.begin(), ready.end(), std::back_inserter(this->candidates),
                 [&](const UpstreamRef &item) { return others.allows(*item); });
    return true;
}

Pick UpstreamScheduler::pickFrom(std::span<const UpstreamRef> upstreams,
                                 const UpstreamRequirements &requirements)
{
    PickQuery query;
    query.candidates = upstreams;
    query.avoid = requirements.excludedUpstreams;
    query.affinityKey = requirements.affinityKey;
    query.ownWork = requirements.ownWork;
    query.sharedWork = requirements.sharedWork;
    query.sharedTokens = requirements.sharedTokens;
    query.liveInstances = this->liveInstances;
    query.isEngine = requirements.isEngine;
    return this->picker.pick(query);
}

AcquireResult UpstreamScheduler::noUpstream(const std::string &service) const
{
    const bool isOutOfService = this->list->hasOutOfService(service);
    return {nullptr, AcquireError::NoUpstream,
            isOutOfService ? kRetryAfterOutOfService : Duration::zero()};
}

QueueWaitEstimator &UpstreamScheduler::waitEstimator(const std::string &service)
{
    return this->waitEstimators.try_emplace(service, QueueWaitOptions(), this->clock).first->second;
}

std::size_t UpstreamScheduler::countWaitersAhead(const UpstreamRequirements &requirements) const
{
    return static_cast<std::size_t>(
        std::count_if(this->waiters.begin(), this->waiters.end(), [&](const Waiter *waiter) {
            return waiter->requirements.service == requirements.service
                && waiter->requirements.priority <= requirements.priority;
        }));
}

AcquireResult UpstreamScheduler::acquire(const UpstreamRequirements &requirements, Duration maxWait,
                                         const FiberEvent &cancelled)
{
    Pick picked = this->pick(requirements, requirements.versions());
    if (picked.upstream) {
        return {
            std::make_unique<UpstreamLease>(*this, std::move(picked), sharedPromptId(requirements)),
            AcquireError::None,
            {}};
    }
    if (picked.problem == PickProblem::NoUpstream) {
        return this->noUpstream(requirements.service);
    }
    if (picked.problem == PickProblem::AllPaused && picked.pauseLeft >= maxWait) {
        return {nullptr, AcquireError::TooBusy, picked.pauseLeft};
    }
    const std::size_t waitersAhead = this->countWaitersAhead(requirements);
    const QueueWaitEstimator &estimator = this->waitEstimator(requirements.service);
    if (estimator.expectedWait(waitersAhead).value_or(Duration::zero()) > maxWait
        || maxWait <= Duration::zero()) {
        return {nullptr, AcquireError::TooBusy, estimator.retryAfter(waitersAhead)};
    }
    Waiter waiter{requirements, cancelled, {}, false};
    auto position = this->waiters.begin();
    while (position != this->waiters.end()
           && (*position)->requirements.priority <= requirements.priority) {
        ++position;
    }
    const auto entry = this->waiters.insert(position, &waiter);
    (void)waiter.ready.waitFor(maxWait);
    if (waiter.assigned.upstream) {
        cancelled.reset();
        return {std::make_unique<UpstreamLease>(*this, std::move(waiter.assigned),
                                                sharedPromptId(requirements)),
                AcquireError::None,
                {}};
    }
    if (waiter.isRejected) {
        cancelled.reset();
        return this->noUpstream(requirements.service);
    }
    this->waiters.erase(entry);
    return {nullptr, cancelled.isSet() ? AcquireError::Cancelled : AcquireError::TooBusy,
            this->waitEstimator(requirements.service)
                .retryAfter(this->countWaitersAhead(requirements))};
}

void UpstreamScheduler::dispatchWaiters()
{
    std::vector<SlotRequirements> unmet; // Of waiters that this call has found no slot for.
    for (auto position = this->waiters.begin(); position != this->waiters.end();) {
        Waiter &waiter = **position;
        const UpstreamRequirements &requirements = waiter.requirements;
        SlotRequirements slot{requirements.service, requirements.versions(),
                              requirements.excludedUpstreams};
        if (std::find(unmet.begin(), unmet.end(), slot) != unmet.end()) {
            ++position;
            continue;
        }
        if (this->list->ready(requirements.service).empty()
            && this->list->hasOutOfService(requirements.service)) {
            waiter.isRejected = true;
            position = this->waiters.erase(position);
            waiter.ready.set();
            continue;
        }
        Pick picked = this->pick(requirements, slot.versions);
        if (picked.upstream) {
            waiter.assigned = std::move(picked);
            position = this->waiters.erase(position);
            waiter.ready.set();
        } else {
            unmet.push_back(std::move(slot));
            ++position;
        }
    }
}

} // namespace basilnotch
