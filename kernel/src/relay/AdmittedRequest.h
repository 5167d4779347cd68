// A caller's request after it has been read and before it is sent anywhere: which route, whose key,
// by when, or why it is turned away.
#pragma once

#include "RelayContext.h"

#include <runtime/HttpServer.h>

#include <memory>
#include <string>
#include <variant>

namespace basilnotch {

struct AdmittedRequest
{
    const HttpRequest *http = nullptr; ///< Outlives the request.
    CallerHeaders caller;
    std::shared_ptr<const SiteView> view;
    const Route *route = nullptr; ///< Of the view's catalog.
    std::string service;          ///< Where the route sends this request.
    std::string workspace;        ///< Empty on public routes.
    int priority = 0;
    TimePoint arrivedAt;
    TimePoint answerBy;      ///< Neither the caller nor the operator wants it kept longer.
    std::string fingerprint; ///< The same for a repeated request of the same caller.

    Duration timeLeft(TimePoint now) const { return this->answerBy - now; }
    const EngineTraits *engine() const;
};

/// Why a request is turned away before it is sent anywhere.
struct AdmissionError
{
    int status = 503;
    std::string reason;
    std::optional<Duration> retryAfter;
};

std::variant<AdmittedRequest, AdmissionError> admitRequest(const HttpRequest &http,
                                                           const RelayContext &context);

} // namespace basilnotch
