// Upstreams whose answers are cut, restarted or wrongly framed, at every byte. What callers see is
// judged on the socket: an answer framed as complete must be complete, and of one run.
#include "Cluster.h"

#include <RawServer.h>

#include <catch2/catch.hpp>

#include <atomic>

using namespace basilnotch;
using namespace basilnotch::testing;

namespace {

using Reply = RawServer::Reply;
using Then = RawServer::Then;
using ChatScript = std::function<Reply(const std::string &request, int number)>;

constexpr char kForeign[] = "TEXT-OF-THE-UPSTREAMS-ERROR";
constexpr char kEndMark[] = "data: [DONE]\n\n";
constexpr char kStreamHead[] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
constexpr char kLastChunk[] = "0\r\n\r\n";

std::string framed(const std::string &status, const std::string &type, const std::string &body)
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\nContent-Type: ", type,
                        "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

std::string chunked(const std::string &part)
{
    return absl::StrCat(absl::Hex(part.size()), "\r\n", part, "\r\n");
}

std::string event(const std::string &request, const std::string &text, bool last = false)
{
    return absl::StrCat(R"(data: {"id":")", rawField(request, "X-Request-Id"),
                        R"(","choices":[{"index":0,"delta":{"content":")", text,
                        R"("},"finish_reason":)", last ? R"("stop")" : "null", "}]}\n\n");
}

/// Loads are reported as an engine does; chat requests go to `chat`.
RawServer::Script engine(ChatScript chat)
{
    return [chat = std::move(chat)](const std::string &request, int number) -> Reply {
        if (request.find("/v1/chat/completions") != std::string::npos) {
            return chat(request, number);
        }
        const bool asksLoad = request.find("/v1/load") != std::string::npos;
        return {framed("200 OK", "application/json",
                       asksLoad ? R"({"running":0,"queued":0,"queuedPrefillTokens":0,)"
                                  R"("leaving":false,"loading":0,"ageMs":0,)"
                                  R"("loaded":["small@v1"],"cacheEvents":[]})"
                                : "{}"),
                Then::Keep};
    };
}

ClusterOptions oneEntry()
{
    ClusterOptions options;
    options.entries = 1;
    options.timing = R"("queueWaitMs": 3000)";
    return options;
}

/// Replaces processes of a cluster by servers with this script.
class Replaced
{
public:
    Replaced(Cluster &cluster, const std::vector<std::string> &names, const RawServer::Script &with)
    {
        for (const std::string &name : names) {
            if (cluster.isRunning(name)) {
                cluster.kill(name);
            }
            this->servers.push_back(std::make_unique<RawServer>(cluster.address(name), with));
            REQUIRE(this->servers.back()->isListening());
        }
    }

private:
    std::vector<std::unique_ptr<RawServer>> servers;
};

std::string keyField()
{
    return absl::StrCat("Authorization: Bearer ", Cluster::kKey, "\r\n");
}

RawAnswer rawChat(Cluster &cluster, const std::string &prompt, bool stream)
{
    return rawCall(cluster.entry(1), "POST", "/v1/chat/completions",
                   keyField() + "X-Task: answer\r\nContent-Type: application/json\r\n",
                   absl::StrCat(R"({"model":"small","max_tokens":8,"stream":)",
                                stream ? "true" : "false",
                                R"(,"messages":[{"role":"user","content":")", prompt, R"("}]})"));
}

RawAnswer rawConfirm(Cluster &cluster, const std::string &key)
{
    return rawCall(cluster.entry(1), "POST", "/orders/confirm",
                   keyField() + "Idempotency-Key: " + key + "\r\n", R"({"pallets":3})");
}

/// A claimed call that has reached its server: one that has cut an answer is left out for a while.
/// `key` gets the key of its last try; each has its own, as the one before is released later.
RawAnswer claimedCall(Cluster &cluster, std::string *key)
{
    RawAnswer answer;
    const std::string stem = *key;
    int tries = 0;
    cluster.eventually(seconds(8), [&] {
        *key = absl::StrCat(stem, "-", ++tries);
        answer = rawConfirm(cluster, *key);
        return !absl::StrContains(answer.body, R"("run":"not_run")");
    });
    return answer;
}

