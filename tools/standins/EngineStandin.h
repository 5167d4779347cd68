// Stand-in for a model engine: OpenAI wire format over SSE, orders, lagging load report, cache
// events.
#pragma once

#include "StandinServer.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace basilnotch {

struct EngineOptions
{
    std::set<std::string> loaded; ///< "model@version".
    bool checksFencing = false;
    Duration step = milliseconds(4); ///< Between two tokens.
    Duration firstToken = milliseconds(10);
    int slots = 48;
    Endpoint platform; ///< For weights; port 0 loads at once.
};

/// What goes wrong with it; set by POST /control.
struct EngineFaults
{
    Duration answerDelay{}; ///< Before the first token.
    bool crossed = false;   ///< Answers carry another request's id.
    int cutAfter = 0;       ///< Closes a stream after so many tokens, once.
    bool bad = false;       ///< Answers badly.
    bool fails = false;     ///< Answers 500.
    bool leaving = false;
};

/// Paths: /v1/chat/completions, /v1/load, /v1/orders, /control, and for tests /stats.
class EngineStandin final : public StandinServer
{
public:
    EngineStandin(FiberRuntime &runtime, Endpoint listen, EngineOptions options);
    void handle(HttpExchange &exchange) override;

private:
    void complete(HttpExchange &exchange);
    void stream(HttpExchange &exchange, const std::string &prompt, int tokens, int from);
    HttpResponse load();
    HttpResponse order(const boost::json::object &body);
    void loadVersion(const std::string &version);
    HttpResponse stats() const;

    EngineOptions options;
    EngineFaults faults;
    std::uint64_t highestFence = 0;
    int running = 0;
    int loading = 0;
    std::set<std::string> wanted;
    std::map<std::string, int> runsByVersion; ///< Requests begun, for tests.
    std::int64_t generated = 0;
    std::int64_t cancelled = 0;
    std::int64_t ordersTaken = 0;
    std::int64_t unloads = 0;
    std::int64_t ordersRefused = 0;
    std::deque<boost::json::object> cacheEvents; ///< Not yet reported.
};

} // namespace basilnotch
