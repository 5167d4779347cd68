// Tests of routing: selection of upstreams and versions, and dispatch under changing rules.
#include <decision/Dispatcher.h>
#include <decision/Router.h>
#include <decision/SimplePolicies.h>
#include <decision/VersionChoice.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace basilnotch;
using namespace std::chrono_literals;

namespace {

const ModelVersion kSmall1{"small", "v1"};
const ModelVersion kSmall2{"small", "v2"};

struct Fixture
{
    ManualClock clock;
    Router router{{{"u0", "a", 4}, {"u1", "b", 4}, {"u2", "b", 4}}, "a", RouterOptions{}, clock, 1};

    void report(int upstream, int running, std::vector<ModelVersion> loaded = {kSmall1},
                bool leaving = false)
    {
        LoadReport report;
        report.measuredAt = this->clock.now();
        report.running = running;
        report.leaving = leaving;
        report.loaded = std::move(loaded);
        this->router.applyReport(upstream, report);
    }
    RouteQuery query() { return {.version = this->router.versionId(kSmall1), .promptTokens = 100}; }
};

Rules twoVersions()
{
    Rules rules;
    rules.models = {{kSmall1, {}, 1}, {kSmall2, {}, 2}, {{"large", "v7"}, {}, 3}};
    rules.allows = {{"*", "*", "", 4}};
    rules.cascades = {{"t", {"small", "large"}, 0.9, false, 5}};
    return rules;
}

} // namespace

TEST_CASE("leaving, unloaded, full and failed upstreams get no new work")
{
    Fixture fixture;
    fixture.report(0, 0, {kSmall1}, true);
    fixture.report(1, 4);
    fixture.report(2, 0, {kSmall2});
    CHECK_FALSE(fixture.router.choose(fixture.query()));
    fixture.report(1, 1);
    REQUIRE(fixture.router.choose(fixture.query()));
    const auto choice = fixture.router.choose(fixture.query());
    CHECK(choice->upstream == 1);
    fixture.router.onDispatched(*choice, fixture.query());
    fixture.router.onEnded(*choice, CompletionStatus::Crashed, 1s);
    CHECK_FALSE(fixture.router.choose(fixture.query()));
    fixture.clock.advance(3s);
    CHECK(fixture.router.choose(fixture.query()));
}

TEST_CASE("a late report does not make a leaving upstream available again")
{
    Fixture fixture;
    fixture.report(0, 0, {kSmall1}, true);
    fixture.report(0, 0, {kSmall1}, false);
    CHECK_FALSE(fixture.router.choose(fixture.query()));
}

TEST_CASE("own requests count before a report includes them")
{
    Fixture fixture;
    fixture.report(0, 0);
    for (int request = 0; request < 4; ++request) {
        const auto choice = fixture.router.choose(fixture.query());
        REQUIRE(choice);
        fixture.router.onDispatched(*choice, fixture.query());
    }
    CHECK_FALSE(fixture.router.choose(fixture.query()));
}

TEST_CASE("a slow upstream is avoided in favour of the others")
{
    Fixture fixture;
    fixture.report(0, 0);
    fixture.report(1, 0);
    for (int observation = 0; observation < 20; ++observation) {
        const RouteChoice choice{0, fixture.router.expectedFirstToken(0, fixture.query(), 0), 0};
        fixture.router.onDispatched(choice, fixture.query());
        fixture.router.onFirstToken(choice, 1s);
        fixture.router.onEnded(choice, CompletionStatus::Finished, 1s);
    }
    for (int request = 0; request < 20; ++request) {
        CHECK(fixture.router.choose(fixture.query())->upstream == 1);
    }
}

TEST_CASE("a cached prefix is preferred until its hint expires")
{
    Fixture fixture;
    fixture.report(0, 0);
    fixture.report(1, 0);
    RouteQuery query = fixture.query();
    query.promptTokens = 2000;
    query.prefixHash = 77;
    query.prefixTokens = 1800;
    fixture.router.applyCacheEvent(1, 77, 1800);
    CHECK(fixture.router.choose(query)->upstream == 1);
    CHECK(fixture.router.choose(query)->cachedTokens > 1500);
    fixture.clock.advance(10min);
    CHECK(fixture.router.choose(query)->cachedTokens == 0);
}

TEST_CASE("a hedge goes to another failure domain")
{
    Fixture fixture;
    fixture.report(1, 0);
    fixture.report(2, 0);
    RouteQuery query = fixture.query();
    query.avoidDomain = "b";
    CHECK_FALSE(fixture.router.choose(query));
}

TEST_CASE("a session keeps its version until it is withdrawn")
{
    Rules rules = twoVersions();
    rules.rollouts = {{"small", "v1", "v2", 1.0, {}, 6}};
    CHECK(chooseVersion(rules, "w", "small", "v1", "s", {}).version == kSmall1);
    CHECK(chooseVersion(rules, "w", "small", std::nullopt, "s", {}).version == kSmall2);
    CHECK(chooseVersion(rules, "w", "small", std::nullopt, "s", {rules.rollouts[0].key()}).version
          == kSmall1);
    CHECK(chooseVersion(rules, "w", "small", "v2", "s", {rules.rollouts[0].key()}).version
          == kSmall2);
    rules.rollouts.clear();
    rules.withdrawals = {{kSmall1, 7}};
    const VersionChoice moved = chooseVersion(rules, "w", "small", "v1", "s", {});
    CHECK(moved.version == kSmall2);
    CHECK(moved.reason == VersionReason::Repinned);
}

