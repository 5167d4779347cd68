// The borders of exceptions: whatever a library throws while a request is handled ends here.
#include "EntryHandler.h"

#include "control/ControlThread.h"

#include <base/Hash.h>
#include <runtime/HttpStatus.h>

#include <boost/json.hpp>
#include <glog/logging.h>

namespace basilnotch {

namespace {

/// A body waits for memory for longer than others take to be sent on.
constexpr Duration kRetryAfterNoMemory = seconds(1);

std::string_view bearerKey(const HttpRequest &request)
{
    constexpr std::string_view kScheme = "Bearer ";
    std::string_view value = request.headers.find("Authorization");
    if (!value.starts_with(kScheme)) {
        return {};
    }
    return value.substr(kScheme.size());
}

HttpResponse refuse(int status, std::string type, std::string message)
{
    return Refusal{status, std::move(type), std::move(message), RunState::NotRun, {}, {}}
        .response();
}

} // namespace

EntryHandler::EntryHandler(TrafficContext &context, std::uint64_t seed)
    : context(context)
    , chat(context, seed)
    , services(context)
    , entries(context, seed)
    , admin(context)
{
    for (const WorkspaceSettings &workspace : context.settings.workspaces) {
        this->workspaceByKey[workspace.key] = workspace.name;
    }
}

HttpResponse EntryHandler::malformed(int status, std::string_view text)
{
    this->context.metrics.counter("requests_malformed_total").add();
    constexpr int kBodyTooLarge = 413;
    if (status == status::kUnavailable) {
        return Refusal{status,           "no_memory",         std::string(text),
                       RunState::NotRun, kRetryAfterNoMemory, {}}
            .response();
    }
    const std::string type = status == kBodyTooLarge ? "body_too_large"
        : status == 431                              ? "headers_too_large"
                                                     : "malformed_http";
    return refuse(status, type, std::string(text));
}

void EntryHandler::handle(HttpExchange &exchange)
{
    try {
        this->dispatch(exchange);
    } catch (const std::exception &error) {
        LOG(ERROR) << "request failed: " << error.what();
        this->context.metrics.counter("requests_failed_internally_total").add();
        if (!exchange.answered()) {
            (void)exchange.respond(Refusal{
                status::kInternalError,
                "internal_error",
                "internal error",
                RunState::Unknown,
                {},
                {}}.response());
        }
    }
}

HttpResponse EntryHandler::readiness() const
{
    const auto snapshot = this->context.control.snapshot();
    const bool ready = snapshot->acceptsRequests && !snapshot->leaving;
    const std::string why = snapshot->leaving ? "leaving" : snapshot->notReadyReason;
    return jsonResponse(
        ready ? status::kOk : status::kUnavailable,
        boost::json::serialize(boost::json::object{{"ready", ready}, {"why", why}}));
}

bool EntryHandler::handleOpen(HttpExchange &exchange)
{
    const std::string_view path = exchange.request().path();
    if (path == "/healthz") {
        (void)exchange.respond(jsonResponse(status::kOk, "{\"ok\":true}"));
    } else if (path == "/readyz") {
        (void)exchange.respond(this->readiness());
    } else if (path == "/metrics") {
        (void)exchange.respond({status::kOk,
                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                this->context.metrics.print()});
    } else if (path == "/v1/entries") {
        this->entries.handle(exchange);
    } else {
        return false;
    }
    return true;
}

void EntryHandler::dispatch(HttpExchange &exchange)
{
    if (this->handleOpen(exchange)) {
        return;
    }
    if (exchange.request().path().starts_with("/admin/")) {
        if (!equalConstantTime(bearerKey(exchange.request()), this->context.settings.operatorKey)) {
            (void)exchange.respond(
                refuse(status::kUnauthorized, "wrong_key", "the operator's key is needed"));
            return;
        }
        this->admin.handle(exchange);
        return;
    }
    this->handleForWorkspace(exchange);
}

void EntryHandler::handleForWorkspace(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const auto workspace = this->workspaceByKey.find(bearerKey(request));
    if (workspace == this->workspaceByKey.end()) {
        this->context.metrics.counter("requests_refused_total{type=\"unknown_workspace\"}").add();
        (void)exchange.respond(refuse(status::kUnauthorized, "unknown_workspace",
                                      "a workspace's key is needed: Authorization: Bearer KEY"));
        return;
    }
    const std::string_view path = request.path();
    if (path == "/v1/chat/completions") {
        if (request.method != "POST") {
            (void)exchange.respond(
                refuse(status::kMethodNotAllowed, "wrong_method", "POST is wanted here"));
            return;
        }
        this->chat.handle(exchange, workspace->second);
        return;
    }
    const std::string_view first = path.substr(1, path.find('/', 1) - 1);
    if (path.size() > 1 && this->services.offers(first)) {
        this->services.handle(exchange, workspace->second);
        return;
    }
    (void)exchange.respond(refuse(status::kNotFound, "unknown_path",
                                  "known here: /v1/entries, /v1/chat/completions, /SERVICE/PATH, "
                                  "/healthz, /readyz, /metrics"));
}

} // namespace basilnotch
