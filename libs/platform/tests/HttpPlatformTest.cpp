// Answers of the platform that are cut or malformed, read by the HTTP client of its services.
#include <InFiber.h>
#include <RawServer.h>

#include <platform/HttpPlatform.h>
#include <runtime/HttpClient.h>

#include <catch2/catch.hpp>

using namespace basilnotch;
using namespace basilnotch::testing;

namespace {

std::string answerOf(const std::string &body)
{
    // The server closes after each answer; the next call must not use the connection.
    return absl::StrCat("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ", body.size(),
                        "\r\n\r\n", body);
}

/// Runs `test` with a platform that answers each call with `bytes`.
void withPlatform(const std::function<void(Platform &platform, std::string &bytes)> &test)
{
    std::string bytes;
    const RawServer server({"127.0.0.1", 0}, [&](const std::string &, int) -> RawServer::Reply {
        return {bytes, RawServer::Then::Close};
    });
    REQUIRE(server.isListening());
    inFiber([&](FiberRuntime &runtime) {
        HttpClient client(runtime);
        PlatformSettings settings;
        settings.endpoint = server.address();
        const auto platform = makeHttpPlatform(client, settings);
        test(*platform, bytes);
    });
}

} // namespace

// Guards against rows that are missing because an answer was cut.
TEST_CASE("an answer of the platform that ends after any of its bytes is an error")
{
    withPlatform([](Platform &platform, std::string &bytes) {
        const std::string rows = R"({"rows":[{"key":"a","value":"x","version":1},)"
                                 R"({"key":"b","value":"y","version":2}]})";
        const std::string instances = R"({"instances":[{"name":"entry1"},{"name":"entry2"}]})";
        for (const std::string &head : {std::string(), std::string("HTTP/1.1 200 OK\r\n\r\n")}) {
            const std::string table = head.empty() ? answerOf(rows) : head + rows;
            for (std::size_t length = 0; length <= table.size(); ++length) {
                bytes = table.substr(0, length);
                const auto read = platform.table().list("", "", 10);
                CHECK(read.ok() == (length == table.size()));
            }
            const std::string list = head.empty() ? answerOf(instances) : head + instances;
            for (std::size_t length = 0; length <= list.size(); ++length) {
                bytes = list.substr(0, length);
                const auto read = platform.instanceList().instances();
                CHECK(read.ok() == (length == list.size()));
            }
        }
    });
}

// Guards against a malformed answer that is taken as a shorter list or as a row that is not there.
TEST_CASE("a malformed answer of the platform is an error, never a missing row")
{
    withPlatform([](Platform &platform, std::string &bytes) {
        for (const char *rows :
             {R"({})", R"({"rows":null})", R"({"rows":[{"key":"a","value":"x","version":1},null]})",
              R"({"rows":[{"value":"x","version":1}]})", R"({"rows":[{"key":"a","value":"x"}]})"}) {
            bytes = answerOf(rows);
            INFO(rows);
            CHECK(absl::IsInternal(platform.table().list("", "", 10).status()));
        }
        for (const char *row : {R"({"error":"busy"})", R"({"key":"a","value":"x"})",
                                R"({"key":"a","value":"x","version":"1"})"}) {
            bytes = answerOf(row);
            INFO(row);
            CHECK(absl::IsInternal(platform.table().read("a").status()));
        }
        bytes = answerOf("{}");
        CHECK(absl::IsNotFound(platform.table().read("a").status()));
        bytes = answerOf(R"({"key":"a","value":"x","version":3})");
        REQUIRE(platform.table().read("a").ok());
        CHECK(platform.table().read("a")->version == 3);
    });
}
