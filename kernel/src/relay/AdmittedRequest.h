// Admission of a caller's request: resolves route, workspace and deadline, or says why the request
// is rejected.
#pragma once

#include "RelayContext.h"

#include <runtime/HttpServer.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace basilnotch {

struct AdmittedRequest
{
    const HttpRequest *http = nullptr; ///< Not owned; outlives this object.
    CallerHeaders caller;
    std::shared_ptr<const SiteView> view;
    const Route *route = nullptr; ///< Owned by the view's catalog.
    std::string service;          ///< Target service that the route selects for this request.
    std::string workspace;        ///< Empty on public routes.
    int priority = 0;
    TimePoint arrivedAt;
    TimePoint deadline; ///< Earliest of the caller's time limit, the route's time limit and this
                        ///< process's exit.
    /// Ids of the prompt's parts but the last, which no other request has.
    std::vector<std::string> sharedPromptParts;
    std::string fingerprint; ///< Identical for repetitions of the request by the same caller.

    Duration timeLeft(TimePoint now) const { return this->deadline - now; }
    const EngineTraits *engine() const;
};

/// Why a request is rejected before it is sent to an upstream.
struct AdmissionError
{
    int status = 503;
    std::string reason;
    std::optional<Duration> retryAfter;
    /// The catalog lacks the route or the key, so that a newer one may allow the request.
    bool dependsOnCatalog = false;
};

/// Selects a target of a route by weight. The same `key` always selects the same target, so that
/// all attempts with that `key` reach the same service.
const std::string &selectService(const Route &route, std::string_view key);

using Admission = std::variant<AdmittedRequest, AdmissionError>;

/// `arrivedAt` is the time at which the request was read.
Admission admitRequest(const HttpRequest &http, TimePoint arrivedAt, const RelayContext &context);

} // namespace basilnotch
