// The HTTP parts over real sockets on loopback: bad input, slow callers, callers that leave.
#include <runtime/FiberEvent.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>
#include <runtime/HttpServer.h>
#include <runtime/PeerLink.h>

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace basilnotch;

namespace {

/// Answers by path; notices callers that leave.
class TestHandler final : public HttpHandler
{
public:
    explicit TestHandler(FiberRuntime &runtime)
        : runtime(runtime)
    { }

    void handle(HttpExchange &exchange) override
    {
        ++this->handledCount;
        const std::string_view path = exchange.request().path();
        if (path == "/wait") {
            FiberEvent left;
            exchange.onCallerGone([left] { left.set(); });
            this->sawLeaving = left.waitFor(seconds(5));
            return;
        }
        if (path == "/stream") {
            (void)exchange.beginStream(200, {{"Content-Type", "text/plain"}});
            for (int part = 0; part < 5; ++part) {
                (void)exchange.writeChunk("part ");
                this->runtime.sleepFor(milliseconds(1));
            }
            (void)exchange.endStream();
            return;
        }
        if (path == "/cut") {
            exchange.onCallerGone([] {});
            (void)exchange.beginStream(200, {});
            (void)exchange.writeChunk("part ");
            exchange.abortStream();
            return;
        }
        (void)exchange.respond({200, {}, exchange.request().body});
    }

    HttpResponse malformed(int status, std::string_view text) override
    {
        return {status, {}, std::string(text)};
    }

    void abandoned(const HttpRequest &) override { ++this->abandonedCount; }

