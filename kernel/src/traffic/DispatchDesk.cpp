// Between two suspensions a traffic thread runs alone, so the dispatcher needs no lock.
#include "DispatchDesk.h"

#include <base/Hash.h>

namespace basilnotch {

namespace {

PolicyContext policyContext(const Settings &settings, const Clock &clock,
                            const std::string &reporter)
{
    PolicyContext context;
    for (const UpstreamSettings &upstream : settings.upstreams) {
        context.upstreams.push_back({upstream.name, upstream.failureDomain, upstream.slots});
    }
    context.failureDomain = settings.failureDomain;
    context.options.entries = static_cast<int>(settings.peers.size()) + 1;
    context.clock = &clock;
    context.seed = hash64(reporter);
    return context;
}

FairQueueOptions queueOptions(const LimitSettings &limits)
{
    FairQueueOptions options;
    options.capacity = static_cast<std::size_t>(limits.queuedRequests);
    options.maxPerWorkspace = static_cast<std::size_t>(limits.queuedPerWorkspace);
    return options;
}

WaitOutcome fullOutcome(FairQueue::PushResult result)
{
    return result == FairQueue::PushResult::Full ? WaitOutcome::QueueFull
                                                 : WaitOutcome::WorkspaceFull;
}

} // namespace

DispatchDesk::DispatchDesk(const Settings &settings, const Clock &clock, Metrics &metrics,
                           ControlThread &control, std::string reporter)
    : settings(settings)
    , control(control)
    , reporter(std::move(reporter))
    , policy(PolicyRegistry::instance().make(settings.routingPolicy,
                                             policyContext(settings, clock, this->reporter)))
    , dispatcher(*this->policy, queueOptions(settings.limits), clock)
    , workspaceBudgets(BudgetOptions{}, clock)
    , poisonGuard(RequestQuarantineOptions{}, clock)
    , retryBudget(settings.limits.retryShare)
    , queued(metrics.counter("requests_waiting{thread=\"" + this->reporter + "\"}"))
    , waitTime(metrics.histogram("queue_wait_seconds"))
    , clock(clock)
{ }

int DispatchDesk::workspaceIndex(const std::string &workspace)
{
    const auto [place, isNew] = this->workspaceNumbers.try_emplace(
        workspace, static_cast<int>(this->workspaceNumbers.size()));
    return place->second;
}

DispatchResult DispatchDesk::wait(StageRequest request, DispatchWait &wait, Duration timeout)
{
    const std::uint64_t id = request.id;
    const TimePoint start = this->clock.now();
    const FairQueue::PushResult pushed = this->dispatcher.enqueue(std::move(request));
    if (pushed != FairQueue::PushResult::Queued) {
        return {fullOutcome(pushed), {}};
    }
    this->waits[id] = &wait;
    this->pump();
    if (!wait.decided && !wait.cancelled) {
        wait.event.waitFor(timeout);
    }
    this->waits.erase(id);
    this->queued.set(static_cast<std::int64_t>(this->dispatcher.waiting()));
    if (!wait.decided) {
        this->dispatcher.cancel(id);
        return {wait.cancelled ? WaitOutcome::Cancelled : WaitOutcome::TimedOut, {}};
    }
    this->waitTime.record(this->clock.now() - start);
    const bool go = wait.decision.outcome == DispatchOutcome::Dispatched;
    if (go && wait.cancelled) {
        this->onEnded(wait.decision, CompletionStatus::Cancelled, Duration::zero());
        return {WaitOutcome::Cancelled, {}};
    }
    return {go ? WaitOutcome::Dispatched : WaitOutcome::Refused, wait.decision};
}

void DispatchDesk::onEnded(const DispatchDecision &decision, CompletionStatus end, Duration took)
{
    this->policy->onEnded(decision.choice, end, took);
    this->pump();
}

void DispatchDesk::pump()
{
    for (const DispatchDecision &decision : this->dispatcher.pump()) {
        const auto waiting = this->waits.find(decision.id);
        if (waiting == this->waits.end()) {
            continue;
        }
        waiting->second->decision = decision;
        waiting->second->decided = true;
        waiting->second->event.set();
        this->waits.erase(waiting);
    }
    this->queued.set(static_cast<std::int64_t>(this->dispatcher.waiting()));
}

void DispatchDesk::applyReport(UpstreamIndex upstream, const LoadReport &report,
                               const std::vector<CacheEvent> &events)
{
    this->policy->applyReport(upstream, report);
    for (const CacheEvent &event : events) {
        this->policy->applyCacheEvent(upstream, event.prefixHash, event.tokens);
    }
    this->pump();
}

void DispatchDesk::applySnapshot()
{
    const auto snapshot = this->control.snapshot();
    this->dispatcher.setRules(snapshot->rules, snapshot->heldRollouts);
    int alive = 0;
    for (const Member &member : snapshot->members) {
        alive += member.state == MemberState::Unknown ? 0 : 1;
    }
    this->workspaceBudgets.setInstanceCount(alive * this->settings.trafficThreads);
    this->pump();
}

void DispatchDesk::tellUsage()
{
    for (const LimitRule &limit : this->control.snapshot()->rules->limits) {
        const UsageCounts usage = this->workspaceBudgets.localUsage(limit.workspace);
        if (usage.requests > 0) {
            this->control.observe(UsageObservation{this->reporter, limit.workspace, usage});
        }
    }
}

} // namespace basilnotch