TEST_CASE("a roll-out takes its share of sessions, each always on the same side")
{
    Rules rules = twoVersions();
    rules.rollouts = {{"small", "v1", "v2", 0.1, {}, 6}};
    int inShare = 0;
    for (int session = 0; session < 5000; ++session) {
        const std::string key = "s" + std::to_string(session);
        const auto first = chooseVersion(rules, "w", "small", std::nullopt, key, {}).version;
        CHECK(first == chooseVersion(rules, "w", "small", std::nullopt, key, {}).version);
        inShare += first == kSmall2 ? 1 : 0;
    }
    CHECK(inShare > 400);
    CHECK(inShare < 600);
}

TEST_CASE("no sequence of rule changes dispatches a request to a version its workspace may not use")
{
    rc::prop("random rules while requests wait", [] {
        ManualClock clock;
        Router router({{"u0", "a", 2}, {"u1", "b", 2}}, "a", RouterOptions{}, clock, 1);
        Dispatcher dispatcher(router, FairQueueOptions{}, clock);
        const std::vector<ModelVersion> all{kSmall1, kSmall2, {"large", "v7"}};
        std::uint64_t id = 0;
        std::map<std::uint64_t, std::string> workspaces;
        std::vector<RouteChoice> running;
        std::shared_ptr<const Rules> current = std::make_shared<Rules>(twoVersions());
        dispatcher.setRules(current, {});
        const int steps = *rc::gen::inRange(5, 60);
        for (int step = 0; step < steps; ++step) {
            const int action = *rc::gen::inRange(0, 4);
            if (action == 0) {
                Rules next = twoVersions();
                next.allows.clear();
                for (const std::string workspace : {"w0", "w1"}) {
                    for (const std::string model : {"small", "large"}) {
                        if (*rc::gen::arbitrary<bool>()) {
                            next.allows.push_back({workspace, model, "", 0});
                        }
                    }
                }
                for (const ModelVersion &version : all) {
                    if (*rc::gen::inRange(0, 3) == 0) {
                        next.withdrawals.push_back({version, 0});
                    }
                }
                if (!next.isWithdrawn(kSmall2) && *rc::gen::arbitrary<bool>()) {
                    next.rollouts = {{"small", "v1", "v2", 0.5, {}, 0}};
                }
                current = std::make_shared<Rules>(next);
                dispatcher.setRules(current, {});
            } else if (action == 1) {
                StageRequest request;
                request.id = ++id;
                request.workspace = *rc::gen::element(std::string("w0"), std::string("w1"));
                request.model = *rc::gen::element(std::string("small"), std::string("large"));
                request.pinnedVersion = *rc::gen::element(std::optional<std::string>(),
                                                          std::optional<std::string>("v1"),
                                                          std::optional<std::string>("v2"));
                request.stickyKey = std::to_string(id);
                workspaces[id] = request.workspace;
                RC_ASSERT(dispatcher.enqueue(request) == FairQueue::PushResult::Queued);
            } else if (action == 2) {
                for (int upstream = 0; upstream < 2; ++upstream) {
                    LoadReport report;
                    report.measuredAt = clock.now();
                    report.loaded = all;
                    router.applyReport(upstream, report);
                }
            } else if (!running.empty()) {
                router.onEnded(running.back(), CompletionStatus::Finished, 1s);
                running.pop_back();
            }
            clock.advance(100ms);
            for (const DispatchDecision &decision : dispatcher.pump()) {
                if (decision.outcome == DispatchOutcome::Dispatched) {
                    running.push_back(decision.choice);
                    RC_ASSERT(current->mayRun(workspaces[decision.id], decision.version));
                    RC_ASSERT(!current->isWithdrawn(decision.version));
                }
            }
        }
    });
}

TEST_CASE("a request cancelled in the queue is never dispatched")
{
    Fixture fixture;
    Dispatcher dispatcher(fixture.router, FairQueueOptions{}, fixture.clock);
    dispatcher.setRules(std::make_shared<Rules>(twoVersions()), {});
    StageRequest request;
    request.id = 1;
    request.workspace = "w";
    request.model = "small";
    request.pinnedVersion = "v1";
    dispatcher.enqueue(request);
    CHECK(dispatcher.pump().empty());
    CHECK(dispatcher.cancel(1));
    fixture.report(0, 0);
    CHECK(dispatcher.pump().empty());
    CHECK(dispatcher.waiting() == 0);
}

TEST_CASE("while a new version's weights are loading, its share stays with the old one")
{
    Fixture fixture;
    Dispatcher dispatcher(fixture.router, FairQueueOptions{}, fixture.clock);
    Rules rules = twoVersions();
    rules.rollouts = {{"small", "v1", "v2", 1.0, {}, 6}};
    dispatcher.setRules(std::make_shared<Rules>(rules), {});
    fixture.report(0, 0, {kSmall1});
    StageRequest request;
    request.id = 1;
    request.workspace = "w";
    request.model = "small";
    dispatcher.enqueue(request);
    const auto decisions = dispatcher.pump();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().version == kSmall1);
}

TEST_CASE("round robin alternates and least-in-flight selects the least busy upstream")
{
    SimplePolicy roundRobin(SimpleRule::RoundRobin, {{"a", "d", 1}, {"b", "d", 1}}, 0);
    SimplePolicy leastInFlight(SimpleRule::LeastInFlight, {{"a", "d", 1}, {"b", "d", 1}}, 0);
    for (SimplePolicy *policy : {&roundRobin, &leastInFlight}) {
        LoadReport report;
        report.loaded = {kSmall1};
        policy->applyReport(0, report);
        policy->applyReport(1, report);
        RouteQuery query;
        query.version = policy->versionId(kSmall1);
        const auto first = policy->choose(query);
        policy->onDispatched(*first, query);
        CHECK(policy->choose(query)->upstream != first->upstream);
    }
}
