// Tests of admission and queueing: queue bounds, fairness between workspaces, priority without
// starvation, cancellation, workspace budgets, retry budget and quarantine.
#include <decision/FairQueue.h>
#include <decision/RequestQuarantine.h>
#include <decision/RetryBudget.h>
#include <decision/WorkspaceBudgets.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <memory>
#include <set>

using namespace basilnotch;
using namespace std::chrono_literals;

namespace {

WaitingRequest waiting(std::uint64_t id, int workspace,
                       PriorityClass priorityClass = PriorityClass::Interactive, double cost = 100)
{
    return {id, workspace, priorityClass, cost, {}};
}

} // namespace

TEST_CASE("pushes, pops and cancels in any order keep the bounds and lose no request")
{
    rc::prop("random operations", [] {
        FairQueueOptions options;
        options.capacity = 12;
        options.maxPerWorkspace = 5;
        FairQueue queue(options);
        std::map<std::uint64_t, int> workspaceById;
        const int steps = *rc::gen::inRange(1, 120);
        std::uint64_t next = 1;
        for (int step = 0; step < steps; ++step) {
            const int action = *rc::gen::inRange(0, 4);
            if (action < 2) {
                const int workspace = *rc::gen::inRange(0, 4);
                const auto priorityClass =
                    static_cast<PriorityClass>(*rc::gen::inRange(0, kPriorityClassCount));
                const double cost = *rc::gen::inRange(1, 3000);
                const bool queued = queue.push(waiting(next, workspace, priorityClass, cost))
                    == FairQueue::PushResult::Queued;
                int workspaceCount = 0;
                for (const auto &[id, owner] : workspaceById) {
                    workspaceCount += owner == workspace ? 1 : 0;
                }
                RC_ASSERT(queued
                          == (workspaceById.size() < options.capacity && workspaceCount < 5));
                if (queued) {
                    workspaceById[next] = workspace;
                }
                ++next;
            } else if (action == 2) {
                const auto front = queue.front();
                RC_ASSERT(front.has_value() == !workspaceById.empty());
                if (front) {
                    RC_ASSERT(workspaceById.erase(front->id) == 1u);
                    queue.pop();
                }
            } else if (!workspaceById.empty()) {
                const std::uint64_t id = workspaceById.begin()->first;
                RC_ASSERT(queue.cancel(id));
                RC_ASSERT(!queue.cancel(id));
                workspaceById.erase(id);
            }
            RC_ASSERT(queue.size() == workspaceById.size());
        }
    });
}

TEST_CASE("a workspace that floods the queue gets only its fair share")
{
    FairQueue queue(FairQueueOptions{.capacity = 1000, .maxPerWorkspace = 900});
    for (std::uint64_t id = 0; id < 800; ++id) {
        queue.push(waiting(id, 1));
    }
    for (std::uint64_t id = 1000; id < 1050; ++id) {
        queue.push(waiting(id, 2));
    }
    int smallWorkspacePops = 0;
    for (int pop = 0; pop < 110; ++pop) {
        smallWorkspacePops += queue.front()->workspace == 2 ? 1 : 0;
        queue.pop();
    }
    CHECK(smallWorkspacePops >= 45);
}

TEST_CASE("urgent requests go first, and a lower class is not starved")
{
    FairQueue queue(FairQueueOptions{});
    for (std::uint64_t id = 0; id < 100; ++id) {
        queue.push(waiting(id, 1, PriorityClass::Background));
        queue.push(waiting(1000 + id, 1, PriorityClass::Interactive));
    }
    int background = 0;
    for (int pop = 0; pop < 80; ++pop) {
        background += queue.front()->priorityClass == PriorityClass::Background ? 1 : 0;
        queue.pop();
    }
    CHECK(background == 10);
}

