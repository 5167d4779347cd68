// GET /v1/entries: which addresses a caller should use, and for how long.
#pragma once

#include "TrafficContext.h"

#include <runtime/HttpServer.h>

#include <random>

namespace basilnotch {

/// Traffic thread only.
class EntriesApi
{
public:
    EntriesApi(TrafficContext &context, std::uint64_t seed);

    void handle(HttpExchange &exchange);

private:
    TrafficContext &context;
    std::mt19937_64 random;
};

} // namespace basilnotch