    bool sawLeaving = false;
    int handledCount = 0;
    int abandonedCount = 0;

private:
    FiberRuntime &runtime;
};

constexpr std::uint16_t kPort = 17901;

/// Runs `test` in a fiber beside a server with small bounds.
void withServer(std::uint16_t port,
                const std::function<void(FiberRuntime &, HttpClient &, TestHandler &)> &test)
{
    std::thread([&] {
        FiberRuntime runtime;
        TestHandler handler(runtime);
        HttpServerOptions options;
        options.listen = {"127.0.0.1", port};
        options.bounds.headerBytes = 1024;
        options.bounds.bodyBytes = 1000;
        options.bounds.readTimeout = milliseconds(300);
        HttpServer server(runtime, options, handler);
        REQUIRE(server.start().ok());
        runtime.post([&] {
            HttpClient client(runtime);
            test(runtime, client, handler);
            server.stopAccepting();
            runtime.sleepFor(milliseconds(50));
            runtime.stop();
        });
        runtime.run();
    }).join();
}

/// A blocking socket that is connected to the server.
int connectTo(std::uint16_t port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(::connect(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    return handle;
}

void sendAndClose(std::uint16_t port, const std::string &bytes)
{
    const int handle = connectTo(port);
    REQUIRE(::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    ::close(handle);
}

/// Sends raw bytes and returns what comes back before the connection closes.
std::string rawExchange(std::uint16_t port, const std::string &bytes)
{
    const int socketNumber = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    std::string answer;
    if (::connect(socketNumber, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0) {
        (void)::send(socketNumber, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        char buffer[4096];
        ssize_t got = 0;
        while ((got = ::recv(socketNumber, buffer, sizeof(buffer), 0)) > 0) {
            answer.append(buffer, static_cast<std::size_t>(got));
        }
    }
    ::close(socketNumber);
    return answer;
}

/// Runs a raw exchange on a thread of its own while the fibers go on.
std::string rawFromFiber(FiberRuntime &runtime, std::uint16_t port, const std::string &bytes)
{
    FiberEvent done;
    std::string answer;
    std::thread thread([&] {
        answer = rawExchange(port, bytes);
        done.set();
    });
    while (!done.waitFor(seconds(1))) { }
    thread.join();
    (void)runtime;
    return answer;
}

} // namespace

TEST_CASE("bodies go there and back, and connections are kept")
{
    withServer(kPort, [](FiberRuntime &, HttpClient &client, TestHandler &) {
        for (int number = 0; number < 3; ++number) {
            const auto response =
                client.call({"127.0.0.1", kPort}, {"POST", "/echo", {}, "body"}, {});
            REQUIRE(response.ok());
            CHECK(response->body == "body");
        }
        const auto streamed = client.call({"127.0.0.1", kPort}, {"GET", "/stream", {}, ""}, {});
        REQUIRE(streamed.ok());
        CHECK(streamed->body == "part part part part part ");
    });
}

TEST_CASE("a stream that is cut is an error, never a quiet end")
{
    withServer(kPort + 1, [](FiberRuntime &, HttpClient &client, TestHandler &) {
        const auto response = client.call({"127.0.0.1", kPort + 1}, {"GET", "/cut", {}, ""}, {});
        CHECK_FALSE(response.ok());
        CHECK(sendProgress(response.status()) == SendProgress::MaybeSent);
        CHECK_FALSE(failureSite(response.status()).step.empty());
        // The server lives on: a watched connection that its handler closed once took it down.
        CHECK(client.call({"127.0.0.1", kPort + 1}, {"GET", "/", {}, ""}, {}).ok());
    });
}

TEST_CASE("nothing was sent to a peer that can't be reached")
{
    withServer(kPort + 2, [](FiberRuntime &, HttpClient &client, TestHandler &) {
        const auto response = client.call({"127.0.0.1", 1}, {"GET", "/", {}, ""}, {});
        REQUIRE_FALSE(response.ok());
        CHECK(sendProgress(response.status()) == SendProgress::NothingSent);
        CHECK(failureSite(response.status()).step == "connect");
    });
}

TEST_CASE("bad input gets a typed status within the bounds")
{
    withServer(kPort + 3, [](FiberRuntime &runtime, HttpClient &client, TestHandler &) {
        const auto port = static_cast<std::uint16_t>(kPort + 3);
        CHECK(rawFromFiber(runtime, port, "NOT HTTP AT ALL\r\n\r\n").starts_with("HTTP/1.1 400"));
        CHECK(rawFromFiber(runtime, port,
                           "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n")
                  .starts_with("HTTP/1.1 431"));
        CHECK(rawFromFiber(runtime, port, "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n")
                  .starts_with("HTTP/1.1 413"));
        CHECK(rawFromFiber(runtime, port, "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nslow")
                  .empty());
        CHECK(client.call({"127.0.0.1", port}, {"GET", "/", {}, ""}, {}).ok());
    });
}

TEST_CASE("a caller that leaves is noticed while its request runs")
{
    withServer(kPort + 4, [](FiberRuntime &runtime, HttpClient &client, TestHandler &handler) {
        CallCanceller canceller;
        FiberEvent ended;
        runtime.spawn([&] {
            (void)client.open({"127.0.0.1", kPort + 4}, {"GET", "/wait", {}, ""}, {}, &canceller);
            ended.set();
        });
        runtime.sleepFor(milliseconds(50));
        canceller.cancel();
        CHECK(ended.waitFor(seconds(1)));
        runtime.sleepFor(milliseconds(100));
        CHECK(handler.sawLeaving);
    });
}

TEST_CASE("peers ask and answer, and a silent peer is a timeout")
{
    std::thread([] {
        FiberRuntime runtime;
        PeerServer server(runtime, {"127.0.0.1", kPort + 5},
                          [](std::string text) { return text + "!"; });
        REQUIRE(server.start().ok());
        runtime.post([&] {
            PeerClient client(runtime);
            const auto reply = client.call({"127.0.0.1", kPort + 5}, "hello", seconds(2));
            REQUIRE(reply.ok());
            CHECK(*reply == "hello!");
            CHECK_FALSE(client.call({"127.0.0.1", 2}, "hello", milliseconds(200)).ok());
            runtime.stop();
        });
        runtime.run();
    }).join();
}

namespace {

/// A peer written by hand: accepts one connection and answers each request with the next text.
class ScriptedPeer
{
public:
    ScriptedPeer(std::uint16_t port, std::vector<std::string> answers)
        : answers(std::move(answers))
        , listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int yes = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        REQUIRE(::bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                == 0);
        REQUIRE(::listen(this->listener, 4) == 0);
        this->thread = std::thread([this] { this->serve(); });
    }
    ~ScriptedPeer()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        this->thread.join();
    }
    ScriptedPeer(const ScriptedPeer &) = delete;
    ScriptedPeer &operator=(const ScriptedPeer &) = delete;

private:
    void serve()
    {
        std::size_t next = 0;
        while (next < this->answers.size()) {
            const int caller = ::accept(this->listener, nullptr, nullptr);
            if (caller < 0) {
                return;
            }
            char buffer[4096];
            while (next < this->answers.size() && ::recv(caller, buffer, sizeof(buffer), 0) > 0) {
                const std::string &text = this->answers[next++];
                (void)::send(caller, text.data(), text.size(), MSG_NOSIGNAL);
            }
            ::close(caller);
        }
    }

    const std::vector<std::string> answers;
    const int listener;
    std::thread thread;
};

std::string scripted(const std::string &id, const std::string &body, const std::string &more = "")
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Bodies that requests with these ids got, one after the other; "error" where there was none.
std::vector<std::string> bodiesFor(std::uint16_t port, const std::vector<std::string> &ids,
                                   HttpClientOptions clientOptions = {})
{
    std::vector<std::string> bodies;
    std::thread([&] {
        FiberRuntime runtime;
        runtime.post([&] {
            HttpClient client(runtime, clientOptions);
            for (const std::string &id : ids) {
                CallOptions options;
                options.timeout = milliseconds(500);
                options.correlation = Correlation{"Id", id};
                const auto answer = client.call({"127.0.0.1", port}, HttpRequest(), options);
                bodies.push_back(answer.ok() ? answer->body : "error");
                runtime.sleepFor(milliseconds(30));
            }
            runtime.stop();
        });
        runtime.run();
    }).join();
    return bodies;
}

} // namespace

TEST_CASE("an answer of an earlier request is skipped, also when it comes where ours is expected")
{
    const std::uint16_t port = kPort + 40;
    ScriptedPeer peer(port,
                      {scripted("1", "one"), scripted("1", "one again") + scripted("2", "two")});
    CHECK(bodiesFor(port, {"1", "2"}) == std::vector<std::string>{"one", "two"});
}

TEST_CASE("a second answer that has already come spoils the connection, not the next request")
{
    const std::uint16_t port = kPort + 41;
    ScriptedPeer peer(port, {scripted("1", "one") + scripted("1", "extra"), scripted("2", "two")});
    CHECK(bodiesFor(port, {"1", "2"}) == std::vector<std::string>{"one", "two"});
}

TEST_CASE("a success without the id is not taken on a connection that has been used before")
{
    const std::uint16_t port = kPort + 42;
    const std::string nameless = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
    ScriptedPeer peer(port, {scripted("1", "one"), nameless});
    CHECK(bodiesFor(port, {"1", "2"}) == std::vector<std::string>{"one", "error"});
}

TEST_CASE("a peer that states its idle timeout is not sent anything shortly before it")
{
    const std::uint16_t port = kPort + 43;
    // A connection of one second is left half a second early; the next request comes on another
    // one.
    ScriptedPeer peer(port,
                      {scripted("1", "one", "Keep-Alive: timeout=0\r\n"),
                       scripted("2", "two", "Keep-Alive: timeout=0\r\n")});
    CHECK(bodiesFor(port, {"1", "2"}) == std::vector<std::string>{"one", "two"});
}

TEST_CASE("an answer without a length that ends by a reset is not whole")
{
    const std::uint16_t port = kPort + 44;
    ScriptedPeer peer(port, {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf"});
    CHECK(bodiesFor(port, {"1"}) == std::vector<std::string>{"error"});
}

TEST_CASE("smuggled and malformed requests are refused, never guessed at")
{
    const auto port = static_cast<std::uint16_t>(kPort + 45);
    withServer(port, [&](FiberRuntime &runtime, HttpClient &, TestHandler &) {
        for (const std::string &head :
             {std::string("Content-Length: 4\r\nContent-Length: 5\r\n"),
              std::string("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
              std::string("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
              std::string("Transfer-Encoding: xchunked\r\n"),
              std::string("Transfer-Encoding: chunked, identity\r\n"),
              std::string("Transfer-Encoding: gzip, chunked\r\n"),
              std::string("Transfer-Encoding: xchunked\r\nContent-Length: 4\r\n"),
              std::string("Content-Length: -1\r\n"), std::string("Content-Length: 4x\r\n"),
              std::string("Bad Header : x\r\n"), std::string("X\x01Y: z\r\n")}) {
            INFO(head);
            const std::string answer = rawFromFiber(runtime, port,
                                                    "POST /x HTTP/1.1\r\nHost: a\r\n" + head
                                                        + "\r\nGET /smuggled HTTP/1.1\r\n\r\n");
            CHECK(answer.starts_with("HTTP/1.1 400"));
            CHECK(answer.find("HTTP/1.1", 5) == std::string::npos); // One answer, no second one.
        }
    });
}

// Guards against work for callers that closed their connection before their request was read.
TEST_CASE("a request whose caller has left already is not handled")
{
    withServer(kPort + 20, [](FiberRuntime &runtime, HttpClient &client, TestHandler &handler) {
        // The server shares this thread, so that it reads the request after the close.
        sendAndClose(kPort + 20, "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n");
        sendAndClose(kPort + 20, "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n\r\n");
        runtime.sleepFor(milliseconds(50));
        CHECK(handler.handledCount == 0);
        CHECK(handler.abandonedCount == 2);
        REQUIRE(client.call({"127.0.0.1", kPort + 20}, {"GET", "/echo", {}, ""}, {}).ok());
        CHECK(handler.handledCount == 1);
    });
}

// Guards against callers whose close goes unnoticed because they sent more than their request.
TEST_CASE("a caller that leaves behind unread bytes is noticed")
{
    withServer(kPort + 21, [](FiberRuntime &runtime, HttpClient &, TestHandler &handler) {
        const int handle = connectTo(kPort + 21);
        const std::string bytes = "GET /wait HTTP/1.1\r\nHost: a\r\n\r\nGET /next";
        REQUIRE(::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
        runtime.sleepFor(milliseconds(50));
        REQUIRE(::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
        runtime.sleepFor(milliseconds(50));
        ::close(handle);
        runtime.sleepFor(milliseconds(300));
        CHECK(handler.sawLeaving);
    });
}

// Guards against requests that are written although their caller left while the connection was
// made.
TEST_CASE("a call that is no longer wanted is not written")
{
    withServer(kPort + 22, [](FiberRuntime &, HttpClient &client, TestHandler &handler) {
        CallOptions options;
        options.isStillWanted = [] { return false; };
        const auto answer =
            client.open({"127.0.0.1", kPort + 22}, {"GET", "/echo", {}, ""}, options);
        REQUIRE_FALSE(answer.ok());
        CHECK(sendProgress(answer.status()) == SendProgress::NothingSent);
        CHECK(handler.handledCount == 0);
    });
}
