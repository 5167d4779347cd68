// Options that every TCP connection of the product gets, so that a peer which fell silent without a
// reset is noticed.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace basilnotch {

/// Bytes that stay unacknowledged so long break the connection: longer than a few retransmissions,
/// shorter than what a caller waits for a first token.
constexpr int kUserTimeoutMs = 3000;
constexpr int kKeepAliveIdleSeconds = 1;     ///< Silence before the first keep-alive probe.
constexpr int kKeepAliveIntervalSeconds = 1; ///< Between two probes.
constexpr int kKeepAliveProbes = 2;          ///< Unanswered ones that break a connection.

/// Best effort: an option that the system refuses is left out, the timeouts of calls still hold.
inline void tuneSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    const auto set = [handle](int option, int value) {
        (void)::setsockopt(handle, IPPROTO_TCP, option, &value, sizeof(value));
    };
    set(TCP_USER_TIMEOUT, kUserTimeoutMs);
    set(TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    set(TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    set(TCP_KEEPCNT, kKeepAliveProbes);
}

} // namespace basilnotch
