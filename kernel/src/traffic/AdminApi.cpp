// JSON over the control thread's answers.
#include "AdminApi.h"

#include "ChatRequest.h"
#include "DispatchDesk.h"

#include "control/ControlThread.h"

#include <decision/CascadePlanner.h>
#include <decision/VersionChoice.h>
#include <runtime/HttpStatus.h>
#include <session/SessionToken.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace basilnotch {

namespace json = boost::json;

namespace {

constexpr int kDefaultPromptTokens = 500; // Of a request that is explained.

std::string_view memberStateName(MemberState state)
{
    return state == MemberState::Alive  ? "alive"
        : state == MemberState::Leaving ? "leaving"
                                        : "unknown";
}

json::object printStatus(const RulesStatus &status)
{
    json::array instances;
    int inForce = 0;
    for (const RulesStatus::Instance &instance : status.instances) {
        const bool has = instance.inForce >= status.version;
        inForce += has ? 1 : 0;
        json::object item{{"name", instance.name},
                          {"inForce", instance.inForce},
                          {"state", memberStateName(instance.state)}};
        if (!has) {
            item["missingForSeconds"] = instance.missingForSeconds;
        }
        instances.push_back(std::move(item));
    }
    return {{"version", status.version},
            {"accepted", status.isInForceEverywhere()},
            {"inForceOn", inForce},
            {"of", status.instances.size()},
            {"instances", instances}};
}

json::array printFaults(const std::vector<RulesFault> &faults)
{
    json::array list;
    for (const RulesFault &fault : faults) {
        list.push_back({{"line", fault.line},
                        {"column", fault.column},
                        {"found", fault.found},
                        {"allowed", fault.allowed}});
    }
    return list;
}

HttpResponse refuse(int status, std::string type, std::string message)
{
    return Refusal{status, std::move(type), std::move(message), RunState::NotRun, {}, {}}
        .response();
}

json::array printChain(const Chain &chain)
{
    json::array models;
    for (const std::string &model : chain.models) {
        models.emplace_back(model);
    }
    return models;
}

} // namespace

AdminApi::AdminApi(TrafficContext &context)
    : context(context)
{ }

void AdminApi::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string_view path = request.path();
    HttpResponse response =
        refuse(status::kNotFound, "unknown_path",
               "known here: /admin/rules, /admin/rules/status, /admin/explain, /admin/status");
    if (path == "/admin/rules" && request.method == "GET") {
        response = this->fetchRules(request);
    } else if (path == "/admin/rules" && request.method == "POST") {
        response = this->applyRules(request);
    } else if (path == "/admin/rules/status") {
        response = this->rulesStatus();
    } else if (path == "/admin/explain") {
        response = this->explain(request);
    } else if (path == "/admin/status") {
        response = this->status();
    }
    (void)exchange.respond(response);
}

HttpResponse AdminApi::fetchRules(const HttpRequest &request)
{
    std::uint64_t version = 0;
    const std::string_view wanted = request.query("version");
    if (!wanted.empty()
        && !absl::SimpleAtoi(absl::string_view(wanted.data(), wanted.size()), &version)) {
        return refuse(status::kBadRequest, "invalid_request", "version: a whole number is wanted");
    }
    const auto file = this->context.control.fetchRules(version);
    if (!file.ok()) {
        return refuse(absl::IsNotFound(file.status()) ? status::kNotFound : status::kUnavailable,
                      "no_rules", describe(file.status()));
    }
    return {status::kOk,
            {{"Content-Type", "text/plain; charset=utf-8"},
             {"X-Rules-Version", std::to_string(file->version)}},
            file->text};
}

HttpResponse AdminApi::applyRules(const HttpRequest &request)
{
    std::uint64_t base = 0;
    const std::string_view given = request.query("base");
    if (!absl::SimpleAtoi(absl::string_view(given.data(), given.size()), &base)) {
        return refuse(status::kBadRequest, "invalid_request",
                      "base: the version that was edited is needed");
    }
    const ApplyReport report = this->context.control.applyRules(request.body, base);
    switch (report.result.outcome) {
    case ApplyOutcome::Invalid:
        return jsonResponse(
            status::kUnprocessable,
            json::serialize(json::object{{"outcome", "invalid"},
                                         {"version", report.result.version},
                                         {"faults", printFaults(report.result.faults)}}));
    case ApplyOutcome::Conflict:
        return jsonResponse(status::kConflict,
                            json::serialize(json::object{{"outcome", "conflict"},
                                                         {"base", base},
                                                         {"version", report.result.version},
                                                         {"changes", report.result.changes}}));
    case ApplyOutcome::Unavailable:
        return jsonResponse(
            status::kUnavailable,
            json::serialize(json::object{{"outcome", "unavailable"},
                                         {"message", describe(report.result.status)}}));
    default:
        break;
    }
    json::object body = printStatus(report.status);
    body["outcome"] = report.result.outcome == ApplyOutcome::Stored ? "stored" : "already stored";
    body["version"] = report.result.version;
    return jsonResponse(status::kOk, json::serialize(body));
}

