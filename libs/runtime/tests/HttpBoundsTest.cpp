// Callers outside the bounds, one kind at a time, and those inside them, served all the same.
#include <runtime/FiberEvent.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>
#include <runtime/HttpServer.h>

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace basilnotch;

namespace {

constexpr std::uint16_t kPort = 17941;
constexpr std::int64_t kSmallMachine = 120'000'000;
constexpr int kMegabyte = 1024 * 1024;

/// Echoes; "/large" answers as many bytes as its query "bytes" says, reserved before.
class EchoHandler final : public HttpHandler
{
public:
    void handle(HttpExchange &exchange) override
    {
        const HttpRequest &request = exchange.request();
        if (request.path() == "/large") {
            const std::size_t bytes = std::stoul(std::string(request.query("bytes")));
            this->reserved = exchange.answerMemory().tryGrowTo(static_cast<std::int64_t>(bytes));
            this->sent = exchange.respond({200, {}, std::string(bytes, 'a')}).ok();
            return;
        }
        this->headers = request.headers;
        (void)exchange.respond({200, {}, request.body});
    }
    HttpResponse malformed(int status, std::string_view text) override
    {
        return {status, {}, std::string(text)};
    }

    HttpHeaders headers; ///< Of the latest request.
    bool reserved = false;
    bool sent = true;
};

struct World
{
    FiberRuntime &runtime;
    HttpClient &client;
    HttpServer &server;
    EchoHandler &handler;
    MemoryAccount &account;
    Endpoint endpoint;
};

void withServer(std::uint16_t port, std::int64_t memoryBytes, int maxConnections,
                const std::function<void(World &)> &test)
{
    std::thread([&] {
        MemoryAccount account(memoryBudget(memoryBytes));
        FiberRuntime runtime;
        EchoHandler handler;
        HttpServerOptions options;
        options.listen = {"127.0.0.1", port};
        options.bounds.bodyBytes = 4 * kMegabyte;
        options.maxConnections = maxConnections;
        options.memory = &account;
        HttpServer server(runtime, options, handler);
        REQUIRE(server.start().ok());
        runtime.post([&] {
            HttpClient client(runtime);
            World world{runtime, client, server, handler, account, options.listen};
            test(world);
            server.stopAccepting();
            runtime.sleepFor(milliseconds(50));
            runtime.stop();
        });
        runtime.run();
    }).join();
}

/// A blocking connection, used on threads beside the fibers.
class RawCaller
{
public:
    explicit RawCaller(const Endpoint &peer)
        : handle(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(peer.port);
        inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr);
        REQUIRE(::connect(this->handle, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                == 0);
    }
    ~RawCaller() { ::close(this->handle); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    /// Whether all of `bytes` went out.
    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(this->handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    /// What comes before the connection ends.
    std::string readAll() const
    {
        std::string all;
        std::array<char, 4096> part; // NOLINT(cppcoreguidelines-pro-type-member-init)
        ssize_t got = 0;
        while ((got = ::recv(this->handle, part.data(), part.size(), 0)) > 0) {
            all.append(part.data(), static_cast<std::size_t>(got));
        }
        return all;
    }

private:
    const int handle;
};

/// Runs `work` on a thread while the fibers go on.
void beside(const std::function<void()> &work)
{
    FiberEvent done;
    std::thread thread([&] {
        work();
        done.set();
    });
    while (!done.waitFor(seconds(1))) { }
    thread.join();
}

std::string chunk(std::size_t bytes)
{
    std::array<char, 20> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
    return size.data() + std::string(bytes, 'x') + "\r\n";
}

const std::string kChunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a request at the limits is served on the smallest machine")
{
    withServer(kPort, kSmallMachine, 100, [](World &world) {
        HttpRequest request{"POST", "/", {}, std::string(4 * kMegabyte, 'x')};
        constexpr std::size_t kHeaderBytes = 16 * 1024 - 200; // Beside the others.
        request.headers.add("X-Long", std::string(kHeaderBytes, 'h'));
        for (int number = 0; number < 3; ++number) {
            const auto answer = world.client.call(world.endpoint, request, {});
            REQUIRE(answer.ok());
            CHECK(answer->status == 200);
            CHECK(answer->body.size() == request.body.size());
        }
        CHECK(world.handler.headers.find("X-Long").size() == kHeaderBytes);
        std::string answer;
        beside([&] { // The same in chunks of one byte and of more, with a trailer.
            const RawCaller caller(world.endpoint);
            std::string body;
            for (int count = 0; count < 1000; ++count) {
                body += chunk(1);
            }
            body += chunk(4 * kMegabyte - 1000) + "0\r\nX-Trailer: t\r\n\r\n";
            REQUIRE(caller.send(kChunked + body));
            REQUIRE(caller.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
            answer = caller.readAll();
        });
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.find("Content-Length: 4194304") != std::string::npos);
        CHECK(answer.find("HTTP/1.1 200", 1) != std::string::npos);
        CHECK(world.account.held(MemoryPurpose::Requests) == 0);
        CHECK(world.server.stats().refusedBodies == 0);
    });
}

TEST_CASE("a trailer is no header of its request")
{
    withServer(kPort + 1, kSmallMachine, 100, [](World &world) {
        beside([&] {
            const RawCaller caller(world.endpoint);
            REQUIRE(caller.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                                "Connection: close\r\n\r\n1\r\nx\r\n0\r\nX-Late: t\r\n\r\n"));
            CHECK(caller.readAll().starts_with("HTTP/1.1 200"));
        });
        CHECK(world.handler.headers.find("X-Late").empty());
    });
}

TEST_CASE("a body over the limit gets its answer although its caller still sends")
{
    withServer(kPort + 2, kSmallMachine, 100, [](World &world) {
        for (const std::string start :
             {std::string("POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n"), kChunked}) {
            std::string answer;
            beside([&] {
                const RawCaller caller(world.endpoint);
                REQUIRE(caller.send(start));
                for (int part = 0; part < 100 && caller.send(chunk(64 * 1024)); ++part) { }
                answer = caller.readAll();
            });
            CHECK(answer.starts_with("HTTP/1.1 413"));
        }
        CHECK(world.account.held(MemoryPurpose::Requests) == 0);
    });
}

TEST_CASE("trailers, chunk extensions and lines without end are refused")
{
    withServer(kPort + 3, kSmallMachine, 100, [](World &world) {
        for (const std::string start : {"0\r\nX: ", "1;extension=", "00000000"}) {
            std::string answer;
            beside([&] {
                const RawCaller caller(world.endpoint);
                REQUIRE(caller.send(kChunked + start));
                for (int part = 0; part < 50 && caller.send(std::string(4096, 't')); ++part) { }
                answer = caller.readAll();
            });
            INFO(start);
            CHECK(answer.starts_with("HTTP/1.1 4"));
        }
    });
}

TEST_CASE("bodies that stand still yield their memory, and are told that they have not run")
{
    constexpr std::int64_t kTiny = 40'000'000; // Eight million bytes for bodies.
    withServer(kPort + 4, kTiny, 100, [](World &world) {
        std::vector<std::unique_ptr<RawCaller>> standing;
        beside([&] {
            for (int number = 0; number < 3; ++number) {
                standing.push_back(std::make_unique<RawCaller>(world.endpoint));
                REQUIRE(standing.back()->send(kChunked + chunk(2 * kMegabyte)));
            }
        });
        while (world.account.held(MemoryPurpose::Requests) < 6 * kMegabyte) {
            world.runtime.sleepFor(milliseconds(10)); // Until they have been read.
        }
        const HttpRequest request{"POST", "/", {}, std::string(4 * kMegabyte, 'x')};
        const auto answer = world.client.call(world.endpoint, request, {});
        REQUIRE(answer.ok());
        CHECK(answer->status == 200);
        CHECK(world.server.stats().yieldedBodies >= 1);
        std::string told;
        beside([&] { told = standing.front()->readAll(); });
        CHECK(told.starts_with("HTTP/1.1 503"));
    });
}

TEST_CASE("a new connection takes the place of the one that has been slowest")
{
    static constexpr int kMaxConnections = 5;
    withServer(kPort + 5, kSmallMachine, kMaxConnections, [](World &world) {
        std::vector<std::unique_ptr<RawCaller>> slow;
        beside([&] {
            for (int number = 0; number < kMaxConnections; ++number) {
                slow.push_back(std::make_unique<RawCaller>(world.endpoint));
                REQUIRE(slow.back()->send("GET / HTTP/1.1\r\nX"));
            }
        });
        for (int number = 0; number < 2 * kMaxConnections; ++number) {
            CallOptions options;
            options.freshConnection = true;
            CHECK(world.client.call(world.endpoint, HttpRequest(), options).ok());
        }
        CHECK(world.server.stats().yieldedConnections >= kMaxConnections);
        CHECK(world.server.stats().openConnections <= kMaxConnections + 1);
        std::string told;
        beside([&] { told = slow.front()->readAll(); });
        CHECK(told.empty());
    });
}

TEST_CASE("a caller that does not read gives up its answer to others")
{
    constexpr std::int64_t kTiny = 40'000'000; // Eight million bytes for answers.
    withServer(kPort + 6, kTiny, 100, [](World &world) {
        const std::string large = "GET /large?bytes=7900000 HTTP/1.1\r\nHost: a\r\n\r\n";
        std::unique_ptr<RawCaller> silent;
        beside([&] {
            silent = std::make_unique<RawCaller>(world.endpoint);
            REQUIRE(silent->send(large));
        });
        world.runtime.sleepFor(milliseconds(100));
        REQUIRE(world.handler.reserved);
        MemoryReservation other(&world.account, MemoryPurpose::Answers);
        int polls = 0;
        while (!other.tryGrowTo(4 * kMegabyte) && polls++ < 1000) {
            other.askHolders();
            world.runtime.sleepFor(milliseconds(10));
        }
        CHECK(other.bytes() == 4 * kMegabyte);
        CHECK_FALSE(world.handler.sent);
    });
}

TEST_CASE("an answer is read only while there is memory for it")
{
    constexpr std::int64_t kTiny = 40'000'000; // Eight million bytes for answers.
    withServer(kPort + 7, kTiny, 100, [](World &world) {
        MemoryAccount account(memoryBudget(kTiny));
        MemoryReservation taken(&account, MemoryPurpose::Answers);
        REQUIRE(taken.tryGrowTo(6 * kMegabyte));
        HttpRequest request;
        request.target = "/large?bytes=3000000";
        const auto fetch = [&](Duration timeout) {
            MemoryReservation own(&account, MemoryPurpose::Answers);
            const auto stream = world.client.open(world.endpoint, request, {});
            REQUIRE(stream.ok());
            const auto body = (*stream)->readAll(timeout, 4 * kMegabyte, &own);
            return body.ok() ? body->size() : 0;
        };
        CHECK(fetch(milliseconds(200)) == 0);
        world.runtime.spawn([&] {
            world.runtime.sleepFor(milliseconds(200));
            taken.release();
        });
        CHECK(fetch(seconds(20)) == 3'000'000);
        CHECK(account.held(MemoryPurpose::Answers) == 0);
    });
}

TEST_CASE("a body that is given apart from its request is sent in its place")
{
    withServer(kPort + 8, kSmallMachine, 100, [](World &world) {
        const std::string body(kMegabyte, 'b');
        CallOptions options;
        options.body = body;
        const auto answer = world.client.call(world.endpoint, {"POST", "/", {}, ""}, options);
        REQUIRE(answer.ok());
        CHECK(answer->body == body);
    });
}
