// Polls of upstreams of the own interface, against answers written by hand.
#include <RawServer.h>

#include <base/Clock.h>
#include <kernel/Plugins.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace basilnotch;
using basilnotch::testing::RawServer;

// Guards against processes that end because an upstream reports a number that does not fit.
TEST_CASE("a load report with a number that does not fit leaves the process alone")
{
    std::string body;
    RawServer server({"127.0.0.1", 0}, [&](const std::string &, int) {
        return RawServer::Reply{
            absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body),
            RawServer::Then::Close};
    });
    REQUIRE(server.isListening());
    FiberRuntime runtime;
    HttpClient client(runtime);
    const SystemClock clock;
    UpstreamSettings upstream;
    upstream.name = "u1";
    upstream.endpoint = server.address();
    runtime.post([&] {
        for (const char *kind : {"model-engine", "plain-service"}) {
            const std::unique_ptr<UpstreamAdapter> adapter =
                UpstreamAdapterRegistry::instance().make(kind, {&client, &clock});
            for (const char *odd : {"1e300", "-1e300", "99999999999", "18446744073709551615"}) {
                CAPTURE(kind, odd);
                body = absl::StrCat(R"({"running":3,"queued":)", odd, R"(,"ageMs":)", odd,
                                    R"(,"cacheEvents":[[)", odd, R"(,"a"]],"loading":)", odd, "}");
                client.closeIdle(upstream.endpoint);
                const auto polled = adapter->pollLoad(upstream);
                CHECK(polled.ok());
                CHECK((!polled.ok() || polled->report.running == 3));
                CHECK((!polled.ok() || polled->report.queued == 0));
            }
        }
        runtime.stop();
    });
    runtime.run();
}
