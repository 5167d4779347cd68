// The slot of a waiting request is reserved before its fiber resumes, so that a later request
// cannot take it.
#include "UpstreamScheduler.h"

#include <base/Hash.h>
#include <decision/CanaryGroup.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace basilnotch {

namespace {

/// Shared prompts with fewer tokens are not worth announcing to other instances.
constexpr int kMinAnnouncedTokens = 1000;

/// Callers are told to return within this share of the expected wait after it.
constexpr double kRetryAfterSpread = 0.5;

/// `hash` as a number from 0 to 1.
double unitInterval(std::uint64_t hash)
{
    return static_cast<double>(hash)
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

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
    , assignedAt(scheduler.clock.now())
{ }

UpstreamLease::~UpstreamLease()
{
    this->markPrefilled();
    if (this->firstByteAt && this->result == AttemptResult::Good) {
        this->scheduler.picker.onAnswered(this->upstream(), *this->firstByteAt - this->assignedAt,
                                          this->expectedPrefillTime());
    }
    this->scheduler.picker.onEnded(this->upstream(), this->result);
    if (this->pick.work > Duration::zero()) {
        // The backlog has told the other instances of this request.
        this->scheduler.engineEstimates.load.onToldEnded(
            PrefillBacklog::engineKey(this->upstream()));
    }
    this->scheduler.listener.loadReported();
    this->scheduler.waitEstimator(this->upstream().service).onSlotFreed();
    this->scheduler.dispatchWaiters();
}

void UpstreamLease::onLoad(const LoadSample &sample)
{
    this->scheduler.picker.onLoad(this->upstream(), sample);
    this->scheduler.listener.loadReported();
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
    if (!this->firstByteAt) {
        this->firstByteAt = this->scheduler.clock.now();
    }
    if (!this->isPrefilled && this->prompt != 0) {
        const PromptCacheUpdate update{this->prompt, PrefillBacklog::engineKey(this->upstream())};
        this->scheduler.engineEstimates.cachedPrompts.onPrefilled(update);
        this->scheduler.listener.promptPrefilled(update);
    }
    this->markPrefilled();
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
    if (picked.upstream) {
        this->picker.onSent(*picked.upstream, picked.work);
        this->listener.backlogChanged();
    }
    return picked;
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

QueueWaitEstimator &UpstreamScheduler::waitEstimator(const std::string &service)
{
    return this->waitEstimators.try_emplace(service, QueueWaitOptions(), this->clock).first->second;
}

AdmissionQueue &UpstreamScheduler::queue(const std::string &service)
{
    return this->queues.try_emplace(service, AdmissionOptions(), this->clock).first->second;
}

AdmissionRequest UpstreamScheduler::admissionRequest(const UpstreamRequirements &requirements,
                                                     Duration maxWait)
{
    AdmissionRequest request;
    request.id = ++this->lastRequestId;
    request.workspace = requirements.workspace;
    request.priority = requirements.priority;
    request.cost = requirements.ownWork + requirements.sharedWork + requirements.expectedOutput;
    request.startBy = this->clock.now() + maxWait;
    request.fingerprint = requirements.fingerprint;
    return request;
}

AcquireResult UpstreamScheduler::refuse(const AdmissionRequest &request, const std::string &service)
{
    AdmissionQueue &queue = this->queue(service);
    // Callers that were refused together must not return together.
    const Duration earliest = this->waitEstimator(service).retryAfter(queue.ahead(request));
    const Duration spread =
        fromSeconds(kRetryAfterSpread * toSeconds(earliest)
                    * unitInterval(hash64(std::to_string(request.id), request.fingerprint)));
    const Duration retryAfter = earliest + spread;
    queue.onRefused(request.fingerprint, retryAfter);
    return {nullptr, AcquireError::TooBusy, retryAfter};
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
        return {nullptr, AcquireError::NoUpstream, {}};
    }
    if (picked.problem == PickProblem::AllPaused && picked.pauseLeft >= maxWait) {
        return {nullptr, AcquireError::TooBusy, picked.pauseLeft};
    }
    const AdmissionRequest request = this->admissionRequest(requirements, maxWait);
    AdmissionQueue &queue = this->queue(requirements.service);
    const std::optional<Duration> expectedWait =
        this->waitEstimator(requirements.service).expectedWait(queue.ahead(request));
    if (expectedWait.value_or(Duration::zero()) > maxWait || maxWait <= Duration::zero()) {
        return this->refuse(request, requirements.service);
    }
    Waiter waiter{requirements, request, cancelled, {}};
    queue.push(request);
    this->waiters[request.id] = &waiter;
    (void)waiter.ready.waitFor(maxWait);
    if (waiter.assigned.upstream) {
        cancelled.reset();
        return {std::make_unique<UpstreamLease>(*this, std::move(waiter.assigned),
                                                sharedPromptId(requirements)),
                AcquireError::None,
                {}};
    }
    this->waiters.erase(request.id);
    queue.remove(request.id);
    if (cancelled.isSet()) {
        return {nullptr, AcquireError::Cancelled, {}};
    }
    return this->refuse(request, requirements.service);
}

void UpstreamScheduler::dispatchWaiters()
{
    for (auto &[service, queue] : this->queues) {
        if (queue.size() > 0) {
            this->dispatchWaiters(queue);
        }
    }
}

void UpstreamScheduler::dispatchWaiters(AdmissionQueue &queue)
{
    std::vector<SlotRequirements> unmet; // Of waiters that this call has found no slot for.
    this->dispatchOrder = queue.order();
    for (const std::uint64_t id : this->dispatchOrder) {
        Waiter &waiter = *this->waiters.at(id);
        const UpstreamRequirements &requirements = waiter.requirements;
        SlotRequirements slot{requirements.service, requirements.versions(),
                              requirements.excludedUpstreams};
        if (std::find(unmet.begin(), unmet.end(), slot) != unmet.end()) {
            continue;
        }
        Pick picked = this->pick(requirements, slot.versions);
        if (picked.upstream) {
            waiter.assigned = std::move(picked);
            queue.onServed(id);
            this->waiters.erase(id);
            waiter.ready.set();
        } else {
            unmet.push_back(std::move(slot));
        }
    }
}

} // namespace basilnotch
