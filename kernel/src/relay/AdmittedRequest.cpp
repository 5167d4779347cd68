// Admission neither blocks nor sends anything, so a request that is rejected here has not been
// executed.
#include "AdmittedRequest.h"

#include "site/SiteControl.h"

#include <base/Hash.h>
#include <runtime/HttpStatus.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace basilnotch {

namespace {

/// A starting instance reads its configuration within some milliseconds.
constexpr Duration kRetryAfterStartup = milliseconds(300);
/// A request that crashes upstreams is rejected for as long as its crashes are remembered.
constexpr Duration kRetryAfterQuarantine = seconds(30);

/// Retry time of a request that is rejected because this instance is shutting down. Instances that
/// stopped before this one are running again after about a second.
constexpr Duration kRetryAfterShutdown = seconds(1);

} // namespace

const std::string &selectService(const Route &route, std::string_view key)
{
    double total = 0;
    for (const RouteTarget &target : route.targets) {
        total += std::max(0.0, target.weight);
    }
    constexpr double kHashRange = 18446744073709551616.0; // 2^64
    double position = static_cast<double>(hash64(key)) / kHashRange * total;
    for (const RouteTarget &target : route.targets) {
        position -= std::max(0.0, target.weight);
        if (position < 0) {
            return target.service;
        }
    }
    return route.targets.back().service;
}

const EngineTraits *AdmittedRequest::engine() const
{
    const Service *found = this->view->catalog->service(this->service);
    return found && found->engine ? &*found->engine : nullptr;
}

Admission admitRequest(const HttpRequest &http, TimePoint arrivedAt, const RelayContext &context)
{
    AdmittedRequest request;
    request.http = &http;
    request.arrivedAt = arrivedAt;
    request.view = context.control.view();
    if (!request.view->hasConfiguration()) {
        return AdmissionError{status::kUnavailable, "no configuration yet", kRetryAfterStartup};
    }
    const Catalog &catalog = *request.view->catalog;
    if (http.target.empty() || http.target.front() != '/') {
        return AdmissionError{status::kBadRequest, "the target is not a path", std::nullopt};
    }
    request.route = catalog.match(http.headers.find("Host"), http.path());
    if (!request.route) {
        return AdmissionError{status::kNotFound, "no such route", std::nullopt, true};
    }
    const Route &route = *request.route;
    request.caller = context.requestCodec.parseCallerHeaders(http);
    request.priority = route.priority;
    if (catalog.hasWorkspaces() && !route.isPublic) {
        const CatalogWorkspace *workspace = catalog.workspaceOf(request.caller.key);
        if (!workspace) {
            return AdmissionError{status::kUnauthorized, "unknown key", std::nullopt, true};
        }
        request.workspace = workspace->name;
        request.priority = workspace->priority.value_or(route.priority);
    }
    request.service = selectService(route, request.caller.requestId);
    const Duration callerTimeout = request.caller.timeLeft.value_or(route.timeout);
    request.deadline = request.arrivedAt + std::min(callerTimeout, route.timeout);
    const std::optional<ShutdownTimes> &stop = request.view->stop;
    if (stop && request.arrivedAt >= stop->streamsAcceptedUntil) {
        if (route.kind == RouteKind::Streaming) {
            return AdmissionError{status::kUnavailable, "the instance is about to stop",
                                  kRetryAfterShutdown};
        }
        request.deadline = std::min(request.deadline, stop->exitsAt);
    }
    request.fingerprint = digestHex(
        absl::StrCat(http.method, " ", http.target, "\n", request.caller.key, "\n", http.body));
    if (context.quarantine.isQuarantined(request.fingerprint)) {
        return AdmissionError{status::kUnavailable,
                              "this request crashes the upstreams that run it",
                              kRetryAfterQuarantine};
    }
    const std::vector<PromptPart> &prompt = request.caller.prompt;
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        request.sharedPromptParts.push_back(prompt[index].id);
    }
    if (context.promptGuard.findQuarantined(request.sharedPromptParts)) {
        return AdmissionError{status::kUnavailable,
                              "a part of this prompt crashes the upstreams that answer it",
                              kRetryAfterQuarantine};
    }
    return request;
}

} // namespace basilnotch
