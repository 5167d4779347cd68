// Heads that are none of an answer, at the client that reads the answers of upstreams, of the store
// and of other instances.
#include <RawServer.h>

#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace basilnotch;
using basilnotch::testing::RawServer;

namespace {

/// Calls a peer that answers with `bytes` and closes, and compares the outcome with `isAnswer`.
void checkAnswer(const std::string &bytes, bool isAnswer)
{
    INFO(bytes);
    RawServer server({"127.0.0.1", 0}, [&](const std::string &, int) {
        return RawServer::Reply{bytes, RawServer::Then::Close};
    });
    REQUIRE(server.isListening());
    FiberRuntime runtime;
    HttpClient client(runtime);
    runtime.post([&] {
        const CallOptions options{seconds(2)};
        const auto answer = client.call(server.address(), HttpRequest(), options);
        CHECK(answer.ok() == isAnswer);
        CHECK((isAnswer || sendProgress(answer.status()) == SendProgress::MaybeSent));
        runtime.stop();
    });
    runtime.run();
}

std::string withStatus(const std::string &status)
{
    return absl::StrCat("HTTP/1.1 ", status, " Text\r\nContent-Length: 4\r\n\r\nbody");
}

std::string withCoding(const std::string &fields)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\n", fields, "\r\n4\r\nbody\r\n0\r\n\r\n");
}

} // namespace

// Guards against a number that is no status and is taken for the status of an answer.
TEST_CASE("an answer has a status from 200 to 599")
{
    for (const char *status : {"000", "001", "099", "101", "600", "999"}) {
        checkAnswer(withStatus(status), false);
    }
    for (const char *status : {"200", "299", "404", "500", "599"}) {
        checkAnswer(withStatus(status), true);
    }
    checkAnswer("HTTP/1.1 103 Early Hints\r\n\r\n" + withStatus("000"), false);
}

// Guards against a body that is read in another framing than its sender's.
TEST_CASE("chunked is the only transfer coding of an answer")
{
    checkAnswer(withCoding("Transfer-Encoding: chunked\r\n"), true);
    checkAnswer(withCoding("Transfer-Encoding: Chunked \r\n"), true);
    for (const char *coding : {"xchunked", "gzip", "gzip, chunked", "chunked, identity", ""}) {
        const std::string field = absl::StrCat("Transfer-Encoding: ", coding, "\r\n");
        checkAnswer(withCoding(field), false);
        checkAnswer(withCoding(field + "Content-Length: 4\r\n"), false);
        checkAnswer(withCoding(field + "Transfer-Encoding: chunked\r\n"), false);
    }
}
