// Each command is one HTTP exchange on a fiber runtime of its own. Instances are tried in turn
// while no byte has been sent; `rules apply` may be repeated in any case.
#include "OperatorClient.h"

#include <rules/RulesDiff.h>
#include <rules/RulesParser.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>
#include <runtime/HttpStatus.h>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace basilnotch {

namespace json = boost::json;

namespace {

constexpr Duration kTimeout = seconds(15);

absl::StatusOr<HttpResponse> exchange(const OperatorTarget &target, HttpRequest request)
{
    request.headers.add("Authorization", "Bearer " + target.key);
    absl::StatusOr<HttpResponse> result = absl::InvalidArgumentError("no instance given");
    FiberRuntime runtime;
    runtime.post([&] {
        HttpClient client(runtime);
        for (const Endpoint &instance : target.instances) {
            CallOptions options;
            options.timeout = kTimeout;
            result = client.call(instance, request, options);
            if (result.ok()) {
                break;
            }
            std::cerr << "basilnotch: " << describe(result.status()) << "\n";
        }
        runtime.stop();
    });
    runtime.run();
    return result;
}

/// The JSON object of an answer; an empty one when it is none.
json::object readObject(const std::string &body)
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    return !error && value.is_object() ? value.as_object() : json::object{};
}

std::string text(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (!value) {
        return {};
    }
    if (value->is_double()) {
        return absl::StrCat(value->as_double());
    }
    return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

int fail(const absl::StatusOr<HttpResponse> &response)
{
    if (!response.ok()) {
        std::cerr << "basilnotch: no instance answered\n";
        return ExitFailed;
    }
    const json::object body = readObject(response->body);
    const json::value *error = body.if_contains("error");
    const std::string message =
        error && error->is_object() ? text(error->as_object(), "message") : text(body, "message");
    std::cerr << "basilnotch: "
              << (message.empty() ? absl::StrCat("status ", response->status) : message) << "\n";
    return ExitFailed;
}

void printInstances(const json::object &body)
{
    std::cout << "version " << text(body, "version") << ": in force on " << text(body, "inForceOn")
              << " of " << text(body, "of") << " instances\n";
    const json::value *instances = body.if_contains("instances");
    if (!instances || !instances->is_array()) {
        return;
    }
    for (const json::value &item : instances->as_array()) {
        const json::object &instance = item.as_object();
        std::cout << "  " << text(instance, "name") << "  " << text(instance, "inForce") << "  "
                  << text(instance, "state");
        if (instance.contains("missingForSeconds")) {
            std::cout << "  missing for " << text(instance, "missingForSeconds") << " s";
        }
        std::cout << "\n";
    }
}

int printJson(const absl::StatusOr<HttpResponse> &response)
{
    if (!response.ok() || response->status != status::kOk) {
        return fail(response);
    }
    std::cout << response->body << "\n";
    return ExitOk;
}

} // namespace

bool readFile(const std::string &path, std::string *text)
{
    if (path == "-") {
        text->assign(std::istreambuf_iterator<char>(std::cin), {});
        return true;
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << "basilnotch: can't read " << path << "\n";
        return false;
    }
    text->assign(std::istreambuf_iterator<char>(file), {});
    return true;
}

int fetchRules(const OperatorTarget &target, const std::string &outFile)
{
    const auto response = exchange(target, {"GET", "/admin/rules", {}, ""});
    if (!response.ok() || response->status != status::kOk) {
        return fail(response);
    }
    const std::string version(response->headers.find("X-Rules-Version"));
    if (outFile.empty()) {
        std::cout << response->body;
    } else {
        std::ofstream file(outFile, std::ios::binary | std::ios::trunc);
        file << response->body;
        if (!file.flush()) {
            std::cerr << "basilnotch: can't write " << outFile << "\n";
            return ExitFailed;
        }
    }
    std::cerr << "version " << version << " (edit it, then: rules apply FILE --base " << version
              << ")\n";
    return ExitOk;
}

int diffRules(const OperatorTarget &target, const std::string &file)
{
    std::string edited;
    if (!readFile(file, &edited)) {
        return ExitUsage;
    }
    const auto response = exchange(target, {"GET", "/admin/rules", {}, ""});
    if (!response.ok() || response->status != status::kOk) {
        return fail(response);
    }
    std::cout << diffLines(response->body, edited);
    return ExitOk;
}

int applyRules(const OperatorTarget &target, const std::string &file, std::uint64_t base)
{
    std::string edited;
    if (!readFile(file, &edited)) {
        return ExitUsage;
    }
    const auto response = exchange(target,
                                   {"POST",
                                    absl::StrCat("/admin/rules?base=", base),
                                    {{"Content-Type", "text/plain"}},
                                    edited});
    if (!response.ok()) {
        std::cerr << "basilnotch: it is not known whether the rules were stored; repeating the "
                     "command is safe and says so\n";
        return ExitFailed;
    }
    const json::object body = readObject(response->body);
    if (response->status == status::kConflict) {
        std::cerr << "refused: your file is based on version " << base << ", but version "
                  << text(body, "version") << " is in force; changed since your base:\n"
                  << text(body, "changes");
        return ExitConflict;
    }
    if (response->status == status::kUnprocessable) {
        for (const RulesFault &fault : parseRules(edited).faults) {
            std::cerr << fault.format(file) << "\n";
        }
        std::cerr << "refused whole; version " << text(body, "version") << " stays in force\n";
        return ExitUsage;
    }
    if (response->status != status::kOk) {
        return fail(response);
    }
    const bool accepted = body.contains("accepted") && body.at("accepted").as_bool();
    std::cout << text(body, "outcome") << " as version " << text(body, "version")
              << (accepted ? ", accepted\n" : ", not yet in force everywhere\n");
    printInstances(body);
    return accepted ? ExitOk : ExitNotAccepted;
}

