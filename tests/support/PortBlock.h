// Ports of one test, so that tests which run beside each other never share one.
#pragma once

#include <cstdint>
#include <vector>

namespace basilnotch::testing {

/// A number of ports below those that the system takes for outgoing connections. Ports come in
/// groups; a listener on the first port of a group, the guard, reserves it against all processes on
/// the machine, and is closed by the system when the process ends.
///
///     const PortBlock ports(2, 23000);
///     const Endpoint listen{"127.0.0.1", ports.at(0)};
class PortBlock
{
public:
    /// Reserves the first free groups at or above the environment's PORT_BASE, or `firstPort`
    /// without one, that have `count` ports; fails the test when there are none.
    PortBlock(int count, int firstPort);
    ~PortBlock();
    PortBlock(const PortBlock &) = delete;
    PortBlock &operator=(const PortBlock &) = delete;

    /// `index`: from 0 to the number of ports - 1. The same index is always the same port.
    std::uint16_t at(int index) const;

private:
    bool tryReserve(int firstGuard, int groups);
    void release();

    const int count;
    int base = 0;            ///< Port of the first guard.
    std::vector<int> guards; ///< Listening sockets.
};

} // namespace basilnotch::testing
