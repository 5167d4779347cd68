// Completion handlers run on the thread of the runtime, between its fibers.
#include <runtime/DatagramSocket.h>

#include <runtime/FiberRuntime.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace basilnotch {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

absl::StatusOr<udp::endpoint> resolve(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const asio::ip::address address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        return failure(absl::StatusCode::kInvalidArgument, "read address", endpoint.text(),
                       error.message());
    }
    return udp::endpoint(address, endpoint.port);
}

} // namespace

struct DatagramSocket::Impl
{
    Impl(FiberRuntime &runtime, Endpoint listen, Handler handler)
        : socket(runtime.context())
        , listen(std::move(listen))
        , handler(std::move(handler))
    { }

    void receive()
    {
        this->socket.async_receive_from(
            asio::buffer(this->buffer), this->from,
            [this](boost::system::error_code error, std::size_t bytes) {
                if (error == asio::error::operation_aborted) {
                    return;
                }
                if (!error) { // Otherwise a peer's port was closed: told by an earlier send.
                    this->handler(std::string_view(this->buffer.data(), bytes));
                }
                this->receive();
            });
    }

    udp::socket socket;
    const Endpoint listen;
    const Handler handler;
    udp::endpoint from;
    std::array<char, 2048> buffer{}; ///< Larger than any datagram of ours.
};

DatagramSocket::DatagramSocket(FiberRuntime &runtime, Endpoint listen, Handler handler)
    : impl(std::make_unique<Impl>(runtime, std::move(listen), std::move(handler)))
{ }

DatagramSocket::~DatagramSocket() = default;

absl::Status DatagramSocket::start()
{
    Impl &impl = *this->impl;
    const absl::StatusOr<udp::endpoint> address = resolve(impl.listen);
    if (!address.ok()) {
        return address.status();
    }
    boost::system::error_code error;
    impl.socket.open(udp::v4(), error);
    if (!error) {
        impl.socket.bind(*address, error);
    }
    if (!error) {
        impl.socket.non_blocking(true, error);
    }
    if (error) {
        return failure(absl::StatusCode::kUnavailable, "listen for datagrams", impl.listen.text(),
                       error.message());
    }
    impl.receive();
    return absl::OkStatus();
}

bool DatagramSocket::send(const Endpoint &peer, std::string_view datagram)
{
    const absl::StatusOr<udp::endpoint> address = resolve(peer);
    if (!address.ok()) {
        return false;
    }
    boost::system::error_code error;
    this->impl->socket.send_to(asio::buffer(datagram.data(), datagram.size()), *address, 0, error);
    return !error;
}

} // namespace basilnotch
