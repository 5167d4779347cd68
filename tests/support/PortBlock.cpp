// A guard is bound without SO_REUSEADDR and SO_REUSEPORT, so that only one process gets it.
#include "PortBlock.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

namespace basilnotch::testing {

namespace {

constexpr int kPortsPerGroup = 50; // The guard among them.
constexpr int kFirstOutgoingPort = 32768;

int bindGuard(int port)
{
    const int guard = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(guard, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
        && ::listen(guard, 1) == 0) {
        return guard;
    }
    ::close(guard);
    return -1;
}

} // namespace

PortBlock::PortBlock(int count, int firstPort)
    : count(count)
{
    const int groups = (count + kPortsPerGroup - 2) / (kPortsPerGroup - 1);
    const char *given = std::getenv("PORT_BASE");
    // Blocks of one process follow each other: connections of an ended test may linger.
    static int next = given ? std::atoi(given) : firstPort;
    while (next + groups * kPortsPerGroup <= kFirstOutgoingPort
           && !this->tryReserve(next, groups)) {
        next += kPortsPerGroup;
    }
    REQUIRE_FALSE(this->guards.empty());
    this->base = next;
    next += groups * kPortsPerGroup;
}

PortBlock::~PortBlock()
{
    this->release();
}

void PortBlock::release()
{
    for (const int guard : this->guards) {
        ::close(guard);
    }
    this->guards.clear();
}

bool PortBlock::tryReserve(int firstGuard, int groups)
{
    for (int group = 0; group < groups; ++group) {
        const int guard = bindGuard(firstGuard + group * kPortsPerGroup);
        if (guard < 0) {
            this->release();
            return false;
        }
        this->guards.push_back(guard);
    }
    return true;
}

std::uint16_t PortBlock::at(int index) const
{
    REQUIRE(index >= 0);
    REQUIRE(index < this->count);
    const int group = index / (kPortsPerGroup - 1);
    return static_cast<std::uint16_t>(this->base + group + 1 + index);
}

} // namespace basilnotch::testing
