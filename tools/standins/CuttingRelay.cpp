// Callbacks instead of fibers: a relay has no steps that wait for each other.
#include "CuttingRelay.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <limits>
#include <utility>
#include <vector>

namespace basilnotch {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Duration kCutPoll = milliseconds(20);

constexpr std::size_t kNoReset = std::numeric_limits<std::size_t>::max();

/// What happens to connections; shared by all of a relay.
struct Trouble
{
    std::atomic<bool> cutToTarget{false};
    std::atomic<bool> cutToCaller{false};
    std::atomic<std::size_t> resetToTarget{kNoReset}; ///< Bytes of a connection, or kNoReset.
    std::atomic<std::size_t> resetToCaller{kNoReset}; ///< As above.
    std::atomic<int> mutes{0};                        ///< Calls of muteOpenConnections().

    std::atomic<bool> &cut(RelayDirection direction)
    {
        return direction == RelayDirection::ToTarget ? this->cutToTarget : this->cutToCaller;
    }
    std::atomic<std::size_t> &resetAfter(RelayDirection direction)
    {
        return direction == RelayDirection::ToTarget ? this->resetToTarget : this->resetToCaller;
    }
};

using Socket = std::shared_ptr<tcp::socket>;

/// Without lingering, the other end sees a reset and not an orderly end.
void reset(tcp::socket &socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/// One direction of one connection.
struct Pipe : std::enable_shared_from_this<Pipe>
{
    Pipe(Socket from, Socket to, RelayDirection direction, std::shared_ptr<Trouble> trouble)
        : from(std::move(from))
        , to(std::move(to))
        , direction(direction)
        , trouble(std::move(trouble))
        , timer(this->from->get_executor())
        , mutesBefore(this->trouble->mutes)
    { }

    void read()
    {
        this->from->async_read_some(
            asio::buffer(this->buffer),
            [self = this->shared_from_this()](error_code error, std::size_t bytes) {
                self->forward(error, bytes);
            });
    }

    void forward(error_code error, std::size_t bytes)
    {
        if (this->trouble->cut(this->direction)) {
            this->timer.expires_after(
                std::chrono::duration_cast<std::chrono::steady_clock::duration>(kCutPoll));
            this->timer.async_wait([self = this->shared_from_this(), error, bytes](error_code) {
                self->forward(error, bytes);
            });
            return;
        }
        if (this->trouble->mutes > this->mutesBefore) {
            if (!error) {
                this->read(); // Takes the bytes and drops them.
            }
            return;
        }
        if (error) {
            this->passOn(error);
            return;
        }
        const std::size_t most = this->trouble->resetAfter(this->direction);
        const std::size_t allowed = most - std::min(most, this->passed);
        const bool resets = bytes > allowed;
        this->passed += bytes;
        asio::async_write(
            *this->to, asio::buffer(this->buffer.data(), std::min(bytes, allowed)),
            [self = this->shared_from_this(), resets](error_code failed, std::size_t) {
                if (resets) {
                    reset(*self->to);
                    reset(*self->from);
                } else if (!failed) {
                    self->read();
                }
            });
    }

    void passOn(error_code error)
    {
        if (error == asio::error::connection_reset) {
            reset(*this->to);
            return;
        }
        error_code ignored;
        this->to->shutdown(tcp::socket::shutdown_both, ignored);
        this->from->shutdown(tcp::socket::shutdown_both, ignored);
    }

    Socket from;
    Socket to;
    const RelayDirection direction;
    std::shared_ptr<Trouble> trouble;
    asio::steady_timer timer;
    const int mutesBefore;  ///< Value of Trouble::mutes when the connection was made.
    std::size_t passed = 0; ///< Bytes of this direction.
    std::array<char, 16 * 1024> buffer{};
};

tcp::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

} // namespace

struct CuttingRelay::Impl : std::enable_shared_from_this<CuttingRelay::Impl>
{
    Impl(FiberRuntime &runtime, Endpoint listen, Endpoint target)
        : runtime(runtime)
        , listen(std::move(listen))
        , target(std::move(target))
        , acceptor(runtime.context())
    { }

    void accept()
    {
        auto caller = std::make_shared<tcp::socket>(this->runtime.context());
        this->acceptor.async_accept(*caller,
                                    [self = this->shared_from_this(), caller](error_code error) {
                                        if (!error) {
                                            self->connect(caller);
                                        }
                                        if (error != asio::error::operation_aborted) {
                                            self->accept();
                                        }
                                    });
    }

    void connect(const Socket &caller)
    {
        auto callee = std::make_shared<tcp::socket>(this->runtime.context());
        callee->async_connect(toAsio(this->target),
                              [self = this->shared_from_this(), caller, callee](error_code error) {
                                  if (error) {
                                      caller->close();
                                      return;
                                  }
                                  error_code ignored;
                                  caller->set_option(tcp::no_delay(true), ignored);
                                  callee->set_option(tcp::no_delay(true), ignored);
                                  self->join(caller, callee);
                              });
    }

    void join(const Socket &caller, const Socket &callee)
    {
        using enum RelayDirection;
        std::make_shared<Pipe>(caller, callee, ToTarget, this->trouble)->read();
        std::make_shared<Pipe>(callee, caller, ToCaller, this->trouble)->read();
        std::erase_if(this->open, [](const auto &socket) { return socket.expired(); });
        this->open.push_back(caller);
        this->open.push_back(callee);
    }

    void endOpen()
    {
        for (const std::weak_ptr<tcp::socket> &held : std::exchange(this->open, {})) {
            if (const Socket socket = held.lock()) {
                error_code ignored;
                socket->shutdown(tcp::socket::shutdown_both, ignored);
            }
        }
    }

    FiberRuntime &runtime;
    const Endpoint listen;
    const Endpoint target;
    tcp::acceptor acceptor;
    std::shared_ptr<Trouble> trouble = std::make_shared<Trouble>();
    std::vector<std::weak_ptr<tcp::socket>> open; ///< Both ends of the connections; some are over.
};

CuttingRelay::CuttingRelay(FiberRuntime &runtime, Endpoint listen, Endpoint target)
    : impl(std::make_shared<Impl>(runtime, std::move(listen), std::move(target)))
{ }

CuttingRelay::~CuttingRelay() = default;

bool CuttingRelay::start()
{
    error_code error;
    const tcp::endpoint endpoint = toAsio(this->impl->listen);
    this->impl->acceptor.open(endpoint.protocol(), error);
    this->impl->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    this->impl->acceptor.bind(endpoint, error);
    if (error || this->impl->acceptor.listen(asio::socket_base::max_listen_connections, error)) {
        return false;
    }
    this->impl->runtime.post([shared = this->impl] { shared->accept(); });
    return true;
}

void CuttingRelay::setCut(bool cut)
{
    this->setCut(RelayDirection::ToTarget, cut);
    this->setCut(RelayDirection::ToCaller, cut);
}

void CuttingRelay::setCut(RelayDirection direction, bool cut)
{
    this->impl->trouble->cut(direction) = cut;
}

void CuttingRelay::muteOpenConnections()
{
    ++this->impl->trouble->mutes;
}

void CuttingRelay::endOpenConnections()
{
    this->impl->runtime.post([shared = this->impl] { shared->endOpen(); });
}

void CuttingRelay::resetAfter(RelayDirection direction, std::optional<std::size_t> bytes)
{
    this->impl->trouble->resetAfter(direction) = bytes.value_or(kNoReset);
}

} // namespace basilnotch