RawAnswer rawStock(Cluster &cluster)
{
    return rawCall(cluster.entry(1), "GET", "/stockroom/stock/fleece", keyField(), "");
}

int occurrences(const std::string &text, const std::string &part)
{
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

bool isOk(const RawAnswer &answer)
{
    return answer.status / 100 == 2;
}

} // namespace

// Guards against events of a run that broke off being sent before those of the next run.
TEST_CASE("a caller's stream holds the events of one run only", "[cut]")
{
    inFiber([](FiberRuntime &runtime) {
        const auto malformed = [](const std::string &request) {
            return event(request, "first ") + "data: {\"error\":{\"message\":\"" + kForeign
                + "\"}}\n\n";
        };
        const auto crossed = [](const std::string &request) {
            return event(request, "first ") + event("\r\nX-Request-Id: other\r\n", kForeign);
        };
        const auto withoutEndMark = [](const std::string &request) {
            return event(request, "first ") + event(request, "", true);
        };
        const auto finishedAtOnce = [](const std::string &request) {
            return event(request, "first ", true);
        };
        const std::vector<std::function<std::string(const std::string &)>> firstRuns{
            malformed, crossed, withoutEndMark, finishedAtOnce};
        for (const bool stream : {true, false}) {
            Cluster cluster(runtime, oneEntry()); // Each has retries for four requests.
            std::atomic<int> runs = 0;
            std::atomic<std::size_t> firstRun = 0;
            const Replaced engines(
                cluster, {"engine1", "engine2"},
                engine([&](const std::string &request, int) -> Reply {
                    if (++runs == 1) {
                        return {kStreamHead + chunked(firstRuns[firstRun](request)), Then::Close};
                    }
                    return {kStreamHead + chunked(event(request, "second "))
                                + chunked(event(request, "", true) + kEndMark) + kLastChunk,
                            Then::Keep};
                }));
            for (std::size_t run = 0; run < firstRuns.size(); ++run) {
                firstRun = run;
                runs = 0;
                const RawAnswer answer = rawChat(cluster, absl::StrCat("runs ", run), stream);
                INFO(answer.bytes);
                CHECK(runs == 2);
                CHECK(answer.status == 200);
                CHECK(answer.whole);
                CHECK(occurrences(answer.bytes, "first ") == 0);
                CHECK(occurrences(answer.bytes, "second ") == 1);
                CHECK(occurrences(answer.bytes, kForeign) == 0);
                CHECK(occurrences(answer.bytes, R"("finish_reason":"stop")") == 1);
            }
        }
    });
}

// Guards against two finish marks in a stream that is resumed after the first of them.
TEST_CASE("a stream that breaks off after its finish mark is resumed with one finish mark", "[cut]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, oneEntry());
        std::atomic<bool> withText = false;
        std::atomic<int> resumed = 0;
        const Replaced engines(
            cluster, {"engine1", "engine2"}, engine([&](const std::string &request, int) -> Reply {
                const std::string last = event(request, withText ? "two " : "", true);
                if (rawField(request, "X-Resume-From").empty()) {
                    return {kStreamHead + chunked(event(request, "one ")) + chunked(last),
                            Then::Close};
                }
                resumed += rawField(request, "X-Resume-From") == "1" ? 1 : 0;
                return {kStreamHead + chunked(last + kEndMark) + kLastChunk, Then::Keep};
            }));
        for (const bool text : {false, true}) {
            withText = text;
            const RawAnswer answer = rawChat(cluster, absl::StrCat("finished ", text), true);
            INFO(answer.bytes);
            CHECK(answer.whole);
            CHECK(occurrences(answer.body, "one ") == 1);
            CHECK(occurrences(answer.body, "two ") == (text ? 1 : 0));
            CHECK(occurrences(answer.body, R"("finish_reason":"stop")") == 1);
            CHECK(occurrences(answer.body, kEndMark) == 1);
        }
        CHECK(resumed == 2);
    });
}