HttpResponse AdminApi::rulesStatus()
{
    return jsonResponse(status::kOk,
                        json::serialize(printStatus(this->context.control.rulesStatus())));
}

HttpResponse AdminApi::explain(const HttpRequest &request)
{
    const auto snapshot = this->context.control.snapshot();
    const Rules &rules = *snapshot->rules;
    const std::string workspace(request.query("workspace"));
    const std::string task(request.query("task"));
    if (workspace.empty() || task.empty()) {
        return refuse(status::kBadRequest, "invalid_request", "workspace and task are needed");
    }
    Session session;
    if (const std::string_view token = request.query("session"); !token.empty()) {
        const auto read = verifyToken(token, workspace, this->context.settings.sessionKey);
        if (!read.ok()) {
            return refuse(status::kBadRequest, "wrong_session_token", describe(read.status()));
        }
        session = *read;
    }
    const CascadeRule *rule = rules.findCascade(task);
    if (!rule) {
        return refuse(status::kNotFound, "no_model_for_task", "no cascade line names task " + task);
    }
    const RequestClass cell{workspace, task, request.query("long") == "yes",
                            request.query("stream") == "yes"};
    json::array chains;
    const CascadePlanner planner{PlannerOptions{}};
    for (const ChainEstimate &estimate :
         planner.estimate(rules, *rule, cell, *snapshot->quality, snapshot->ratingsAvailable)) {
        chains.push_back({{"models", printChain(estimate.chain)},
                          {"quality", estimate.quality},
                          {"cost", estimate.cost}});
    }
    json::object plan;
    const auto planned = snapshot->plan->plans.find(cell);
    const auto general = snapshot->plan->plans.find({"", task, cell.longPrompt, cell.streamed});
    const auto &chosen = planned != snapshot->plan->plans.end() ? planned : general;
    if (chosen != snapshot->plan->plans.end()) {
        plan = {{"cheaper", printChain(chosen->second.cheaper)},
                {"dearer", printChain(chosen->second.dearer)},
                {"dearerShare", chosen->second.dearerShare},
                {"exploreShare", chosen->second.exploreShare()}};
    }
    json::array models;
    for (const std::string &model : rule->via) {
        const AllowRule *allow = rules.findAllowedModel(workspace, model);
        const VersionChoice version =
            chooseVersion(rules, workspace, model, session.pinnedVersion(model), session.id,
                          snapshot->heldRollouts);
        json::array upstreams;
        if (version.version) {
            RouteQuery query;
            query.version = this->context.desk.routing().versionId(*version.version);
            query.promptTokens = kDefaultPromptTokens;
            for (const RouteExplanation &reason : this->context.desk.routing().explain(query)) {
                upstreams.push_back(
                    {{"name",
                      this->context.settings.upstreams[static_cast<std::size_t>(reason.upstream)]
                          .name},
                     {"verdict", reason.verdict},
                     {"expectedFirstTokenMs", toSeconds(reason.expectedFirstToken) * 1000}});
            }
        }
        models.push_back({{"model", model},
                          {"allowLine", allow ? allow->line : 0},
                          {"version", version.version ? version.version->version : ""},
                          {"why", versionReasonName(version.reason)},
                          {"upstreams", upstreams}});
    }
    return jsonResponse(status::kOk,
                        json::serialize(json::object{{"rulesVersion", rules.version},
                                                     {"cascadeLine", rule->line},
                                                     {"quality", rule->quality},
                                                     {"chains", chains},
                                                     {"plan", plan},
                                                     {"models", models}}));
}

HttpResponse AdminApi::status()
{
    const auto snapshot = this->context.control.snapshot();
    json::array members;
    for (const Member &member : snapshot->members) {
        members.push_back({{"name", member.name},
                           {"incarnation", member.incarnation},
                           {"failureDomain", member.failureDomain},
                           {"state", memberStateName(member.state)}});
    }
    json::array held;
    for (const std::string &key : snapshot->heldRollouts) {
        held.emplace_back(key);
    }
    return jsonResponse(status::kOk,
                        json::serialize(json::object{{"instance", this->context.settings.name},
                                                     {"takesWork", snapshot->acceptsRequests},
                                                     {"whyNot", snapshot->notReadyReason},
                                                     {"rulesVersion", snapshot->rules->version},
                                                     {"heldRollouts", held},
                                                     {"members", members}}));
}

} // namespace basilnotch
