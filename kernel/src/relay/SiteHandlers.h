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
    explicit RelayHandler(RelayContext &context)
        : context(context)
    { }
    void handle(HttpExchange &exchange) override;
    HttpResponse malformed(int status, std::string_view text) override;

private:
    /// Lets a process that has just started read its configuration before it refuses anything.
    void waitForConfiguration();

    RelayContext &context;
};

/// Which instances callers should use. The composition of the answer is what spreads them.
class DirectoryHandler final : public HttpHandler
{
public:
    DirectoryHandler(RelayContext &context, std::uint64_t seed)
        : context(context)
        , random(seed)
    { }
    void handle(HttpExchange &exchange) override;
    HttpResponse malformed(int status, std::string_view text) override;

private:
    RelayContext &context;
    std::mt19937_64 random;
};

/// Readiness checks of the platform.
class ReadinessHandler final : public HttpHandler
{
public:
    explicit ReadinessHandler(RelayContext &context)
        : context(context)
    { }
    void handle(HttpExchange &exchange) override;
    HttpResponse malformed(int status, std::string_view text) override;

private:
    RelayContext &context;
};

/// Counters and histograms as text.
class MetricsHandler final : public HttpHandler
{
public:
    explicit MetricsHandler(RelayContext &context)
        : context(context)
    { }
    void handle(HttpExchange &exchange) override;
    HttpResponse malformed(int status, std::string_view text) override;

private:
    RelayContext &context;
};

} // namespace basilnotch
