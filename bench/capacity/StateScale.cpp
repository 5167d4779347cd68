// Slopes of the decision and state libraries: time for each upstream, rule line, receipt, claim and
// workspace, on one thread.
#include "Scales.h"

#include "control/RulesStore.h"

#include <FakeTable.h>

#include <claims/ClaimKeeper.h>
#include <decision/CascadePlanner.h>
#include <decision/FairQueue.h>
#include <decision/Router.h>
#include <receipts/ReceiptBook.h>
#include <rules/RulesParser.h>

namespace basilnotch::capacity {

namespace {

Measurement measureRouting()
{
    Measurement measurement{"one routing decision with its notes", "us", "upstreams", {}};
    for (const int upstreams : {12, 75, 150, 300, 600}) {
        ManualClock clock;
        std::vector<UpstreamInfo> infos;
        for (int number = 0; number < upstreams; ++number) {
            infos.push_back({"u" + std::to_string(number), "d" + std::to_string(number % 8), 48});
        }
        Router router(infos, "d0", RouterOptions{}, clock, 1);
        for (int number = 0; number < upstreams; ++number) {
            LoadReport report;
            report.measuredAt = clock.now();
            report.running = number * 7 % 40;
            report.loaded = {{"m", "v1"}};
            router.applyReport(number, report);
        }
        const RouteQuery query{.version = router.versionId({"m", "v1"}), .promptTokens = 1500};
        constexpr int kDecisions = 20'000;
        const double spent = processorSeconds([&] {
            for (int decision = 0; decision < kDecisions; ++decision) {
                const auto choice = router.choose(query);
                router.onDispatched(*choice, query);
                router.onEnded(*choice, CompletionStatus::Finished, std::chrono::seconds(3));
            }
        });
        measurement.points.push_back({static_cast<double>(upstreams), spent / kDecisions * 1e6});
    }
    return measurement;
}

Measurement measureRules()
{
    Measurement measurement{"reading a rules file", "us", "rule lines", {}};
    for (const int lines : {50, 200, 800, 3200}) {
        std::string text = "model planner-small v1 cost=0.3/1 # asked by head office\n";
        for (int line = 1; line < lines; ++line) {
            text += "allow workspace=shop-" + std::to_string(line)
                + " model=planner-* # asked by head office\n";
        }
        constexpr int kReads = 20;
        const double spent = processorSeconds([&] {
            for (int read = 0; read < kReads; ++read) {
                (void)parseRules(text);
            }
        });
        measurement.points.push_back({static_cast<double>(lines), spent / kReads * 1e6});
    }
    return measurement;
}

Measurement measureReceipts()
{
    Measurement measurement{
        "receipts: open, copy, close and flush", "us", "requests in a flush", {}};
    for (const int requests : {10, 50, 200, 800}) {
        constexpr int kFlushes = 20;
        ReceiptBook book("e1-5f3a9c1d", 100'000);
        const double spent = processorSeconds([&] {
            for (int flush = 0; flush < kFlushes; ++flush) {
                for (int request = 0; request < requests; ++request) {
                    Receipt receipt{"req-" + std::to_string(flush * requests + request), "recife",
                                    "planner-small", "v3"};
                    book.append(receipt);
                    receipt.state = ReceiptState::Finished;
                    book.append(receipt);
                }
                for (const ReceiptBatch &part : book.takeUncopied()) {
                    (void)encodeReceipts(part.receipts);
                }
                book.seal();
                for (const ReceiptBatch &batch : book.sealed(1)) {
                    (void)encodeReceipts(batch.receipts);
                    book.flushed(batch.number, batch.receipts);
                }
            }
        });
        measurement.points.push_back({static_cast<double>(requests), spent / kFlushes * 1e6});
    }
    return measurement;
}

Measurement measureClaims()
{
    Measurement measurement{
        "claims: acquire and finish, without the table's own time", "us", "claims", {}};
    for (const int claims : {100, 400, 1600, 6400}) {
        testing::FakeTable table;
        ClaimKeeper keeper(table);
        const double spent = processorSeconds([&] {
            for (int claim = 0; claim < claims; ++claim) {
                const ClaimDecision decision = keeper.acquire(
                    {"recife", "order-" + std::to_string(claim), "digest", "e1-5f3a9c1d"});
                (void)keeper.finish(decision.ticket,
                                    {200, "application/json", "{\"confirmed\":true}"});
            }
        });
        measurement.points.push_back({static_cast<double>(claims), spent * 1e6});
    }
    return measurement;
}

Measurement measurePlanning()
{
    Measurement measurement{
        "one cascade plan, three tasks and three models", "us", "workspaces", {}};
    for (const int workspaces : {10, 20, 40, 80}) {
        Rules rules;
        for (const char *model : {"small", "mid", "large"}) {
            rules.models.push_back({{model, "v1"}, {1, 3}, 0});
        }
        rules.allows = {{"*", "*", "", 0}};
        QualityStats::Table table;
        for (const char *task : {"plan", "answer", "summary"}) {
            rules.cascades.push_back({task, {"small", "mid", "large"}, 0.9, false, 0});
            for (int workspace = 0; workspace < workspaces; ++workspace) {
                for (const char *model : {"small", "mid", "large"}) {
                    for (const bool streamed : {false, true}) {
                        table[{"w" + std::to_string(workspace), task, model, false, streamed,
                               false}] = {100, 60, 50, 40, 100'000, 50'000};
                    }
                }
            }
        }
        const CascadePlanner planner{PlannerOptions{}};
        constexpr int kPlans = 5;
        const double spent = processorSeconds([&] {
            for (int plan = 0; plan < kPlans; ++plan) {
                (void)planner.plan(rules, table, true);
            }
        });
        measurement.points.push_back({static_cast<double>(workspaces), spent / kPlans * 1e6});
    }
    return measurement;
}

Measurement measureQueue()
{
    Measurement measurement{"fair queue: push and pop", "us", "waiting requests", {}};
    for (const int waiting : {100, 400, 1600, 6400}) {
        FairQueue queue(FairQueueOptions{.capacity = 10'000, .maxPerWorkspace = 10'000});
        const double spent = processorSeconds([&] {
            for (int request = 0; request < waiting; ++request) {
                queue.push({static_cast<std::uint64_t>(request),
                            request % 10,
                            PriorityClass::Interactive,
                            500,
                            {}});
            }
            while (queue.front()) {
                queue.pop();
            }
        });
        measurement.points.push_back({static_cast<double>(waiting), spent * 1e6});
    }
    return measurement;
}

} // namespace

std::vector<Measurement> measureState()
{
    return {measureRouting(), measureRules(),    measureReceipts(),
            measureClaims(),  measurePlanning(), measureQueue()};
}

} // namespace basilnotch::capacity
