// Nothing here blocks or sends; a refusal from here is always "not run".
#include "AdmittedRequest.h"

#include "site/SiteControl.h"

#include <base/Hash.h>
#include <runtime/HttpStatus.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace basilnotch {

namespace {

/// An instance that has just started reads its configuration in some milliseconds.
constexpr Duration kComeBackAfterStart = milliseconds(300);
/// A request that crashes upstreams will not be taken for as long as it is remembered.
constexpr Duration kComeBackAfterCrashes = seconds(30);

/// Others that stopped earlier are back after about a second.
constexpr Duration kComeBackAfterStop = seconds(1);

/// The target of a route that is divided among services, the same for every attempt with that id.
const std::string &targetOf(const Route &route, std::string_view key)
{
    double total = 0;
    for (const RouteTarget &target : route.targets) {
        total += std::max(0.0, target.weight);
    }
    constexpr double kRange = 18446744073709551616.0; // 2^64
    double at = static_cast<double>(hash64(key)) / kRange * total;
    for (const RouteTarget &target : route.targets) {
        at -= std::max(0.0, target.weight);
        if (at < 0) {
            return target.service;
        }
    }
    return route.targets.back().service;
}

} // namespace

const EngineTraits *AdmittedRequest::engine() const
{
    const Service *found = this->view->catalog->service(this->service);
    return found && found->engine ? &*found->engine : nullptr;
}

std::variant<AdmittedRequest, AdmissionError> admitRequest(const HttpRequest &http,
                                                           const RelayContext &context)
{
    AdmittedRequest request;
    request.http = &http;
    request.arrivedAt = context.clock.now();
    request.view = context.control.view();
    if (!request.view->catalog) {
        return AdmissionError{status::kUnavailable, "no configuration yet", kComeBackAfterStart};
    }
    const Catalog &catalog = *request.view->catalog;
    if (http.target.empty() || http.target.front() != '/') {
        return AdmissionError{status::kBadRequest, "the target is not a path", std::nullopt};
    }
    request.route = catalog.match(http.headers.find("Host"), http.path());
    if (!request.route) {
        return AdmissionError{status::kNotFound, "no such route", std::nullopt};
    }
    const Route &route = *request.route;
    request.caller = context.requestCodec.parseCallerHeaders(http);
    request.priority = route.priority;
    if (catalog.hasWorkspaces() && !route.isPublic) {
        const CatalogWorkspace *workspace = catalog.workspaceOf(request.caller.key);
        if (!workspace) {
            return AdmissionError{status::kUnauthorized, "unknown key", std::nullopt};
        }
        request.workspace = workspace->name;
        request.priority = workspace->priority.value_or(route.priority);
    }
    request.service = targetOf(route, request.caller.requestId);
    const Duration patience = request.caller.timeLeft.value_or(route.timeout);
    request.answerBy = request.arrivedAt + std::min(patience, route.timeout);
    const std::optional<ShutdownTimes> &stop = request.view->stop;
    if (stop && request.arrivedAt >= stop->streamsAcceptedUntil) {
        if (route.kind == RouteKind::Streaming) {
            return AdmissionError{status::kUnavailable, "the instance is about to stop",
                                  kComeBackAfterStop};
        }
        request.answerBy = std::min(request.answerBy, stop->exitsAt);
    }
    request.fingerprint = digestHex(
        absl::StrCat(http.method, " ", http.target, "\n", request.caller.key, "\n", http.body));
    if (context.poison.isQuarantined(request.fingerprint)) {
        return AdmissionError{status::kUnavailable,
                              "this request crashes the upstreams that run it",
                              kComeBackAfterCrashes};
    }
    return request;
}

} // namespace basilnotch
