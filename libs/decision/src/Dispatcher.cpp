// One fair queue for each model and version, so that a version without room holds up no other.
#include <decision/Dispatcher.h>

namespace basilnotch {

namespace {

/// Part of an upstream's slots that requests of a class may fill. The rest stays free for more
/// urgent ones; interactive ones may also queue at the engine, which takes them in first.
double fillOf(PriorityClass priorityClass)
{
    constexpr double kInteractiveFill = 1.15;
    constexpr double kWholeFill = 0.92;
    constexpr double kBackgroundFill = 0.85;
    return priorityClass == PriorityClass::Interactive ? kInteractiveFill
        : priorityClass == PriorityClass::FullResponse ? kWholeFill
                                                       : kBackgroundFill;
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
    , current(std::make_shared<Rules>())
{ }

void Dispatcher::setRules(std::shared_ptr<const Rules> rules, std::set<std::string> heldRollouts)
{
    this->current = std::move(rules);
    this->held = std::move(heldRollouts);
}

VersionChoice Dispatcher::judge(const StageRequest &request) const
{
    VersionChoice choice = chooseVersion(*this->current, request.workspace, request.model,
                                         request.pinnedVersion, request.stickyKey, this->held);
    const bool rollout = choice.reason == VersionReason::Rollout;
    if (rollout && !this->policy.isServed(this->policy.versionId(*choice.version))) {
        // Its weights are still being loaded: until then the share stays with the old version.
        const RolloutRule *rule = this->current->findRollout(request.model);
        return {ModelVersion{request.model, rule->from}, VersionReason::Current};
    }
    return choice;
}

FairQueue::PushResult Dispatcher::enqueue(StageRequest request)
{
    if (this->requests.size() >= this->queueOptions.capacity) {
        return FairQueue::PushResult::Full;
    }
    const VersionChoice choice = this->judge(request);
    const Lane lane{request.model, choice.version ? choice.version->version : ""};
    FairQueue &queue = this->queues.try_emplace(lane, this->queueOptions).first->second;
    const WaitingRequest waiting{request.id, request.workspaceIndex, request.priorityClass,
                                 request.expectedTokens, this->clock.now()};
    const FairQueue::PushResult result = queue.push(waiting);
    if (result == FairQueue::PushResult::Queued) {
        const std::uint64_t id = request.id;
        this->requests.emplace(id, std::pair(std::move(request), lane));
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

bool Dispatcher::pumpOne(FairQueue &queue)
{
    const std::optional<WaitingRequest> next = queue.front();
    if (!next) {
        return false;
    }
    const StageRequest &request = this->requests.at(next->id).first;
    const VersionChoice version = this->judge(request);
    DispatchDecision decision;
    decision.id = next->id;
    decision.reason = version.reason;
    if (version.version) {
        decision.query = request.query;
        decision.query.fill = fillOf(request.priorityClass);
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
    for (auto &[lane, queue] : this->queues) {
        while (this->pumpOne(queue)) { }
    }
    std::erase_if(this->queues, [](const auto &item) { return item.second.empty(); });
    return this->decisions;
}

} // namespace basilnotch
