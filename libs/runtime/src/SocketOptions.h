// Options of the product's TCP connections, so that a peer which fell silent without a reset is
// noticed. Keep-alive probes look after idle connections, a DeliveryWatch after those with bytes
// under way.
#pragma once

#include <base/Clock.h>

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace basilnotch {

constexpr int kKeepAliveIdleSeconds = 1;     ///< Silence before the first keep-alive probe.
constexpr int kKeepAliveIntervalSeconds = 1; ///< Between two probes.
constexpr int kKeepAliveProbes = 2;          ///< Unanswered ones that break a connection.

/// Of links between instances, which read at once: one that does not is in trouble, and its links
/// are made again.
constexpr Duration kPeerUndeliveredTimeout = std::chrono::seconds(3);

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
    set(TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    set(TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    set(TCP_KEEPCNT, kKeepAliveProbes);
}

/// Breaks the connection once its peer has left bytes unacknowledged, or its receive window closed,
/// for `timeout`. Best effort, also after the socket has been closed.
inline void limitUndelivered(boost::asio::ip::tcp::socket &socket, Duration timeout)
{
    const auto limit = static_cast<int>(wholeMillis(timeout));
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                       sizeof(limit));
}

} // namespace basilnotch
