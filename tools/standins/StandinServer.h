// What the stand-ins have in common: one thread, one HTTP server, small JSON helpers.
#pragma once

#include <runtime/FiberRuntime.h>
#include <runtime/HttpServer.h>
#include <settings/Settings.h>

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace basilnotch {

/// Fields of a JSON object with defaults; a stand-in trusts its input.
std::string jsonText(const boost::json::object &object, std::string_view key,
                     std::string_view fallback = "");
std::int64_t jsonNumber(const boost::json::object &object, std::string_view key,
                        std::int64_t fallback = 0);
bool jsonFlag(const boost::json::object &object, std::string_view key, bool fallback = false);
/// The object of a body; empty when it is none.
boost::json::object jsonBody(std::string_view body);

/// Base of the stand-ins.
class StandinServer : public HttpHandler
{
public:
    StandinServer(FiberRuntime &runtime, Endpoint listen);
    absl::Status start() { return this->server.start(); }
    void stop() { this->server.stopAccepting(); }
    HttpResponse malformed(int status, std::string_view text) override;

protected:
    FiberRuntime &runtime;

private:
    HttpServer server;
};

} // namespace basilnotch
