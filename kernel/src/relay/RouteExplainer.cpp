// Follows the steps of admitRequest() and RequestForwarder with copies of what these change.
#include "RouteExplainer.h"

#include "RequestRequirements.h"

#include "site/SiteControl.h"

#include <decision/RolloutSchedule.h>
#include <runtime/HttpStatus.h>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace basilnotch {

namespace {

namespace json = boost::json;

std::string textAt(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

HttpResponse respond(int status, const json::object &body)
{
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

HttpResponse respondError(int status, std::string_view why)
{
    return respond(status, {{"message", json::string_view(why.data(), why.size())}});
}

/// Reads the caller's part of the question; false when it is malformed.
bool readCaller(const json::object &question, CallerHeaders *caller)
{
    caller->key = textAt(question, "key");
    caller->requestId = textAt(question, "request");
    caller->session = textAt(question, "session");
    caller->model = textAt(question, "model");
    caller->anyModel = caller->model.empty();
    const json::value *prompt = question.if_contains("prompt");
    if (!prompt) {
        return true;
    }
    if (!prompt->is_array()) {
        return false;
    }
    for (const json::value &item : prompt->as_array()) {
        const json::value *tokens =
            item.is_object() ? item.as_object().if_contains("tokens") : nullptr;
        if (!tokens || !tokens->is_int64() || tokens->as_int64() < 0
            || tokens->as_int64() > INT32_MAX / 2) {
            return false;
        }
        PromptPart part;
        part.id = textAt(item.as_object(), "id");
        part.tokens = static_cast<int>(tokens->as_int64());
        caller->promptTokens += part.tokens;
        caller->prompt.push_back(std::move(part));
    }
    return true;
}

/// The workspace of the request, by name or by key; null when there is none such.
const CatalogWorkspace *findWorkspace(const Catalog &catalog, const std::string &name,
                                      const std::string &key)
{
    return name.empty() ? catalog.workspaceOf(key) : catalog.workspace(name);
}

json::object describeUpstream(const UpstreamRecord &upstream, std::string_view verdict)
{
    return {{"upstream", upstream.id},
            {"failureDomain", upstream.failureDomain},
            {"version", upstream.softwareVersion},
            {"verdict", json::string_view(verdict.data(), verdict.size())}};
}

json::array describeCandidates(const AssignmentExplanation &explanation)
{
    json::array candidates;
    for (const CandidateExplanation &item : explanation.picked.candidates) {
        const bool isPicked = item.upstream == explanation.picked.pick.upstream;
        json::object described = describeUpstream(*item.upstream,
                                                  isPicked                   ? "picked"
                                                      : item.leftOut.empty() ? "as good"
                                                                             : item.leftOut);
        described["scoreMs"] = item.scoreMs;
        described["load"] = item.load;
        described["slots"] = item.upstream->slots;
        described["queuedPrefillMs"] = wholeMillis(item.ahead);
        described["prefillMs"] = wholeMillis(item.work);
        described["fetchesPrompt"] = item.fetchesPrompt;
        described["failureRatio"] = item.failureRatio;
        if (item.pauseLeft > Duration::zero()) {
            described["pauseLeftMs"] = wholeMillis(item.pauseLeft);
        }
        candidates.push_back(std::move(described));
    }
    for (const UpstreamRef &upstream : explanation.otherVersions) {
        candidates.push_back(describeUpstream(*upstream, "other version"));
    }
    for (const UpstreamRef &upstream : explanation.notReady) {
        candidates.push_back(describeUpstream(
            *upstream, upstream->state == UpstreamState::Draining ? "draining" : "out of service"));
    }
    return candidates;
}

std::string describeAnswer(const AssignmentExplanation &explanation)
{
    const Pick &pick = explanation.picked.pick;
    switch (pick.problem) {
    case PickProblem::None:
        return "sent to " + pick.upstream->id;
    case PickProblem::NoUpstream:
        return "503: no upstream";
    case PickProblem::AllPaused:
        return absl::StrCat("waits for a pause to end in ", wholeMillis(pick.pauseLeft),
                            " ms, or 503 if the caller can't wait so long");
    case PickProblem::AllFull:
        break;
    }
    return absl::StrCat("waits for a slot, or 503 with a pause of ",
                        wholeMillis(explanation.retryAfter), " ms if the caller can't wait");
}

json::object describeRoute(const Route &route)
{
    json::array models;
    for (const std::string &model : route.modelsBySize) {
        models.emplace_back(model);
    }
    return {{"name", route.name},
            {"timeoutMs", wholeMillis(route.timeout)},
            {"goalMs", wholeMillis(route.goal)},
            {"maxAttempts", route.maxAttempts},
            {"cascade", std::move(models)}};
}

json::object describeRollout(const ActiveRollout &rollout, const SiteView &view, TimePoint now)
{
    const Duration elapsed = now - rollout.startedAt;
    return {{"toVersion", rollout.state.toVersion},
            {"share", rolloutShare(rollout.state, elapsed, view.bounds.exposureShare)},
            {"held", rollout.held},
            {"completed", rollout.state.phase == RolloutPhase::Completed}};
}

} // namespace

HttpResponse explainRoute(const HttpRequest &http, RelayContext &context)
{
    json::error_code error;
    const json::value parsed = json::parse(http.body, error);
    AdmittedRequest request;
    if (http.method != "POST" || error || !parsed.is_object()
        || !readCaller(parsed.as_object(), &request.caller)) {
        return respondError(status::kBadRequest, "explain: POST a JSON object with host and path");
    }
    const json::object &question = parsed.as_object();
    request.view = context.control.view();
    if (!request.view->catalog) {
        return respondError(status::kUnavailable, "no configuration yet");
    }
    const Catalog &catalog = *request.view->catalog;
    const TimePoint now = context.clock.now();
    const SiteKnowledge knowledge = context.control.knowledge();
    json::object answer{{"configuration", catalog.version()}};
    if (knowledge.sinceConfirmed) {
        answer["confirmedMsAgo"] = wholeMillis(*knowledge.sinceConfirmed);
    }
    request.route = catalog.match(textAt(question, "host"), textAt(question, "path"));
    if (!request.route) {
        answer["answer"] = "404: no such route";
        return respond(status::kOk, answer);
    }
    const Route &route = *request.route;
    answer["route"] = describeRoute(route);
    request.priority = route.priority;
    if (catalog.hasWorkspaces() && !route.isPublic) {
        const CatalogWorkspace *workspace =
            findWorkspace(catalog, textAt(question, "workspace"), request.caller.key);
        if (!workspace) {
            answer["answer"] = "401: unknown key or workspace";
            return respond(status::kOk, answer);
        }
        request.workspace = workspace->name;
        request.priority = workspace->priority.value_or(route.priority);
        answer["workspace"] = workspace->name;
    }
    answer["priority"] = request.priority;
    request.service = selectService(route, request.caller.requestId);
    answer["service"] = request.service;
    const std::string model = request.caller.anyModel && !route.modelsBySize.empty()
        ? route.modelsBySize.front()
        : request.caller.model;
    answer["model"] = model;
    request.arrivedAt = now;
    request.deadline = now + route.timeout;
    const auto rollout = request.view->rollouts.find(request.service);
    if (rollout != request.view->rollouts.end()) {
        answer["rollout"] = describeRollout(rollout->second, *request.view, now);
    }
    std::vector<std::string> sharedParts;
    for (std::size_t index = 0; index + 1 < request.caller.prompt.size(); ++index) {
        sharedParts.push_back(request.caller.prompt[index].id);
    }
    if (context.promptGuard.findQuarantined(sharedParts)) {
        answer["answer"] = "503: a part of this prompt crashes the upstreams that answer it";
        return respond(status::kOk, answer);
    }
    std::vector<std::string> failed;
    if (const json::value *ids = question.if_contains("failed"); ids && ids->is_array()) {
        for (const json::value &id : ids->as_array()) {
            if (id.is_string()) {
                failed.emplace_back(id.as_string());
            }
        }
    }
    RolloutInitialQuota quota = context.initialQuota;
    const UpstreamRequirements requirements =
        requirementsFor(request, model, std::move(failed), context, quota);
    const AssignmentExplanation explanation = context.scheduler.explain(requirements);
    answer["candidates"] = describeCandidates(explanation);
    json::object queue{{"ahead", explanation.waitersAhead}};
    if (explanation.expectedWait) {
        queue["expectedWaitMs"] = wholeMillis(*explanation.expectedWait);
    }
    answer["queue"] = std::move(queue);
    answer["answer"] = describeAnswer(explanation);
    return respond(status::kOk, answer);
}

} // namespace basilnotch
