// The traffic thread's dispatcher with the fibers that wait for it.
#pragma once

#include "control/ControlThread.h"

#include <decision/Dispatcher.h>
#include <decision/RequestQuarantine.h>
#include <decision/RetryBudget.h>
#include <decision/WorkspaceBudgets.h>
#include <kernel/Plugins.h>
#include <runtime/FiberEvent.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilnotch {

/// How a wait for an upstream ended.
enum class WaitOutcome { Dispatched, Refused, QueueFull, WorkspaceFull, TimedOut, Cancelled };

/// A fiber that waits; the caller-gone callback cancels it.
class DispatchWait
{
public:
    void cancel()
    {
        this->cancelled = true;
        this->event.set();
    }

private:
    friend class DispatchDesk;
    FiberEvent event;
    bool cancelled = false;
    bool decided = false;
    DispatchDecision decision;
};

struct DispatchResult
{
    WaitOutcome outcome = WaitOutcome::TimedOut;
    DispatchDecision decision;
};

/// Traffic thread only.
class DispatchDesk
{
public:
    DispatchDesk(const Settings &settings, const Clock &clock, Metrics &metrics,
                 ControlThread &control, std::string reporter);

    /// Waits until the request may go, blocks the calling fiber for at most `timeout`.
    DispatchResult wait(StageRequest request, DispatchWait &wait, Duration timeout);
    void onFirstToken(const DispatchDecision &decision, Duration took)
    {
        this->policy->onFirstToken(decision.choice, took);
    }
    void onEnded(const DispatchDecision &decision, CompletionStatus end, Duration took);
    /// Lets waiting requests go that can.
    void pump();

    /// From the control thread's listener, posted to this thread.
    void applyReport(UpstreamIndex upstream, const LoadReport &report,
                     const std::vector<CacheEvent> &events);
    void applySnapshot();
    void tellUsage();

    RoutingPolicy &routing() { return *this->policy; }
    WorkspaceBudgets &budgets() { return this->workspaceBudgets; }
    RequestQuarantine &poison() { return this->poisonGuard; }
    RetryBudget &retries() { return this->retryBudget; }
    std::uint64_t nextId() { return ++this->lastId; }
    int workspaceIndex(const std::string &workspace);

private:
    const Settings &settings;
    ControlThread &control;
    const std::string reporter; ///< Instance and thread, as usage is told.
    std::unique_ptr<RoutingPolicy> policy;
    Dispatcher dispatcher;
    WorkspaceBudgets workspaceBudgets;
    RequestQuarantine poisonGuard;
    RetryBudget retryBudget;
    std::unordered_map<std::uint64_t, DispatchWait *>
        waits; ///< Invariant: those that are not decided.
    std::unordered_map<std::string, int> workspaceNumbers;
    std::uint64_t lastId = 0;
    Counter &queued;
    LatencyHistogram &waitTime;
    const Clock &clock;
};

} // namespace basilnotch
