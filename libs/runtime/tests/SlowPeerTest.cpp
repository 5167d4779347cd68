// Peers that read slowly, that read nothing and that are unreachable without a reset, over real
// sockets on loopback.
#include <runtime/FiberEvent.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>
#include <runtime/HttpServer.h>

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace basilnotch;

namespace {

constexpr std::uint16_t kPort = 17971;
constexpr int kSmallWindow = 8192;
/// An answer for small windows, which the sender's kernel takes whole.
constexpr std::size_t kSmallAnswer = 30'000;
/// An answer that the sender's kernel does not take whole.
constexpr std::size_t kLargeAnswer = 8'000'000;
/// Longer than the time after which unreachable peers are noticed.
constexpr Duration kLongPause = seconds(4);
/// Within which an unreachable peer is noticed.
constexpr Duration kNoticed = seconds(6);

/// A blocking socket, used on threads beside the fibers.
class RawSocket
{
public:
    explicit RawSocket(int handle)
        : handle(handle)
    { }
    RawSocket(const Endpoint &peer, int receiveBytes)
        : handle(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (receiveBytes > 0) {
            ::setsockopt(this->handle, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(peer.port);
        inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr);
        REQUIRE(::connect(this->handle, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                == 0);
    }
    ~RawSocket() { ::close(this->handle); }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    bool send(std::string_view bytes) const
    {
        return ::send(this->handle, bytes.data(), bytes.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(bytes.size());
    }
    /// Reads up to `most` bytes; their number is smaller only at the end of the connection.
    std::size_t read(std::size_t most) const
    {
        std::size_t got = 0;
        std::vector<char> part(std::min<std::size_t>(most, 65536));
        while (got < most) {
            const ssize_t count =
                ::recv(this->handle, part.data(), std::min(part.size(), most - got), 0);
            if (count <= 0) {
                break;
            }
            got += static_cast<std::size_t>(count);
        }
        return got;
    }
    /// From now on the kernel drops what arrives, as if the machine had lost its network.
    void disappear() const
    {
        sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
        const sock_fprog program{1, &dropAll};
        REQUIRE(::setsockopt(this->handle, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program))
                == 0);
    }

private:
    const int handle;
};

std::string get(std::string_view path, std::size_t bytes)
{
    return "GET " + std::string(path) + "?bytes=" + std::to_string(bytes)
        + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// Answers "/answer?bytes=N"; "/wait" answers nothing until its caller has left.
class SizedHandler final : public HttpHandler
{
public:
    void handle(HttpExchange &exchange) override
    {
        const HttpRequest &request = exchange.request();
        if (request.path() == "/wait") {
            FiberEvent left;
            exchange.onCallerGone([left] { left.set(); });
            this->sawLeaving = left.waitFor(seconds(20));
            this->ended.set();
            return;
        }
        const std::size_t bytes = std::stoul(std::string(request.query("bytes")));
        (void)exchange.answerMemory().tryGrowTo(static_cast<std::int64_t>(bytes));
        this->result = exchange.respond({200, {}, std::string(bytes, 'a')});
        this->ended.set();
    }
    HttpResponse malformed(int status, std::string_view text) override
    {
        return {status, {}, std::string(text)};
    }

    absl::Status result;
    bool sawLeaving = false;
    FiberEvent ended; ///< Of the latest request.
};

struct SlowWorld
{
    FiberRuntime &runtime;
    HttpServer &server;
    SizedHandler &handler;
    MemoryAccount &account;
    Endpoint endpoint;
};

void withServer(int number, Duration writeTimeout, const std::function<void(SlowWorld &)> &test)
{
    constexpr std::int64_t kMemory = 80'000'000;  // Sixteen million bytes for answers.
    MemoryAccount account(memoryBudget(kMemory)); // Outlives the thread's last fiber.
    std::thread([&] {
        FiberRuntime runtime;
        SizedHandler handler;
        HttpServerOptions options;
        options.listen = {"127.0.0.1", static_cast<std::uint16_t>(kPort + number)};
        options.writeTimeout = writeTimeout;
        options.memory = &account;
        HttpServer server(runtime, options, handler);
        REQUIRE(server.start().ok());
        runtime.post([&] {
            SlowWorld world{runtime, server, handler, account, options.listen};
            test(world);
            server.stopAccepting();
            runtime.sleepFor(milliseconds(50));
            runtime.stop();
        });
        runtime.run();
    }).join();
}

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

/// An upstream with one connection, on a thread of its own.
class RawUpstream
{
public:
    RawUpstream(int number, int receiveBytes, std::function<void(RawSocket &)> serve)
        : endpoint{"127.0.0.1", static_cast<std::uint16_t>(kPort + number)}
        , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        ::setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(this->endpoint.port);
        inet_pton(AF_INET, this->endpoint.address.c_str(), &address.sin_addr);
        REQUIRE(::bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                == 0);
        REQUIRE(::listen(this->listener, 4) == 0);
        this->thread = std::thread([this, serve = std::move(serve)] {
            RawSocket connection(::accept(this->listener, nullptr, nullptr));
            serve(connection);
        });
    }
    ~RawUpstream()
    {
        this->thread.join();
        ::close(this->listener);
    }
    RawUpstream(const RawUpstream &) = delete;
    RawUpstream &operator=(const RawUpstream &) = delete;

    const Endpoint endpoint;

private:
    const int listener;
    std::thread thread;
};

void inRuntime(const std::function<void(FiberRuntime &)> &test)
{
    std::thread([&] {
        FiberRuntime runtime;
        runtime.post([&] {
            test(runtime);
            runtime.stop();
        });
        runtime.run();
    }).join();
}

void sleepOnThread(Duration duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace

// Guards against answers that are reset while their callers read them slowly.
TEST_CASE("a caller that pauses for seconds gets the whole of its answer")
{
    withServer(0, seconds(20), [](SlowWorld &world) {
        std::size_t gotSmall = 0;
        std::size_t gotLarge = 0;
        beside([&] {
            const RawSocket small(world.endpoint, kSmallWindow);
            const RawSocket large(world.endpoint, 0);
            REQUIRE(small.send(get("/answer", kSmallAnswer)));
            REQUIRE(large.send(get("/answer", kLargeAnswer)));
            gotSmall = small.read(1000);
            gotLarge = large.read(1000);
            sleepOnThread(kLongPause);
            gotSmall += small.read(kSmallAnswer - gotSmall);
            gotLarge += large.read(kLargeAnswer - gotLarge);
        });
        CHECK(gotSmall == kSmallAnswer);
        CHECK(gotLarge == kLargeAnswer);
    });
}

// Guards against answers that are cut although their callers read on, as they take long in all.
TEST_CASE("an answer takes as long as its caller needs while it reads on")
{
    constexpr std::size_t kAnswer = 300'000;
    constexpr std::size_t kStep = 12'000;
    constexpr Duration kWriteTimeout = milliseconds(1500);
    withServer(1, kWriteTimeout, [&](SlowWorld &world) {
        std::size_t got = 0;
        beside([&] {
            const RawSocket caller(world.endpoint, kSmallWindow);
            REQUIRE(caller.send(get("/answer", kAnswer)));
            for (std::size_t step = 0; step < kAnswer / kStep; ++step) {
                got += caller.read(kStep);
                sleepOnThread(milliseconds(250));
            }
        });
        CHECK(got == kAnswer);
        CHECK(world.server.stats().unreadAnswers == 0);
    });
}

// Guards against answers that are held for callers that never read them.
TEST_CASE("a caller that reads nothing loses its answer after the write timeout")
{
    withServer(2, seconds(2), [](SlowWorld &world) {
        std::unique_ptr<RawSocket> silent;
        beside([&] {
            silent = std::make_unique<RawSocket>(world.endpoint, kSmallWindow);
            REQUIRE(silent->send(get("/answer", kLargeAnswer)));
        });
        REQUIRE(world.handler.ended.waitFor(seconds(4)));
        CHECK(absl::IsDeadlineExceeded(world.handler.result));
        CHECK(world.server.stats().unreadAnswers == 1);
    });
}

// Guards against answers that wait for unreachable callers as if these read slowly.
TEST_CASE("an unreachable caller is noticed within seconds, in each state of its connection")
{
    withServer(3, seconds(20), [](SlowWorld &world) {
        std::unique_ptr<RawSocket> caller;
        const auto connect = [&](const std::string &request, bool closesWindow) {
            beside([&] {
                caller = std::make_unique<RawSocket>(world.endpoint, kSmallWindow);
                if (!closesWindow) {
                    caller->disappear();
                }
                REQUIRE(caller->send(request));
                if (closesWindow) {
                    sleepOnThread(seconds(1));
                    caller->disappear();
                }
            });
        };
        SECTION("with segments under way")
        {
            connect(get("/answer", kLargeAnswer), false);
            REQUIRE(world.handler.ended.waitFor(kNoticed));
            CHECK_FALSE(world.handler.result.ok());
            CHECK(world.server.stats().unreachableCallers == 1);
        }
        SECTION("with a closed window")
        {
            connect(get("/answer", kLargeAnswer), true);
            REQUIRE(world.handler.ended.waitFor(kNoticed));
            CHECK_FALSE(world.handler.result.ok());
            CHECK(world.server.stats().unreachableCallers == 1);
        }
        SECTION("with an answer that the kernel has taken whole")
        {
            connect(get("/answer", kSmallAnswer), true);
            REQUIRE(world.handler.ended.waitFor(seconds(1)));
            CHECK(world.handler.result.ok());
            for (Duration waited{}; waited < kNoticed && world.server.stats().openConnections > 0;
                 waited += milliseconds(100)) {
                world.runtime.sleepFor(milliseconds(100));
            }
            CHECK(world.server.stats().openConnections == 0);
        }
        SECTION("with nothing under way")
        {
            connect(get("/wait", 0), true);
            REQUIRE(world.handler.ended.waitFor(kNoticed));
            CHECK(world.handler.sawLeaving);
        }
    });
}

// Guards against steady readers that are cut for the memory that callers who read nothing hold.
TEST_CASE("a caller that reads steadily is not cut before one that reads nothing")
{
    withServer(4, seconds(20), [](SlowWorld &world) {
        std::unique_ptr<RawSocket> silent;
        std::atomic<bool> isReading{true};
        std::size_t got = 0;
        std::thread reader([&] {
            const RawSocket steady(world.endpoint, 0);
            (void)steady.send(get("/answer", kLargeAnswer));
            while (isReading) {
                got += steady.read(300'000);
                sleepOnThread(milliseconds(1200));
            }
            got += steady.read(kLargeAnswer - got);
        });
        world.runtime.sleepFor(seconds(3));
        beside([&] {
            silent = std::make_unique<RawSocket>(world.endpoint, 0);
            REQUIRE(silent->send(get("/answer", kLargeAnswer - 500'000)));
        });
        world.runtime.sleepFor(seconds(1));
        MemoryReservation other(&world.account, MemoryPurpose::Answers);
        for (int polls = 0; !other.tryGrowTo(7'000'000) && polls < 300; ++polls) {
            other.askHolders();
            world.runtime.sleepFor(milliseconds(10));
        }
        CHECK(other.bytes() == 7'000'000);
        isReading = false;
        beside([&] { reader.join(); });
        CHECK(got == kLargeAnswer);
    });
}

// Guards against requests in doubt because their upstream reads a long body slowly.
TEST_CASE("an upstream that pauses for seconds while it reads a body answers the request")
{
    inRuntime([](FiberRuntime &runtime) {
        const std::size_t body = kLargeAnswer;
        const RawUpstream upstream(5, kSmallWindow, [&](RawSocket &connection) {
            std::size_t got = connection.read(1000);
            sleepOnThread(kLongPause);
            got += connection.read(body - got);
            (void)connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            sleepOnThread(milliseconds(200));
        });
        HttpClient client(runtime);
        HttpRequest request;
        request.method = "POST";
        request.target = "/order";
        request.body.assign(body, 'o');
        const auto answer = client.call(upstream.endpoint, request, {.timeout = seconds(20)});
        REQUIRE(answer.ok());
        CHECK(answer->status == 200);
    });
}

// Guards against requests that wait until their deadline for an unreachable upstream.
TEST_CASE("an unreachable upstream is noticed within seconds, in each state of its connection")
{
    const auto call = [](int number, std::size_t body, Duration untilGone) {
        inRuntime([&](FiberRuntime &runtime) {
            FiberEvent hasAnswer;
            const RawUpstream upstream(number, kSmallWindow, [&](RawSocket &connection) {
                sleepOnThread(untilGone);
                connection.disappear();
                while (!hasAnswer.isSet()) {
                    sleepOnThread(milliseconds(20));
                }
            });
            HttpClient client(runtime);
            HttpRequest request;
            request.method = "POST";
            request.target = "/order";
            request.body.assign(body, 'o');
            const TimePoint began = SystemClock().now();
            const auto answer = client.call(upstream.endpoint, request, {.timeout = seconds(20)});
            const Duration took = SystemClock().now() - began;
            hasAnswer.set();
            REQUIRE_FALSE(answer.ok());
            CHECK(absl::IsUnavailable(answer.status())); // Neither a timeout nor cancelled.
            CHECK(sendProgress(answer.status()) == SendProgress::MaybeSent);
            CHECK(took < untilGone + kNoticed);
        });
    };
    SECTION("with segments under way")
    {
        call(6, 10'000, milliseconds(0));
    }
    SECTION("with a closed window")
    {
        call(7, kLargeAnswer, seconds(1));
    }
    SECTION("with nothing under way")
    {
        call(8, 10, milliseconds(500));
    }
}
