// Late binding: queues requests at the instance until an upstream has a free slot. Rules, held
// roll-outs and versions are evaluated at dispatch time, not on arrival.
#pragma once

#include <base/Clock.h>
#include <decision/FairQueue.h>
#include <decision/Router.h>
#include <decision/VersionChoice.h>
#include <rules/Rules.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilnotch {

/// A request to run one model once, as one stage of a caller's request.
struct StageRequest
{
    std::uint64_t id = 0;
    std::string workspace;
    int workspaceIndex = 0;
    std::string model;
    std::optional<std::string> pinnedVersion;
    std::string stickyKey; ///< Session id, or the request id when there is no session.
    PriorityClass priorityClass = PriorityClass::Interactive;
    double expectedTokens = 0; ///< Prompt and output tokens; the cost in the fair queue.
    RouteQuery query;          ///< The version is set at dispatch.
};

/// Priority at the engine; higher values run first. Streamed requests precede the others, and
/// within each group those that can wait come last.
int enginePriority(bool streamed, bool canWait);

enum class DispatchOutcome {
    Dispatched,
    Refused, ///< The rules in force at dispatch allow no version of the model.
};

struct DispatchDecision
{
    std::uint64_t id = 0;
    DispatchOutcome outcome = DispatchOutcome::Refused;
    ModelVersion version;
    VersionReason reason = VersionReason::NotAllowed;
    RouteChoice choice;
    RouteQuery query;
};

/// Not thread-safe.
///
///     dispatcher.enqueue(request);
///     for (const DispatchDecision &decision : dispatcher.pump()) { send(decision); }
class Dispatcher
{
public:
    Dispatcher(RoutingPolicy &policy, FairQueueOptions queueOptions, const Clock &clock);

    /// `held`: keys of the held roll-outs.
    void setRules(std::shared_ptr<const Rules> rules, std::set<std::string> held);
    FairQueue::PushResult enqueue(StageRequest request);
    /// Removes a queued request. Returns false when `id` is not queued, for example because it has
    /// been dispatched.
    bool cancel(std::uint64_t id);
    /// Dispatches or refuses every queued request that can leave now and reports the dispatched
    /// ones to the policy. The result is valid until the next call.
    const std::vector<DispatchDecision> &pump();
    std::size_t waiting() const { return this->requests.size(); }
    const Rules &rules() const { return *this->activeRules; }

private:
    /// Model, and its version at enqueue time.
    using QueueKey = std::pair<std::string, std::string>;

    /// Dispatches or refuses the first request of `queue`. Returns false when the queue is empty or
    /// no upstream has room.
    bool dispatchNext(FairQueue &queue);
    VersionChoice resolveVersion(const StageRequest &request) const;

    RoutingPolicy &policy;
    const FairQueueOptions queueOptions;
    const Clock &clock;
    std::shared_ptr<const Rules> activeRules;
    std::set<std::string> held;
    std::map<QueueKey, FairQueue> queues;
    std::unordered_map<std::uint64_t, std::pair<StageRequest, QueueKey>>
        requests; ///< Invariant: holds exactly the requests that are in `queues`.
    std::vector<DispatchDecision> decisions;
};

} // namespace basilnotch
