// Policies, rules and the oracle's knowledge.
#include "BenchEntry.h"

#include <decision/SimplePolicies.h>

#include <algorithm>
#include <cmath>

namespace basilnotch::bench {

namespace {

/// Part of prompts of `task` that are over twice the median.
double longShare(const TaskTruth &task)
{
    return task.promptSigma <= 0
        ? 0
        : 0.5 * std::erfc(std::log(2.0) / task.promptSigma / std::sqrt(2.0));
}

std::vector<PolicyChoice> allPolicies(const Scenario &scenario)
{
    std::vector<PolicyChoice> policies;
    policies.push_back({.name = "basilnotch"});
    policies.push_back({.name = "round-robin", .routing = "round-robin", .priorities = false});
    policies.push_back(
        {.name = "least-in-flight", .routing = "least-in-flight", .priorities = false});
    policies.push_back({.name = "local-detection", .sharesCounts = false});
    policies.push_back({.name = "cost-oracle", .knowsQuality = true});
    policies.push_back({.name = "latency-oracle", .routing = "true-state"});
    if (!scenario.models.empty()) {
        policies.push_back({.name = "always-cheap", .fixedModel = scenario.models.front().name});
        policies.push_back({.name = "always-large", .fixedModel = scenario.models.back().name});
    }
    return policies;
}

} // namespace

std::optional<PolicyChoice> findPolicy(const Scenario &scenario, const std::string &name)
{
    for (const PolicyChoice &policy : allPolicies(scenario)) {
        if (policy.name == name) {
            return policy;
        }
    }
    return std::nullopt;
}

std::vector<std::string> policyNames()
{
    std::vector<std::string> names;
    for (const PolicyChoice &policy : allPolicies(Scenario{.models = {ModelTruth{}}})) {
        names.push_back(policy.name);
    }
    return names;
}

Rules makeRules(const Scenario &scenario, bool rolloutStarted)
{
    Rules rules;
    rules.version = rolloutStarted ? 2 : 1;
    for (const ModelTruth &model : scenario.models) {
        rules.models.push_back({{model.name, "v1"}, {model.promptPrice, model.outputPrice}, 0});
    }
    rules.allows.push_back({"*", "*", "", 0});
    for (const TaskTruth &task : scenario.tasks) {
        CascadeRule rule{task.name, {}, task.quality, task.canWait, 0};
        for (const ModelTruth &model : scenario.models) {
            rule.via.push_back(model.name);
        }
        rules.cascades.push_back(std::move(rule));
    }
    const RolloutTruth &rollout = scenario.rollout;
    if (rolloutStarted && !rollout.model.empty()) {
        const auto model =
            std::find_if(scenario.models.begin(), scenario.models.end(),
                         [&](const ModelTruth &item) { return item.name == rollout.model; });
        if (model != scenario.models.end()) {
            rules.models.push_back(
                {{rollout.model, "v2"}, {model->promptPrice, model->outputPrice}, 0});
            rules.rollouts.push_back(
                {rollout.model,
                 "v1",
                 "v2",
                 rollout.share,
                 {HoldSignal::Errors, HoldSignal::Crashes, HoldSignal::Ratings},
                 0});
        }
    }
    return rules;
}

QualityStats::Table trueQuality(const Scenario &scenario)
{
    constexpr std::int64_t kCertain = 10'000'000;
    QualityStats::Table table;
    for (const TaskTruth &task : scenario.tasks) {
        const double kept = task.cancelled > 0 ? task.cancelled / -std::log(1 - task.cancelled) : 1;
        const double output =
            task.output * std::exp(task.outputSigma * task.outputSigma / 2) * kept;
        const double prompt = task.prompt * std::exp(task.promptSigma * task.promptSigma / 2);
        for (std::size_t model = 0; model < scenario.models.size(); ++model) {
            for (const bool longPrompt : {false, true}) {
                const double good = goodChance(scenario, task, static_cast<int>(model), longPrompt);
                const double pass =
                    good * (1 - scenario.ratingFailsGood) + (1 - good) * scenario.ratingPassesBad;
                const double part = longPrompt ? longShare(task) : 1 - longShare(task);
                for (const bool streamed : {false, true}) {
                    for (const bool after : {false, true}) {
                        const double weight = part * (streamed ? task.streamed : 1 - task.streamed)
                            * (after ? 0.2 : 1);
                        const auto runs = static_cast<std::int64_t>(kCertain * task.share * weight);
                        // Known of each workspace, so that no chance difference between them is
                        // seen.
                        for (std::size_t workspace = 0; workspace < scenario.workspaceShares.size();
                             ++workspace) {
                            QualityCounts &counts =
                                table[{"w" + std::to_string(workspace), task.name,
                                       scenario.models[model].name, longPrompt, streamed, after}];
                            counts.runs = runs;
                            counts.finished = static_cast<std::int64_t>(static_cast<double>(runs)
                                                                        * (1 - task.cancelled));
                            counts.rated = kCertain;
                            counts.good = static_cast<std::int64_t>(kCertain * pass);
                            counts.promptTokens = static_cast<std::int64_t>(
                                static_cast<double>(runs) * prompt * (longPrompt ? 2 : 0.9));
                            counts.outputTokens =
                                static_cast<std::int64_t>(static_cast<double>(runs) * output);
                        }
                    }
                }
            }
        }
    }
    return table;
}

std::vector<double> oracleModelLoad(const Scenario &scenario)
{
    PlannerOptions options;
    options.confidence = 0;
    options.initialExploreShare = 0;
    options.steadyExploreShare = 0;
    options.minKnownRatings = 1;
    const CascadePlanner planner(options);
    const QualityStats::Table truth = trueQuality(scenario);
    const Rules rules = makeRules(scenario, false);
    const CascadePlan plan = planner.plan(rules, truth, true);
    std::vector<double> load(scenario.models.size() * scenario.tasks.size(), 0);
    for (std::size_t taskNumber = 0; taskNumber < scenario.tasks.size(); ++taskNumber) {
        const TaskTruth &task = scenario.tasks[taskNumber];
        for (const bool longPrompt : {false, true}) {
            for (const bool streamed : {false, true}) {
                const RequestClassPlan &cell =
                    plan.plans.at({"w0", task.name, longPrompt, streamed});
                const double weight = task.share
                    * (longPrompt ? longShare(task) : 1 - longShare(task))
                    * (streamed ? task.streamed : 1 - task.streamed);
                for (const auto &[chain, share] : {std::pair(cell.cheaper, 1 - cell.dearerShare),
                                                   std::pair(cell.dearer, cell.dearerShare)}) {
                    double reach = weight * share;
                    for (const std::string &name : chain.models) {
                        const auto model =
                            std::find_if(scenario.models.begin(), scenario.models.end(),
                                         [&](const ModelTruth &item) { return item.name == name; });
                        const auto index = model - scenario.models.begin();
                        load[static_cast<std::size_t>(index) * scenario.tasks.size()
                             + taskNumber] += reach;
                        const double good =
                            goodChance(scenario, task, static_cast<int>(index), longPrompt);
                        reach *= (1 - task.cancelled)
                            * (1 - good * (1 - scenario.ratingFailsGood)
                               - (1 - good) * scenario.ratingPassesBad);
                    }
                }
            }
        }
    }
    return load;
}

std::vector<int> serverModels(const Scenario &scenario)
{
    std::vector<int> models;
    for (std::size_t model = 0; model < scenario.models.size(); ++model) {
        for (int server = 0; server < scenario.models[model].servers; ++server) {
            models.push_back(static_cast<int>(model));
        }
    }
    return models;
}

std::string domainOfServer(const Scenario &scenario, int server)
{
    return "d" + std::to_string(server % scenario.failureDomains);
}

std::unique_ptr<RoutingPolicy> makeRouting(const PolicyChoice &policy, const Scenario &scenario,
                                           const std::string &domain, const Clock &clock,
                                           std::uint64_t seed)
{
    std::vector<UpstreamInfo> infos;
    const std::vector<int> models = serverModels(scenario);
    for (std::size_t server = 0; server < models.size(); ++server) {
        infos.push_back({scenario.models[static_cast<std::size_t>(models[server])].name
                             + std::to_string(server),
                         domainOfServer(scenario, static_cast<int>(server)),
                         scenario.engine.slots});
    }
    if (policy.routing == "round-robin") {
        return std::make_unique<SimplePolicy>(SimpleRule::RoundRobin, std::move(infos), seed);
    }
    if (policy.routing == "least-in-flight") {
        return std::make_unique<SimplePolicy>(SimpleRule::LeastInFlight, std::move(infos), seed);
    }
    RouterOptions options;
    options.entries = policy.routing == "true-state" ? 1 : scenario.entries;
    return std::make_unique<Router>(std::move(infos), domain, options, clock, seed);
}

} // namespace basilnotch::bench
