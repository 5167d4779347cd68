// The slot of a waiting request is reserved before its fiber resumes, so that a later request
// cannot take it.
#include "UpstreamScheduler.h"

#include <base/Hash.h>
#include <decision/CanaryGroup.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace basilnotch {

namespace {

/// Shared prompts with fewer tokens are not worth announcing to other instances.
constexpr int kMinAnnouncedTokens = 1000;
/// Operators take failure domains back in their own time; callers that return more often only add
/// load.
constexpr Duration kRetryAfterOutOfService = seconds(2);

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
    if (!this->isSent) {
        this->scheduler.warmup.onReleased(this->upstream());
    }
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
    return this->picker.pick(this->queryFor(upstreams, requirements));
}

PickQuery UpstreamScheduler::queryFor(std::span<const UpstreamRef> upstreams,
                                      const UpstreamRequirements &requirements) const
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
    return query;
}

AssignmentExplanation UpstreamScheduler::explain(const UpstreamRequirements &requirements) const
{
    AssignmentExplanation explanation;
    explanation.versions = requirements.versions();
    const VersionFilter &versions = explanation.versions;
    std::vector<UpstreamRef> allowed;
    for (const UpstreamRef &upstream : this->list->all(requirements.service)) {
        const std::vector<UpstreamRef> &ready = this->list->ready(requirements.service);
        if (std::find(ready.begin(), ready.end(), upstream) == ready.end()) {
            explanation.notReady.push_back(upstream);
        } else if (versions.allows(*upstream)) {
            allowed.push_back(upstream);
        } else {
            explanation.otherVersions.push_back(upstream);
        }
    }
    if (versions.share < 1) {
        std::vector<UpstreamRef> chosen = allowed;
        selectCanaries(
            &chosen, canaryCount(allowed.size(), explanation.otherVersions.size(), versions.share),
            versions.rolloutOrder);
        explanation.picked = this->picker.explain(this->queryFor(chosen, requirements));
    }
    if (!explanation.picked.pick.upstream) {
        explanation.picked = this->picker.explain(this->queryFor(allowed, requirements));
    }
    const auto waiting = this->queues.find(requirements.service);
    explanation.waitersAhead = waiting == this->queues.end()
        ? 0
        : waiting->second.ahead(this->admissionRequest(requirements, Duration::zero()));
    const auto estimator = this->waitEstimators.find(requirements.service);
    const QueueWaitEstimator none({}, this->clock);
    const QueueWaitEstimator &wait =
        estimator == this->waitEstimators.end() ? none : estimator->second;
    explanation.expectedWait = wait.expectedWait(explanation.waitersAhead);
    explanation.retryAfter = wait.retryAfter(explanation.waitersAhead);
    return explanation;
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

AdmissionQueue &UpstreamScheduler::queue(const std::string &service)
{
    return this->queues.try_emplace(service, AdmissionOptions(), this->clock).first->second;
}

AdmissionRequest UpstreamScheduler::admissionRequest(const UpstreamRequirements &requirements,
                                                     Duration maxWait) const
{
    AdmissionRequest request;
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
        return this->noUpstream(requirements.service);
    }
    if (picked.problem == PickProblem::AllPaused && picked.pauseLeft >= maxWait) {
        return {nullptr, AcquireError::TooBusy, picked.pauseLeft};
    }
    AdmissionRequest request = this->admissionRequest(requirements, maxWait);
    request.id = ++this->lastRequestId;
    AdmissionQueue &queue = this->queue(requirements.service);
    const std::optional<Duration> expectedWait =
        this->waitEstimator(requirements.service).expectedWait(queue.ahead(request));
    if (expectedWait.value_or(Duration::zero()) > maxWait || maxWait <= Duration::zero()) {
        return this->refuse(request, requirements.service);
    }
    Waiter waiter{requirements, request, cancelled, {}, false};
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
    if (waiter.isRejected) {
        cancelled.reset();
        return this->noUpstream(requirements.service);
    }
    this->waiters.erase(request.id);
    queue.remove(request.id);
    if (cancelled.isSet()) {
        return {nullptr, AcquireError::Cancelled, {}};
    }
    return this->refuse(request, requirements.service);
}

std::unique_ptr<UpstreamLease>
UpstreamScheduler::tryAcquireSecond(const UpstreamRequirements &requirements,
                                    const UpstreamRecord &first)
{
    const VersionFilter versions = requirements.versions();
    if (this->queue(requirements.service).size() > 0 || versions.share < 1) {
        return nullptr;
    }
    ++this->picks;
    for (const bool isElsewhere : {true, false}) {
        this->candidates.clear();
        for (const UpstreamRef &upstream : this->list->ready(requirements.service)) {
            const bool isCandidate = upstream->id != first.id && versions.allows(*upstream)
                && (upstream->failureDomain != first.failureDomain) == isElsewhere
                && this->picker.isLessLoaded(*upstream, first, this->liveInstances);
            if (isCandidate) {
                this->candidates.push_back(upstream);
            }
        }
        Pick picked = this->pickFrom(this->candidates, requirements);
        if (picked.upstream) {
            this->picker.onSent(*picked.upstream, picked.work);
            this->listener.backlogChanged();
            return std::make_unique<UpstreamLease>(*this, std::move(picked),
                                                   sharedPromptId(requirements));
        }
    }
    return nullptr;
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
        if (this->list->ready(requirements.service).empty()
            && this->list->hasOutOfService(requirements.service)) {
            waiter.isRejected = true;
            queue.remove(id);
            this->waiters.erase(id);
            waiter.ready.set();
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