// Guards against a stream without a finish mark, or without any event, that looks complete.
TEST_CASE("an end mark without a finish mark is no complete answer", "[cut]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, oneEntry());
        std::atomic<bool> empty = false;
        const Replaced engines(cluster, {"engine1", "engine2"},
                               engine([&](const std::string &request, int) -> Reply {
                                   std::string bytes = kStreamHead;
                                   if (!empty) {
                                       bytes += chunked(event(request, "one "));
                                   }
                                   return {bytes + chunked(kEndMark) + kLastChunk, Then::Keep};
                               }));
        for (const bool stream : {true, false}) {
            for (const bool withoutEvents : {true, false}) {
                empty = withoutEvents;
                const RawAnswer answer =
                    rawChat(cluster, absl::StrCat("early ", stream, withoutEvents), stream);
                INFO(answer.bytes);
                CHECK(answer.bytes.starts_with("HTTP/1.1 "));
                CHECK_FALSE((isOk(answer) && answer.whole));
                CHECK(occurrences(answer.body, kEndMark) == 0);
            }
        }
    });
}

// Guards against the text or the head of an upstream's error in the middle of a caller's stream,
// and against a stream that ends as if it were complete.
TEST_CASE("a stream whose resumption fails is cut visibly, without the upstream's answer", "[cut]")
{
    inFiber([](FiberRuntime &runtime) {
        const std::string error = absl::StrCat(R"({"error":")", kForeign, R"("})");
        const std::string events = absl::StrCat("data: ", error, "\n\n", kEndMark);
        const std::vector<std::string> replies{
            framed("500 Internal Server Error", "application/json", error),
            framed("503 Service Unavailable", "text/event-stream", events),
            framed("404 Not Found", "application/json", error),
            framed("400 Bad Request", "text/html", kForeign),
            framed("200 OK", "application/json", error),
            framed("200 OK", "text/html", std::string(kForeign) + "\n\n"),
            framed("200 OK", "text/event-stream", events),
            framed("200 OK", "text/event-stream", ""),
            kStreamHead + std::string(kLastChunk),
            kStreamHead + chunked(kEndMark) + kLastChunk,
            kStreamHead + chunked(framed("500 Error", "text/plain", kForeign)) + kLastChunk,
            "HTTP/1.1 103 Early Hints\r\n\r\n" + framed("500 Error", "text/plain", kForeign),
            "HTTP/1.1 200 OK\r\nContent-Le",
            "HTTP/1.1 200 OK\r\n\r\n" + error,
            std::string(kForeign) + "\r\n\r\n",
            ""};
        for (std::size_t first = 0; first < replies.size(); first += 2) {
            Cluster cluster(runtime, oneEntry()); // Each has retries for two requests.
            std::atomic<std::size_t> reply = first;
            std::atomic<int> resumed = 0;
            const Replaced engines(
                cluster, {"engine1", "engine2"},
                engine([&](const std::string &request, int) -> Reply {
                    if (rawField(request, "X-Resume-From").empty()) {
                        return {kStreamHead + chunked(event(request, "begun ")), Then::Close};
                    }
                    ++resumed;
                    return {replies[reply], Then::Close};
                }));
            for (const std::size_t number : {first, first + 1}) {
                reply = number;
                const int resumedBefore = resumed;
                const RawAnswer answer = rawChat(cluster, absl::StrCat("resumed ", number), true);
                INFO(number << ": " << answer.bytes);
                CHECK(resumed > resumedBefore);
                CHECK(answer.status == 200);
                CHECK_FALSE(answer.whole);
                CHECK(occurrences(answer.bytes, "begun ") == 1);
                CHECK(occurrences(answer.bytes, kForeign) == 0);
                CHECK(occurrences(answer.bytes, "HTTP/1.1 ") == 1);
                CHECK(occurrences(answer.bytes, kEndMark) == 0);
                CHECK(occurrences(answer.bytes, "event: error\n") == 1);
            }
        }
    });
}

