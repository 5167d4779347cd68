// HTTP handlers of a site's instance: caller requests, the instance directory, readiness checks and
// metrics.
#pragma once

#include "AdmittedRequest.h"
#include "RelayContext.h"

#include <runtime/HttpServer.h>

#include <random>

namespace basilnotch {

/// Handles requests of callers.
class RelayHandler final : public HttpHandler
{
public:
    explicit RelayHandler(RelayContext &context);
    void handle(HttpExchange &exchange) override;
    HttpResponse malformed(int status, std::string_view text) override;
    void abandoned(const HttpRequest &request) override;

private:
    /// Waits until a starting process has read its configuration, instead of rejecting the request.
    void waitForConfiguration();
    /// Admits the request, or rejects it. A request that a newer catalog may allow is held until
    /// the store has confirmed that there is none.
    Admission admit(const HttpRequest &request, TimePoint arrivedAt);
    void reject(HttpExchange &exchange, const AdmissionError &problem);

    RelayContext &context;
    Counter &requests;
    Counter &rejectedRequests;
    Counter &malformedRequests;
    Counter &abandonedRequests;
    LatencyHistogram &latency;
};

/// Base class of the handlers of the auxiliary ports.
class AuxiliaryHandler : public HttpHandler
{
public:
    explicit AuxiliaryHandler(RelayContext &context)
        : context(context)
    { }
    HttpResponse malformed(int status, std::string_view text) override;

protected:
    RelayContext &context;
};

/// Returns the addresses of the instances that a caller should use. The selection distributes
/// callers over instances.
class DirectoryHandler final : public AuxiliaryHandler
{
public:
    DirectoryHandler(RelayContext &context, std::uint64_t seed)
        : AuxiliaryHandler(context)
        , random(seed)
    { }
    void handle(HttpExchange &exchange) override;

private:
    std::mt19937_64 random;
};

/// Handles readiness checks of the platform.
class ReadinessHandler final : public AuxiliaryHandler
{
public:
    using AuxiliaryHandler::AuxiliaryHandler;
    void handle(HttpExchange &exchange) override;
};

/// Prints counters and histograms as text, and answers POST /explain; see RouteExplainer.h.
class MetricsHandler final : public AuxiliaryHandler
{
public:
    using AuxiliaryHandler::AuxiliaryHandler;
    void handle(HttpExchange &exchange) override;
};

} // namespace basilnotch
