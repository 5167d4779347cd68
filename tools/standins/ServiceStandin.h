// Stand-in for a plain service: stock reads that may be repeated, and confirmations that must not.
#pragma once

#include "StandinServer.h"

#include <map>
#include <string>

namespace basilnotch {

/// What goes wrong with it; set by POST /control.
struct ServiceFaults
{
    Duration delay{};        ///< Before the answer, after the effect.
    bool loseAnswer = false; ///< The effect happens, the connection is closed.
};

/// Paths: GET /stock/ITEM, POST /confirm, /v1/load, /control, and for tests /runs.
class ServiceStandin final : public StandinServer
{
public:
    using StandinServer::StandinServer;
    void handle(HttpExchange &exchange) override;

private:
    std::map<std::string, int> runs; ///< Idempotency key -> executions.
    std::int64_t reads = 0;
    int running = 0;
    ServiceFaults faults;
};

} // namespace basilnotch