TEST_CASE("equal instances share a common budget with a bounded overshoot")
{
    rc::prop("flood through all instances", [] {
        ManualClock clock;
        const int instances = *rc::gen::inRange(1, 9);
        const LimitRule limit{"w", static_cast<double>(*rc::gen::inRange(2, 50)), 0, 0};
        BudgetOptions options;
        std::vector<std::unique_ptr<WorkspaceBudgets>> budgets;
        for (int number = 0; number < instances; ++number) {
            budgets.push_back(std::make_unique<WorkspaceBudgets>(options, clock));
            budgets.back()->setInstanceCount(instances);
            for (int other = 0; other < number; ++other) {
                budgets[static_cast<std::size_t>(number)]->applyUsage("w", std::to_string(other),
                                                                      {});
                budgets[static_cast<std::size_t>(other)]->applyUsage("w", std::to_string(number),
                                                                     {});
            }
        }
        double admitted = 0;
        constexpr int kSeconds = 60;
        for (int tick = 0; tick < kSeconds * 20; ++tick) {
            clock.advance(50ms);
            for (auto &budget : budgets) {
                for (int attempt = 0; attempt < 5; ++attempt) {
                    admitted += budget->admit(limit, 1) == BudgetResult::Admitted ? 1 : 0;
                }
            }
            if (tick % 10 == 0) {
                for (std::size_t from = 0; from < budgets.size(); ++from) {
                    for (std::size_t to = 0; to < budgets.size(); ++to) {
                        if (from != to) {
                            budgets[to]->applyUsage("w", std::to_string(from),
                                                    budgets[from]->localUsage("w"));
                        }
                    }
                }
            }
        }
        // The limit, a full bucket at the start, and the overshoot that the doc comment allows.
        const double bound =
            limit.requestsPerSecond * (kSeconds + 2 + options.maxShareFactor * 2) + instances;
        RC_ASSERT(admitted <= bound);
        RC_ASSERT(admitted >= 0.8 * limit.requestsPerSecond * kSeconds);
    });
}

TEST_CASE("one instance alone may use the whole budget")
{
    ManualClock clock;
    WorkspaceBudgets budgets(BudgetOptions{}, clock);
    const LimitRule limit{"w", 10, 0, 0};
    int admitted = 0;
    for (int tick = 0; tick < 200; ++tick) {
        clock.advance(50ms);
        admitted += budgets.admit(limit, 1) == BudgetResult::Admitted ? 1 : 0;
    }
    CHECK(admitted >= 100);
    CHECK(admitted <= 121);
}

TEST_CASE("a request that used fewer tokens than expected returns the remainder")
{
    ManualClock clock;
    WorkspaceBudgets budgets(BudgetOptions{}, clock);
    const LimitRule limit{"w", 0, 100, 0};
    CHECK(budgets.admit(limit, 200) == BudgetResult::Admitted);
    clock.advance(500ms);
    CHECK(budgets.admit(limit, 100) == BudgetResult::Admitted);
    CHECK(budgets.admit(limit, 100) == BudgetResult::TokenBudgetExhausted);
    budgets.settle("w", 200, 0);
    clock.advance(500ms);
    CHECK(budgets.admit(limit, 100) == BudgetResult::Admitted);
}

TEST_CASE("retries stay within the ratio of first attempts")
{
    RetryBudget budget(0.1);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.onFirstAttempt();
        retries += budget.tryAcquire() ? 1 : 0;
    }
    CHECK(retries <= 105);
    CHECK(retries >= 95);
}

TEST_CASE("crashes of two distinct upstreams cause a quarantine, two of one upstream do not")
{
    ManualClock clock;
    RequestQuarantine quarantine(RequestQuarantineOptions{}, clock);
    CHECK_FALSE(quarantine.onCrash("f", "u1"));
    CHECK_FALSE(quarantine.onCrash("f", "u1"));
    CHECK_FALSE(quarantine.isQuarantined("f"));
    CHECK(quarantine.onCrash("f", "u2"));
    CHECK(quarantine.isQuarantined("f"));
    CHECK_FALSE(quarantine.isQuarantined("g"));
    clock.advance(11min);
    CHECK_FALSE(quarantine.isQuarantined("f"));
}

TEST_CASE("suspects are bounded")
{
    ManualClock clock;
    RequestQuarantine quarantine(RequestQuarantineOptions{.maxSuspects = 3}, clock);
    for (int number = 0; number < 10; ++number) {
        clock.advance(1s);
        quarantine.onCrash(std::to_string(number), "u1");
    }
    CHECK_FALSE(quarantine.isSuspect("0"));
    CHECK(quarantine.isSuspect("9"));
}
