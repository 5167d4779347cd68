// Blocks of ports, those of this process and those that another one has reserved.
#include "PortBlock.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace basilnotch::testing;

// Guards against test groups that grow into the ports of a group which runs beside them.
TEST_CASE("blocks that exist at the same time share no port")
{
    constexpr int kPorts = 120; // Several groups.
    constexpr int kFirstPort = 17'000;
    const PortBlock first(kPorts, kFirstPort);
    const int taken = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int nextGuard = 17'150;
    address.sin_port = htons(nextGuard);
    REQUIRE(::bind(taken, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    REQUIRE(::listen(taken, 1) == 0);
    const PortBlock second(kPorts, kFirstPort);
    ::close(taken);
    std::set<int> all;
    for (int index = 0; index < kPorts; ++index) {
        all.insert(first.at(index));
        all.insert(second.at(index));
        CHECK(second.at(index) > nextGuard + 1);
    }
    CHECK(all.size() == 2 * kPorts);
    CHECK(all.count(nextGuard) == 0);
}
