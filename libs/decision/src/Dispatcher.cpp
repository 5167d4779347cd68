// Keeps one fair queue per model and version, so that a version without free slots does not block
// the others.
#include <decision/Dispatcher.h>

namespace basilnotch {

namespace {

/// Share of an upstream's slots that requests of a class may occupy. The remaining slots stay free
/// for more urgent classes. Interactive requests may exceed 1 and queue at the engine, which
/// schedules them first.
double maxSlotShare(PriorityClass priorityClass)
{
    constexpr double kInteractiveShare = 1.15;
    constexpr double kFullResponseShare = 0.92;
    constexpr double kBackgroundShare = 0.85;
    return priorityClass == PriorityClass::Interactive ? kInteractiveShare
        : priorityClass == PriorityClass::FullResponse ? kFullResponseShare
                                                       : kBackgroundShare;
}

} // namespace

int enginePriority(bool streamed, bool canWait)
{
    return (streamed ? 2 : 0) + (canWait ? 0 : 1);
}

Dispatcher::Dispatcher(RoutingPolicy &policy, FairQueueOptions queueOptions, const Clock &clock)
    : policy(policy)
    , queueOptions(queueOptions)
    , clock(clock)
    , activeRules(std::make_shared<Rules>())
{ }

void Dispatcher::setRules(std::shared_ptr<const Rules> rules, std::set<std::string> heldRollouts)
{
    this->activeRules = std::move(rules);
    this->held = std::move(heldRollouts);
}

VersionChoice Dispatcher::resolveVersion(const StageRequest &request) const
{
    VersionChoice choice = chooseVersion(*this->activeRules, request.workspace, request.model,
                                         request.pinnedVersion, request.stickyKey, this->held);
    const bool rollout = choice.reason == VersionReason::Rollout;
    if (rollout && !this->policy.isServed(this->policy.versionId(*choice.version))) {
        // No upstream serves the new version while its weights are loading, so its share of the
        // traffic stays on the old version until then.
        const RolloutRule *rule = this->activeRules->findRollout(request.model);
        return {ModelVersion{request.model, rule->from}, VersionReason::Current};
    }
    return choice;
}

FairQueue::PushResult Dispatcher::enqueue(StageRequest request)
{
    if (this->requests.size() >= this->queueOptions.capacity) {
        return FairQueue::PushResult::Full;
    }
    const VersionChoice choice = this->resolveVersion(request);
    const QueueKey key{request.model, choice.version ? choice.version->version : ""};
    FairQueue &queue = this->queues.try_emplace(key, this->queueOptions).first->second;
    const WaitingRequest waiting{request.id, request.workspaceIndex, request.priorityClass,
                                 request.expectedTokens, this->clock.now()};
    const FairQueue::PushResult result = queue.push(waiting);
    if (result == FairQueue::PushResult::Queued) {
        const std::uint64_t id = request.id;
        this->requests.emplace(id, std::pair(std::move(request), key));
    }
    return result;
}

bool Dispatcher::cancel(std::uint64_t id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
        return false;
    }
    this->queues.at(found->second.second).cancel(id);
    this->requests.erase(found);
    return true;
}

bool Dispatcher::dispatchNext(FairQueue &queue)
{
    const std::optional<WaitingRequest> next = queue.front();
    if (!next) {
        return false;
    }
    const StageRequest &request = this->requests.at(next->id).first;
    const VersionChoice version = this->resolveVersion(request);
    DispatchDecision decision;
    decision.id = next->id;
    decision.reason = version.reason;
    if (version.version) {
        decision.query = request.query;
        decision.query.maxSlotShare = maxSlotShare(request.priorityClass);
        decision.query.version = this->policy.versionId(*version.version);
        const std::optional<RouteChoice> choice = this->policy.choose(decision.query);
        if (!choice) {
            return false;
        }
        decision.outcome = DispatchOutcome::Dispatched;
        decision.version = *version.version;
        decision.choice = *choice;
        this->policy.onDispatched(*choice, decision.query);
    }
    queue.pop();
    this->requests.erase(next->id);
    this->decisions.push_back(std::move(decision));
    return true;
}

const std::vector<DispatchDecision> &Dispatcher::pump()
{
    this->decisions.clear();
    for (auto &[key, queue] : this->queues) {
        while (this->dispatchNext(queue)) { }
    }
    std::erase_if(this->queues, [](const auto &item) { return item.second.empty(); });
    return this->decisions;
}

} // namespace basilnotch
