// Connections between instances that fall silent.
#include <CuttingRelay.h>
#include <InFiber.h>
#include <PortBlock.h>

#include <runtime/PeerLink.h>

#include <catch2/catch.hpp>

using namespace basilnotch;
using namespace basilnotch::testing;

namespace {

constexpr int kFirstPort = 22'600;

} // namespace

// Guards against instances that never reach each other again because their one connection has
// fallen silent.
TEST_CASE("a connection to a peer that falls silent is replaced", "[peer]")
{
    inFiber([](FiberRuntime &runtime) {
        constexpr Duration kTimeout = milliseconds(300);
        const PortBlock ports(2, kFirstPort);
        const Endpoint target{"127.0.0.1", ports.at(0)};
        const Endpoint relayed{"127.0.0.1", ports.at(1)};
        PeerServer server(runtime, target, [](std::string text) { return text + "!"; });
        REQUIRE(server.start().ok());
        CuttingRelay relay(runtime, relayed, target);
        REQUIRE(relay.start());
        PeerClient client(runtime);
        REQUIRE(client.call(relayed, "first", seconds(2)).ok());
        relay.muteOpenConnections();
        CHECK_FALSE(client.call(relayed, "lost", kTimeout).ok());
        const auto reply = client.call(relayed, "next", seconds(2));
        REQUIRE(reply.ok());
        CHECK(*reply == "next!");
    });
}
