// Late binding: requests wait here, at the entry, until an upstream has room for them. Rules, holds
// and versions are judged at the moment of dispatch, not when a request arrived.
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

/// One run of one model that a request needs.
struct StageRequest
{
    std::uint64_t id = 0;
    std::string workspace;
    int workspaceIndex = 0;
    std::string model;
    std::optional<std::string> pinnedVersion;
    std::string stickyKey; ///< Session, or request when it has none.
    PriorityClass priorityClass = PriorityClass::Interactive;
    double expectedTokens = 0; ///< Prompt and output, for fair shares.
    RouteQuery query;          ///< Its version is filled in at dispatch.
};

/// Priority at the engine, higher first: callers who watch the first token before the others, those
/// who can wait last.
int enginePriority(bool streamed, bool canWait);

enum class DispatchOutcome {
    Dispatched,
    Refused, ///< By the rules in force now, no version of the model may run.
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

/// Used by one thread.
///
///     dispatcher.enqueue(request);
///     for (const DispatchDecision &decision : dispatcher.pump()) { send(decision); }
class Dispatcher
{
public:
    Dispatcher(RoutingPolicy &policy, FairQueueOptions queueOptions, const Clock &clock);

    void setRules(std::shared_ptr<const Rules> rules, std::set<std::string> held);
    FairQueue::PushResult enqueue(StageRequest request);
    /// Takes a waiting request out; false when it was dispatched already.
    bool cancel(std::uint64_t id);
    /// Everything that can go now. The policy has been told of it.
    const std::vector<DispatchDecision> &pump();
    std::size_t waiting() const { return this->requests.size(); }
    const Rules &rules() const { return *this->current; }

private:
    using Lane = std::pair<std::string, std::string>; ///< Model and the version when it was queued.

    /// Dispatches or refuses the first request of `queue`; false when it must wait.
    bool pumpOne(FairQueue &queue);
    VersionChoice judge(const StageRequest &request) const;

    RoutingPolicy &policy;
    const FairQueueOptions queueOptions;
    const Clock &clock;
    std::shared_ptr<const Rules> current;
    std::set<std::string> held;
    std::map<Lane, FairQueue> queues;
    std::unordered_map<std::uint64_t, std::pair<StageRequest, Lane>>
        requests; ///< Invariant: those in the queues.
    std::vector<DispatchDecision> decisions;
};

} // namespace basilnotch