int showRulesStatus(const OperatorTarget &target, bool asJson)
{
    const auto response = exchange(target, {"GET", "/admin/rules/status", {}, ""});
    if (asJson || !response.ok() || response->status != status::kOk) {
        return printJson(response);
    }
    printInstances(readObject(response->body));
    return ExitOk;
}

int showStatus(const OperatorTarget &target, bool asJson)
{
    const auto response = exchange(target, {"GET", "/admin/status", {}, ""});
    if (asJson || !response.ok() || response->status != status::kOk) {
        return printJson(response);
    }
    const json::object body = readObject(response->body);
    std::cout << "instance " << text(body, "instance") << ", rules " << text(body, "rulesVersion")
              << (text(body, "takesWork") == "true"
                      ? ", takes work\n"
                      : ", takes no work: " + text(body, "whyNot") + "\n");
    for (const json::value &item : body.at("members").as_array()) {
        const json::object &member = item.as_object();
        std::cout << "  " << text(member, "incarnation") << "  " << text(member, "failureDomain")
                  << "  " << text(member, "state") << "\n";
    }
    for (const json::value &key : body.at("heldRollouts").as_array()) {
        std::cout << "  held: " << std::string_view(key.as_string()) << "\n";
    }
    return ExitOk;
}

int explainChoice(const OperatorTarget &target, const std::string &query, bool asJson)
{
    const auto response = exchange(target, {"GET", "/admin/explain?" + query, {}, ""});
    if (asJson || !response.ok() || response->status != status::kOk) {
        return printJson(response);
    }
    const json::object body = readObject(response->body);
    std::cout << "rules " << text(body, "rulesVersion") << ", cascade on line "
              << text(body, "cascadeLine") << ", target " << text(body, "quality") << "\n";
    const json::object &plan = body.at("plan").as_object();
    std::cout << "plan: " << text(plan, "cheaper") << ", and " << text(plan, "dearer")
              << " for a share of " << text(plan, "dearerShare") << "\n";
    for (const json::value &item : body.at("chains").as_array()) {
        const json::object &chain = item.as_object();
        std::cout << "  chain " << text(chain, "models") << "  quality at least "
                  << text(chain, "quality") << "  cost " << text(chain, "cost") << "\n";
    }
    for (const json::value &item : body.at("models").as_array()) {
        const json::object &model = item.as_object();
        const std::string line = text(model, "allowLine");
        std::cout << text(model, "model") << ": "
                  << (line == "0" ? "not allowed" : "allowed on line " + line) << ", version "
                  << text(model, "version") << " (" << text(model, "why") << ")\n";
        for (const json::value &upstream : model.at("upstreams").as_array()) {
            const json::object &reason = upstream.as_object();
            std::cout << "  " << text(reason, "name") << ": " << text(reason, "verdict") << "\n";
        }
    }
    return ExitOk;
}

int explainRoute(const OperatorTarget &target, const RouteQuestion &question, bool asJson)
{
    json::object body{{"host", question.host}, {"path", question.path}};
    const auto add = [&](const char *name, const std::string &value) {
        if (!value.empty()) {
            body[name] = value;
        }
    };
    add("workspace", question.workspace);
    add("key", question.callerKey);
    add("session", question.session);
    add("request", question.request);
    add("model", question.model);
    json::array prompt;
    for (const auto &[id, tokens] : question.prompt) {
        prompt.push_back(json::object{{"id", id}, {"tokens", tokens}});
    }
    body["prompt"] = std::move(prompt);
    const auto response = exchange(target, {"POST", "/explain", {}, json::serialize(body)});
    if (asJson || !response.ok() || response->status != status::kOk) {
        return printJson(response);
    }
    const json::object answer = readObject(response->body);
    const auto line = [&](const char *label, const json::object &object,
                          std::initializer_list<const char *> names) {
        std::cout << label;
        for (const char *name : names) {
            if (object.contains(name)) {
                std::cout << "  " << name << " " << text(object, name);
            }
        }
        std::cout << "\n";
    };
    line("configuration", answer, {"configuration", "confirmedMsAgo"});
    if (const json::value *route = answer.if_contains("route")) {
        line("route", route->as_object(),
             {"name", "timeoutMs", "goalMs", "maxAttempts", "cascade"});
        line("request", answer, {"workspace", "priority", "service", "model"});
    }
    if (const json::value *rollout = answer.if_contains("rollout")) {
        line("roll-out", rollout->as_object(), {"toVersion", "share", "held", "completed"});
    }
    if (const json::value *candidates = answer.if_contains("candidates")) {
        for (const json::value &item : candidates->as_array()) {
            line("  upstream", item.as_object(),
                 {"upstream", "verdict", "version", "failureDomain", "scoreMs", "load", "slots",
                  "queuedPrefillMs", "prefillMs", "fetchesPrompt", "failureRatio", "pauseLeftMs"});
        }
        line("queue", answer.at("queue").as_object(), {"ahead", "expectedWaitMs"});
    }
    std::cout << "answer: " << text(answer, "answer") << "\n";
    return ExitOk;
}

} // namespace basilnotch
