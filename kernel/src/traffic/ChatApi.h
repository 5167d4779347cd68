// POST /v1/chat/completions: chooses models, waits for upstreams, runs cascades, streams answers.
#pragma once

#include "ChatRequest.h"
#include "TrafficContext.h"

#include <decision/QualityStats.h>
#include <runtime/HttpServer.h>

#include <random>
#include <string>

namespace basilnotch {

/// State that requests of one traffic thread share beside the TrafficContext.
struct ChatState
{
    PromptMedian medians;
    std::mt19937_64 random;
    double ratingCredit = 0; ///< Answers that may be sent to be rated now.
    TimePoint ratingCreditAt;
};

/// Traffic thread only.
class ChatApi
{
public:
    ChatApi(TrafficContext &context, std::uint64_t seed);

    void handle(HttpExchange &exchange, const std::string &workspace);

private:
    TrafficContext &context;
    ChatState state;
};

} // namespace basilnotch