// Guards against a 200 with an empty or short body for an answer that ended inside its head or
// body.
TEST_CASE("a service's answer that is cut is never a success, and a claimed call stays unknown",
          "[cut]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, oneEntry());
        const std::string answer = framed("200 OK", "application/json", R"({"ok":true})");
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n" + answer;
        const std::size_t head = answer.find("\r\n\r\n");
        const std::vector<std::string> cuts{answer.substr(0, 12),
                                            answer.substr(0, head),
                                            answer.substr(0, head + 3),
                                            answer.substr(0, head + 4),
                                            answer.substr(0, answer.size() - 1),
                                            interim.substr(0, 25),
                                            interim.substr(0, 25 + head)};
        std::atomic<std::size_t> cut = 0;
        const Replaced services(cluster, {"stock1", "stock2", "desk1"},
                                [&](const std::string &, int) -> Reply {
                                    return {cuts[cut], cut % 2 == 0 ? Then::Close : Then::Reset};
                                });
        for (std::size_t number = 0; number < cuts.size(); ++number) {
            cut = number;
            const RawAnswer read = rawStock(cluster);
            INFO(number << ": " << read.bytes);
            CHECK_FALSE(isOk(read));
            std::string key = absl::StrCat("cut-", number);
            const RawAnswer claimed = claimedCall(cluster, &key);
            INFO(claimed.bytes);
            CHECK(claimed.status == 502);
            CHECK(claimed.body.find(R"("run":"unknown")") != std::string::npos);
            CHECK(rawConfirm(cluster, key).status == 409);
        }
    });
}

// Guards against an answer without a length that is taken as whole when its connection has ended,
// and recorded under its Idempotency-Key.
TEST_CASE("an answer of a service without a length is never framed or recorded as whole", "[cut]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, oneEntry());
        const std::vector<std::string> bodies{"", R"({"ok":)", R"({"ok":true})"};
        std::atomic<std::size_t> body = 0;
        const Replaced services(cluster, {"stock1", "stock2", "desk1"},
                                [&](const std::string &, int) -> Reply {
                                    return {"HTTP/1.1 200 OK\r\n\r\n" + bodies[body], Then::Close};
                                });
        for (std::size_t number = 0; number < bodies.size(); ++number) {
            body = number;
            const RawAnswer read = rawStock(cluster);
            INFO(read.bytes);
            CHECK_FALSE((isOk(read) && read.whole));
            std::string key = absl::StrCat("open-", number);
            const RawAnswer claimed = claimedCall(cluster, &key);
            INFO(claimed.bytes);
            CHECK_FALSE((isOk(claimed) && claimed.whole));
            CHECK(claimed.body.find(R"("run":"unknown")") != std::string::npos);
            CHECK(rawConfirm(cluster, key).status == 409);
        }
    });
}

// Guards against a 200 for a chat answer that ended inside its head or its body.
TEST_CASE("a chat answer that is cut is never complete", "[cut]")
{
    inFiber([](FiberRuntime &runtime) {
        const std::string head = "HTTP/1.1 103 Early Hints\r\n\r\n" + std::string(kStreamHead);
        const std::vector<std::size_t> lengths{
            0, 20, 28, 40, head.size() - 1, head.size(), head.size() + 5, head.size() + 150};
        for (std::size_t first = 0; first < lengths.size(); first += 2) {
            Cluster cluster(runtime, oneEntry()); // Each has retries for two requests.
            std::atomic<std::size_t> length = 0;
            const Replaced engines(cluster, {"engine1", "engine2"},
                                   engine([&](const std::string &request, int) -> Reply {
                                       const std::string whole = head
                                           + chunked(event(request, "one "))
                                           + chunked(event(request, "", true) + kEndMark)
                                           + kLastChunk;
                                       return {whole.substr(0, length), Then::Close};
                                   }));
            for (const bool stream : {true, false}) {
                length = lengths[first + (stream ? 0 : 1)];
                const RawAnswer answer =
                    rawChat(cluster, absl::StrCat("cut ", length.load()), stream);
                INFO("after " << length << " bytes: " << answer.bytes);
                CHECK_FALSE((isOk(answer) && answer.whole));
                CHECK(occurrences(answer.bytes, "HTTP/1.1 ") == 1);
                CHECK(occurrences(answer.bytes, kEndMark) == 0);
                CHECK(occurrences(answer.bytes, "one ") <= 1);
            }
        }
    });
}
