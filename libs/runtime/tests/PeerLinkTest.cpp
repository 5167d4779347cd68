// Tests of the requests between instances under load and against broken peers.
#include <InFiber.h>

#include <runtime/PeerLink.h>

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

using namespace basilnotch;
using namespace basilnotch::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Endpoint kPeer{"127.0.0.1", 18'790};
constexpr Duration kSoon = seconds(2);

/// Writes `bytes` to the peer's port and closes.
void writeRaw(const std::string &bytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kPeer.port);
    inet_pton(AF_INET, kPeer.address.c_str(), &address.sin_addr);
    REQUIRE(::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    CHECK(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL)
          == static_cast<ssize_t>(bytes.size()));
    ::close(socket);
}

} // namespace

// Load: many calls at once whose replies, some of them large, come about when their time is over.
// Guards against a link that never carries a call again: connections were closed with calls under
// way, and the library that reaped them waited for ever, for all links of the process.
TEST_CASE("a link to a peer outlasts many calls that run out of time", "[peer]")
{
    inFiber([](FiberRuntime &runtime) {
        constexpr int kCallers = 60;
        constexpr std::size_t kLargeBytes = 300'000;
        std::mt19937 random{1};
        PeerServer server(runtime, kPeer, [&](const std::string &text) {
            runtime.sleepFor(milliseconds(random() % 60));
            return text == "large" ? std::string(kLargeBytes, 'x') : text;
        });
        REQUIRE(server.start().ok());
        PeerClient client(runtime);
        int callers = kCallers;
        const TimePoint until = SystemClock().now() + seconds(2);
        for (int caller = 0; caller < kCallers; ++caller) {
            runtime.spawn([&] {
                while (SystemClock().now() < until) {
                    (void)client.call(kPeer, random() % 2 ? "large" : "small",
                                      milliseconds(5 + random() % 70));
                }
                --callers;
            });
        }
        while (callers > 0) {
            runtime.sleepFor(milliseconds(10));
        }
        for (int count = 0; count < 20; ++count) {
            const auto reply = client.call(kPeer, "after", kSoon);
            REQUIRE(reply.ok());
            CHECK(*reply == "after");
        }
    });
}

// Load: a reply that takes several times as long as another call's timeout.
// Guards against a slow reply that is lost because calls beside it run out of time.
TEST_CASE("a call that runs out of time leaves the replies beside it alone", "[peer]")
{
    inFiber([](FiberRuntime &runtime) {
        PeerServer server(runtime, kPeer, [&](const std::string &text) {
            runtime.sleepFor(text == "quick" ? milliseconds(0) : milliseconds(400));
            return text;
        });
        REQUIRE(server.start().ok());
        PeerClient client(runtime);
        REQUIRE(client.call(kPeer, "quick", kSoon).ok());
        bool hasReply = false;
        bool hasEnded = false;
        runtime.spawn([&] {
            hasReply = client.call(kPeer, "slow", kSoon).ok();
            hasEnded = true;
        });
        for (int count = 0; count < 8; ++count) {
            CHECK(client.call(kPeer, "quick", kSoon).ok());
            CHECK_FALSE(client.call(kPeer, "slow too", milliseconds(30)).ok());
        }
        while (!hasEnded) {
            runtime.sleepFor(milliseconds(10));
        }
        CHECK(hasReply);
    });
}

// Guards against a process that ends, or fills its memory, because of bytes that are no frames.
TEST_CASE("a peer that sends no frames harms nobody", "[peer]")
{
    inFiber([](FiberRuntime &runtime) {
        PeerServer server(runtime, kPeer, [](const std::string &text) { return text; });
        REQUIRE(server.start().ok());
        PeerClient client(runtime);
        REQUIRE(client.call(kPeer, "before", kSoon).ok());
        writeRaw("GET / HTTP/1.1\r\n\r\n");       // A length beyond all bounds.
        writeRaw(std::string("\x00\x00\x10", 3)); // Ends inside a header.
        writeRaw(std::string("\x00\x00\x10\x00", 4) + std::string(100, '\0')); // And in a body.
        runtime.sleepFor(milliseconds(50));
        CHECK(client.call(kPeer, "after", kSoon).ok());
        std::string tooLong;
        tooLong.resize(9'000'000);
        CHECK_FALSE(client.call(kPeer, tooLong, kSoon).ok());
        CHECK(client.call(kPeer, "after", kSoon).ok());
    });
}

// Guards against calls that fail although the peer is back before their time is over.
TEST_CASE("a call waits for a peer that starts late", "[peer]")
{
    inFiber([](FiberRuntime &runtime) {
        PeerClient client(runtime);
        PeerServer server(runtime, kPeer, [](const std::string &text) { return text; });
        runtime.spawn([&] {
            runtime.sleepFor(milliseconds(200));
            REQUIRE(server.start().ok());
        });
        CHECK(client.call(kPeer, "early", kSoon).ok());
    });
}
