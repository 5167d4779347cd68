// The administration API: rules, status and explain. `basilnotch rules ...` is its client.
#pragma once

#include "Refusal.h"
#include "TrafficContext.h"

#include <runtime/HttpServer.h>

namespace basilnotch {

/// Traffic thread only. All calls need the operator's key.
class AdminApi
{
public:
    explicit AdminApi(TrafficContext &context);

    void handle(HttpExchange &exchange);

private:
    HttpResponse fetchRules(const HttpRequest &request);
    HttpResponse applyRules(const HttpRequest &request);
    HttpResponse rulesStatus();
    HttpResponse explain(const HttpRequest &request);
    HttpResponse status();

    TrafficContext &context;
};

} // namespace basilnotch
