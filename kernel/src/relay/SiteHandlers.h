// What an instance of a site answers: requests of callers, questions for addresses, readiness
// checks and metrics.
#pragma once

#include "RelayContext.h"

#include <runtime/HttpServer.h>

#include <random>

namespace basilnotch {

/// Requests of callers.
class RelayHandler final : public HttpHandler
{
public:
    explicit RelayHandler(RelayContext &context);
    void handle(HttpExchange &exchange) override;
    HttpResponse malformed(int status, std::string_view text) override;

private:
    /// Lets a process that has just started read its configuration before it refuses anything.
    void waitForConfiguration();

    RelayContext &context;
    Counter &requests;
    Counter &turnedAway;
    Counter &malformedRequests;
    LatencyHistogram &latency;
};

/// What the handlers of the smaller ports have in common.
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

/// Which instances callers should use. The composition of the answer is what spreads them.
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

/// Readiness checks of the platform.
class ReadinessHandler final : public AuxiliaryHandler
{
public:
    using AuxiliaryHandler::AuxiliaryHandler;
    void handle(HttpExchange &exchange) override;
};

/// Counters and histograms as text.
class MetricsHandler final : public AuxiliaryHandler
{
public:
    using AuxiliaryHandler::AuxiliaryHandler;
    void handle(HttpExchange &exchange) override;
};

} // namespace basilnotch
