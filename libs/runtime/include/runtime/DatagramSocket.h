// Datagrams between the system's own processes, for state that the next message replaces: a lost
// one is not sent again and delays none behind it.
#pragma once

#include <base/Failure.h>
#include <settings/Settings.h>

#include <functional>
#include <memory>
#include <string_view>

namespace basilnotch {

class FiberRuntime;

/// Everything but the constructor and start() on the runtime's own thread.
class DatagramSocket
{
public:
    /// Called for each datagram; must not block.
    using Handler = std::function<void(std::string_view datagram)>;

    DatagramSocket(FiberRuntime &runtime, Endpoint listen, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Before the runtime runs.
    absl::Status start();
    /// Never waits: a datagram that the system has no room for is dropped. False then.
    bool send(const Endpoint &peer, std::string_view datagram);

    /// What fits one packet on any usual link, headers left out.
    static constexpr std::size_t kMostBytes = 1400;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace basilnotch
