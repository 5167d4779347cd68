// Stand-in for the platform: table, objects, ratings, weights, instance list, and a trace
// collector.
#pragma once

#include "StandinServer.h"

#include <map>
#include <string>

namespace basilnotch {

/// What goes wrong with it; set by POST /control.
struct PlatformFaults
{
    bool down = false;        ///< Connections are closed without an answer.
    bool loseAnswers = false; ///< Writes take effect, their answers are lost.
    bool ratingsDown = false;
    Duration delay{}; ///< Before each answer.
};

/// Paths: /table/write, /table/read, /table/list, /objects, /ratings, /weights, /instances,
/// /v1/traces, /control, and for tests /dump?prefix=P and /counts.
class PlatformStandin final : public StandinServer
{
public:
    using StandinServer::StandinServer;
    void handle(HttpExchange &exchange) override;

private:
    struct Row
    {
        std::string value;
        std::int64_t version = 0;
    };

    HttpResponse answer(const HttpRequest &request);
    boost::json::object write(const boost::json::object &body);
    boost::json::object list(const boost::json::object &body) const;
    HttpResponse loadWeights();
    void control(const boost::json::object &body);

    std::map<std::string, Row, std::less<>> table;
    std::map<std::string, std::string> objects;
    boost::json::array instances;
    PlatformFaults faults;
    int loadsUnderWay = 0;
    std::int64_t writes = 0; ///< Write exchanges, as the platform's limit counts them.
    std::int64_t reads = 0;
    std::int64_t spans = 0;
};

} // namespace basilnotch
