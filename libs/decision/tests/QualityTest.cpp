// Tests of the cascade planner, the quality counts and the roll-out guard.
#include <decision/CascadePlanner.h>
#include <decision/QualityStats.h>
#include <decision/RolloutGuard.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <random>

using namespace basilnotch;

namespace {

Rules threeModels(double quality)
{
    Rules rules;
    rules.models = {
        {{"small", "v1"}, {0.3, 1}, 1}, {{"mid", "v1"}, {1, 3}, 2}, {{"large", "v1"}, {3, 9}, 3}};
    rules.allows = {{"*", "*", "", 4}};
    rules.cascades = {{"plan", {"small", "mid", "large"}, quality, false, 5}};
    return rules;
}

/// Adds counts of a model whose answers are good with probability `good`, as rated by the rating
/// service with its errors.
void addCounts(QualityStats::Table &table, const std::string &model, double good,
               std::int64_t rated, bool streamed, bool after)
{
    const double pass = good * 0.94 + (1 - good) * 0.08;
    QualityCounts &counts = table[{"w", "plan", model, false, streamed, after}];
    counts.runs = rated;
    counts.finished = rated;
    counts.rated = rated;
    counts.good = static_cast<std::int64_t>(pass * static_cast<double>(rated));
    counts.promptTokens = 1000 * rated;
    counts.outputTokens = 500 * rated;
}

QualityStats::Table wellKnown(double small, double mid, double large)
{
    QualityStats::Table table;
    for (const bool streamed : {false, true}) {
        for (const bool after : {false, true}) {
            addCounts(table, "small", small, 20'000, streamed, after);
            addCounts(table, "mid", mid, 20'000, streamed, after);
            addCounts(table, "large", large, 20'000, streamed, after);
        }
    }
    return table;
}

VersionCounts counts(std::int64_t requests, std::int64_t errors, std::int64_t crashes,
                     std::int64_t rated, std::int64_t good)
{
    VersionCounts made{requests, errors, crashes, {}};
    made.rated[{"plan", false}] = {rated, good};
    return made;
}

const RolloutRule kRollout{
    "small", "v1", "v2", 0.1, {HoldSignal::Errors, HoldSignal::Crashes, HoldSignal::Ratings}, 1};

} // namespace

TEST_CASE(
    "without ratings the most expensive model serves streamed requests except for a small share")
{
    const CascadePlan plan = CascadePlanner(PlannerOptions{}).plan(threeModels(0.9), {}, true);
    CHECK(plan.choose({"w", "plan", false, true}, 0.5, 0.99).models
          == std::vector<std::string>{"large"});
    CHECK(plan.plans.at({"", "plan", false, true}).exploreShare() <= 0.11);
}

TEST_CASE("streamed requests get one model, the others a checked cascade where that is cheaper")
{
    const CascadePlan plan =
        CascadePlanner(PlannerOptions{}).plan(threeModels(0.9), wellKnown(0.45, 0.78, 0.94), true);
    for (double draw = 0.05; draw < 1; draw += 0.1) {
        CHECK(plan.choose({"w", "plan", false, true}, draw, 0.999).models.size() == 1);
    }
    CHECK(plan.choose({"w", "plan", false, false}, 0.5, 0.999).models.size() > 1);
}

TEST_CASE("while the rating service is unavailable no plan depends on a check")
{
    const CascadePlan plan =
        CascadePlanner(PlannerOptions{}).plan(threeModels(0.9), wellKnown(0.45, 0.78, 0.94), false);
    for (double draw = 0; draw < 1; draw += 0.1) {
        CHECK(plan.choose({"w", "plan", false, false}, draw, draw).models.size() == 1);
    }
}

TEST_CASE("the planned mix meets any target that some mix can meet, at the least cost of all "
          "chains that do")
{
    rc::prop("random chances and targets", [] {
        const double small = *rc::gen::inRange(30, 99) / 100.0;
        const double mid = *rc::gen::inRange(30, 99) / 100.0;
        const double large = *rc::gen::inRange(70, 100) / 100.0;
        const double target = *rc::gen::inRange(50, 95) / 100.0;
        const Rules rules = threeModels(target);
        const QualityStats::Table table = wellKnown(small, mid, large);
        PlannerOptions options;
        options.confidence = 0;
        const CascadePlanner planner(options);
        const CascadePlan plan = planner.plan(rules, table, true);
        double quality = 0;
        double cost = 0;
        double bestQuality = 0;
        double cheapestSingle = 1e9;
        for (const bool streamed : {false, true}) {
            const RequestClass requestClass{"w", "plan", false, streamed};
            const RequestClassPlan &classPlan = plan.plans.at(requestClass);
            double classBest = 0;
            for (const ChainEstimate &chain :
                 planner.estimate(rules, rules.cascades[0], requestClass, table, true)) {
                const double part =
                    (chain.chain == classPlan.cheaper ? 1 - classPlan.dearerShare : 0)
                    + (chain.chain == classPlan.dearer ? classPlan.dearerShare : 0);
                quality += 0.5 * part * chain.quality;
                cost += 0.5 * part * chain.cost;
                classBest = std::max(classBest, chain.quality);
                if (chain.chain.models.size() == 1 && chain.quality >= target) {
                    cheapestSingle = std::min(cheapestSingle, chain.cost);
                }
            }
            bestQuality += 0.5 * classBest;
        }
        if (bestQuality >= target + 0.01) {
            RC_ASSERT(quality >= target - 0.005);
        }
        if (cheapestSingle < 1e9) {
            RC_ASSERT(cost <= cheapestSingle * 1.01);
        }
    });
}

TEST_CASE("models that a workspace may not use are in none of its plans")
{
    Rules rules = threeModels(0.9);
    rules.allows = {{"w", "small", "", 4}};
    const CascadePlan plan =
        CascadePlanner(PlannerOptions{}).plan(rules, wellKnown(0.45, 0.78, 0.94), true);
    for (double draw = 0; draw < 1; draw += 0.05) {
        CHECK(plan.choose({"w", "plan", false, false}, draw, 1 - draw).models
              == std::vector<std::string>{"small"});
    }
}

TEST_CASE("counts of instances merge in any order")
{
    QualityStats one("a");
    QualityStats two("a");
    QualityStats::Table older;
    QualityStats::Table newer;
    addCounts(older, "small", 0.5, 10, false, false);
    addCounts(newer, "small", 0.5, 20, false, false);
    one.merge("b", older);
    one.merge("b", newer);
    two.merge("b", newer);
    two.merge("b", older);
    two.merge("b", newer);
    CHECK(one.totals() == two.totals());
}

TEST_CASE("a good version is held in at most one of a hundred roll-outs")
{
    std::mt19937 random(5);
    int held = 0;
    constexpr int kRollouts = 400;
    for (int rollout = 0; rollout < kRollouts; ++rollout) {
        RolloutGuard guard(kRollout, RolloutGuardOptions{});
        VersionCounts fresh;
        const VersionCounts old = counts(20'000, 40, 0, 8'000, 6'640);
        bool hold = false;
        for (int step = 0; step < 400 && !hold; ++step) {
            constexpr int kRequestsPerStep = 10;
            fresh.requests += kRequestsPerStep;
            fresh.errors += std::binomial_distribution<int>(kRequestsPerStep, 0.002)(random);
            RatedCounts &rated = fresh.rated[{"plan", false}];
            rated.rated += 4;
            rated.good += std::binomial_distribution<int>(4, 0.83)(random);
            hold = guard.update(old, fresh).has_value();
        }
        held += hold ? 1 : 0;
    }
    CHECK(held <= kRollouts / 100);
}

TEST_CASE("a bad version is held by each of the signals")
{
    const VersionCounts old = counts(20'000, 40, 0, 8'000, 6'640);
    CHECK(
        RolloutGuard(kRollout, RolloutGuardOptions{}).update(old, counts(300, 12, 0, 0, 0))->signal
        == HoldSignal::Errors);
    CHECK(RolloutGuard(kRollout, RolloutGuardOptions{}).update(old, counts(900, 1, 4, 0, 0))->signal
          == HoldSignal::Crashes);
    CHECK(RolloutGuard(kRollout, RolloutGuardOptions{})
              .update(old, counts(400, 0, 0, 200, 130))
              ->signal
          == HoldSignal::Ratings);
    RolloutRule withoutSignals = kRollout;
    withoutSignals.holdOn = {};
    CHECK_FALSE(RolloutGuard(withoutSignals, RolloutGuardOptions{})
                    .update(old, counts(300, 100, 50, 200, 0)));
}

TEST_CASE("a version that turns bad after a long good period is held")
{
    RolloutGuard guard(kRollout, RolloutGuardOptions{});
    const VersionCounts old = counts(20'000, 40, 0, 0, 0);
    REQUIRE_FALSE(guard.update(old, counts(20'000, 40, 0, 0, 0)));
    std::int64_t requests = 20'000;
    std::int64_t errors = 40;
    bool held = false;
    while (!held && requests < 21'000) {
        requests += 33;
        errors += 1; // Error rate of 3 %.
        held = guard.update(old, counts(requests, errors, 0, 0, 0)).has_value();
    }
    CHECK(held);
    CHECK(requests - 20'000 <= 350);
}
