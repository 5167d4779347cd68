// The replying side of nng's request protocol over TCP, on the fibers of a runtime: nng itself
// bounds neither its connections nor what all of them hold of messages that do not end.
//
// Both sides send a handshake of eight bytes; then each message has its length in eight bytes,
// big-endian. A request begins with words of four bytes, up to the first whose highest bit is set;
// its reply begins with the same.
#include <runtime/PeerLink.h>

#include "AwaitIo.h"
#include "SocketOptions.h"

#include <memory/MemoryAccount.h>
#include <memory/ProcessLimits.h>
#include <runtime/FiberRuntime.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <optional>

namespace basilnotch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr int kMaxRunning = 32;            // Requests that are answered at once.
constexpr int kMaxRunningOfConnection = 8; // Of one peer.
constexpr std::uint64_t kMaxMessageBytes = 8 * 1024 * 1024;
constexpr std::size_t kWordBytes = 4;
constexpr std::size_t kMaxWords = 8; // A request has passed this many intermediaries at most.
constexpr std::size_t kPartBytes = 64 * 1024;
constexpr Duration kHandshakeTimeout = seconds(5);
constexpr Duration kMessageTimeout = seconds(30);
/// Of the memory of the process, for messages that are incomplete or being answered.
constexpr std::int64_t kMemoryShare = 8;
constexpr Duration kMinAgeToYield = milliseconds(50);
constexpr Duration kStalled = milliseconds(500);
constexpr Duration kMemoryPollInterval = milliseconds(10);
constexpr Duration kMaxMemoryWait = seconds(5);
constexpr std::array<char, 8> kHandshake{'\0', 'S', 'P', '\0', '\0', '\x31', '\0', '\0'};
constexpr char kRequesterProtocol = '\x30';
constexpr std::size_t kProtocolAt = 5; // In a handshake.

std::chrono::steady_clock::duration inClock(Duration value)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(value);
}

std::string lengthOf(std::uint64_t bytes)
{
    std::string text;
    for (int shift = 56; shift >= 0; shift -= 8) {
        text += static_cast<char>((bytes >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return text;
}

/// Length of the words before the request itself; nothing when they do not end.
std::optional<std::size_t> headBytes(std::string_view message)
{
    constexpr unsigned char kLast = 0x80;
    for (std::size_t word = 0; word < kMaxWords && (word + 1) * kWordBytes <= message.size();
         ++word) {
        if (static_cast<unsigned char>(message[word * kWordBytes]) & kLast) {
            return (word + 1) * kWordBytes;
        }
    }
    return std::nullopt;
}

MemoryBudget peerBudget(std::int64_t memoryBytes)
{
    MemoryBudget budget;
    budget.total = std::max<std::int64_t>(memoryBytes / kMemoryShare, 2 * kMaxMessageBytes);
    budget.perPurpose.fill(budget.total);
    return budget;
}

} // namespace

struct PeerServer::Impl : std::enable_shared_from_this<PeerServer::Impl>
{
    struct Connection
    {
        Connection(tcp::socket socket, MemoryAccount &account)
            : stream(std::move(socket))
            , memory(&account, MemoryPurpose::Requests)
        { }
        beast::tcp_stream stream;
        MemoryReservation memory; ///< For the message that is incomplete.
        boost::fibers::mutex writing;
        std::list<std::shared_ptr<Connection>>::iterator place;
        TimePoint since = SystemClock().now();
        TimePoint movedAt = since;           ///< When bytes of the message at hand last arrived.
        std::optional<TimePoint> answeredAt; ///< Of the latest reply.
        int running = 0;                     ///< Requests that are being answered.
        bool mustYield = false;
    };
    using ConnectionRef = std::shared_ptr<Connection>;

    Impl(FiberRuntime &runtime, Endpoint listen, Handler handler, const ProcessLimits &limits)
        : runtime(runtime)
        , listen(std::move(listen))
        , handler(std::move(handler))
        , acceptor(runtime.context())
        , account(peerBudget(limits.memoryBytes))
        , maxConnections(limits.peerConnections())
    { }

    void acceptLoop();
    bool makeRoom();
    void serve(const ConnectionRef &connection);
    bool shakeHands(Connection &connection);
    /// The next message; nothing when the connection has ended or must end.
    std::optional<std::string> readMessage(Connection &connection);
    bool reserve(Connection &connection, std::int64_t bytes);
    void closeStalled();
    void answer(const ConnectionRef &connection, std::string message);
    void finished(Connection &connection);

    FiberRuntime &runtime;
    const Endpoint listen;
    const Handler handler;
    tcp::acceptor acceptor;
    MemoryAccount account;
    const int maxConnections;
    std::list<ConnectionRef> connections; ///< In the order of their arrival.
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable ended; ///< A request has been answered.
    int running = 0;                         ///< Invariant: the sum over the connections.
    bool stopping = false;
};

void PeerServer::Impl::acceptLoop()
{
    while (!this->stopping) {
        tcp::socket socket(this->acceptor.get_executor());
        const IoResult result =
            awaitIo([&](auto done) { this->acceptor.async_accept(socket, std::move(done)); });
        if (this->stopping) {
            return;
        }
        const bool isFull = static_cast<int>(this->connections.size()) >= this->maxConnections;
        if (result.error || (isFull && !this->makeRoom())) {
            this->runtime.sleepFor(milliseconds(20)); // Out of descriptors: let some close.
            continue;
        }
        tuneSocket(socket);
        limitUndelivered(socket, kPeerUndeliveredTimeout);
        auto connection = std::make_shared<Connection>(std::move(socket), this->account);
        connection->place = this->connections.insert(this->connections.end(), connection);
        this->runtime.spawn([self = this->shared_from_this(), connection] {
            self->serve(connection);
            self->connections.erase(connection->place);
        });
    }
}

/// Closes the connection that has never been answered for longest, else the one whose latest
/// request is longest ago: instances that are alive ask every few seconds.
bool PeerServer::Impl::makeRoom()
{
    const TimePoint now = SystemClock().now();
    Connection *chosen = nullptr;
    for (const ConnectionRef &connection : this->connections) {
        if (connection->mustYield || connection->running > 0
            || now - connection->since < kMinAgeToYield) {
            continue;
        }
        if (!connection->answeredAt) {
            chosen = connection.get();
            break;
        }
        if (!chosen || *connection->answeredAt < *chosen->answeredAt) {
            chosen = connection.get();
        }
    }
    if (chosen) {
        chosen->mustYield = true;
        chosen->stream.close();
    }
    return chosen != nullptr;
}

bool PeerServer::Impl::shakeHands(Connection &connection)
{
    connection.stream.expires_after(inClock(kHandshakeTimeout));
    const IoResult written = awaitIo([&](auto done) {
        asio::async_write(connection.stream, asio::buffer(kHandshake), std::move(done));
    });
    std::array<char, kHandshake.size()> theirs{};
    const IoResult read = written.error ? written : awaitIo([&](auto done) {
        asio::async_read(connection.stream, asio::buffer(theirs), std::move(done));
    });
    connection.stream.expires_never();
    auto wanted = kHandshake;
    wanted[kProtocolAt] = kRequesterProtocol;
    return !read.error && theirs == wanted;
}

void PeerServer::Impl::closeStalled()
{
    const TimePoint now = SystemClock().now();
    Connection *slowest = nullptr;
    for (const ConnectionRef &connection : this->connections) {
        if (connection->memory.bytes() > 0 && !connection->mustYield
            && now - connection->movedAt >= kStalled
            && (!slowest || connection->movedAt < slowest->movedAt)) {
            slowest = connection.get();
        }
    }
    if (slowest) {
        slowest->mustYield = true;
        slowest->stream.close();
    }
}

bool PeerServer::Impl::reserve(Connection &connection, std::int64_t bytes)
{
    const TimePoint until = SystemClock().now() + kMaxMemoryWait;
    while (!connection.memory.tryGrowTo(bytes)) {
        if (this->stopping || connection.mustYield || SystemClock().now() >= until) {
            return false;
        }
        connection.movedAt = SystemClock().now(); // Waits for us, not for its peer.
        this->closeStalled();
        this->runtime.sleepFor(kMemoryPollInterval);
    }
    return true;
}

std::optional<std::string> PeerServer::Impl::readMessage(Connection &connection)
{
    std::array<unsigned char, sizeof(std::uint64_t)> head{};
    connection.stream.expires_never();
    const IoResult begun = awaitIo([&](auto done) {
        asio::async_read(connection.stream, asio::buffer(head), std::move(done));
    });
    std::uint64_t length = 0;
    constexpr unsigned kByteBits = 8;
    for (const unsigned char byte : head) {
        length = (length << kByteBits) | byte;
    }
    if (begun.error || length > kMaxMessageBytes) {
        return std::nullopt;
    }
    std::string message;
    connection.stream.expires_after(inClock(kMessageTimeout));
    while (message.size() < length) {
        connection.movedAt = SystemClock().now();
        const std::size_t part = std::min<std::size_t>(length - message.size(), kPartBytes);
        if (!this->reserve(connection, static_cast<std::int64_t>(message.size() + part))) {
            return std::nullopt;
        }
        const std::size_t had = message.size();
        message.resize(had + part);
        const IoResult got = awaitIo([&](auto done) {
            asio::async_read(connection.stream, asio::buffer(message.data() + had, part),
                             std::move(done));
        });
        if (got.error) {
            return std::nullopt;
        }
    }
    return message;
}

void PeerServer::Impl::finished(Connection &connection)
{
    --this->running;
    --connection.running;
    this->ended.notify_all();
}

void PeerServer::Impl::answer(const ConnectionRef &connection, std::string message)
{
    const std::optional<std::size_t> head = headBytes(message);
    if (!head) {
        connection->stream.close();
        return;
    }
    std::string reply = message.substr(0, *head);
    message.erase(0, *head);
    reply += this->handler(std::move(message));
    const std::string length = lengthOf(reply.size());
    const std::lock_guard lock(connection->writing);
    connection->stream.expires_after(inClock(kMessageTimeout));
    const IoResult written = awaitIo([&](auto done) {
        asio::async_write(
            connection->stream,
            std::array<asio::const_buffer, 2>{asio::buffer(length), asio::buffer(reply)},
            std::move(done));
    });
    connection->answeredAt = SystemClock().now();
    if (written.error) {
        connection->stream.close();
    }
}

void PeerServer::Impl::serve(const ConnectionRef &connection)
{
    if (!this->shakeHands(*connection)) {
        return;
    }
    while (!this->stopping && !connection->mustYield) {
        std::optional<std::string> message = this->readMessage(*connection);
        if (!message || this->stopping) {
            break;
        }
        connection->memory.release();
        {
            std::unique_lock lock(this->mutex);
            this->ended.wait(lock, [&] {
                return this->stopping
                    || (this->running < kMaxRunning
                        && connection->running < kMaxRunningOfConnection);
            });
        }
        if (this->stopping) {
            break;
        }
        ++this->running;
        ++connection->running;
        this->runtime.spawn(
            [self = this->shared_from_this(), connection, moved = std::move(*message)]() mutable {
                self->answer(connection, std::move(moved));
                self->finished(*connection);
            });
    }
    connection->stream.close();
}

PeerServer::PeerServer(FiberRuntime &runtime, Endpoint listen, Handler handler,
                       const ProcessLimits &limits)
    : impl(std::make_shared<Impl>(runtime, std::move(listen), std::move(handler), limits))
{ }

PeerServer::~PeerServer()
{
    Impl &impl = *this->impl;
    impl.stopping = true;
    error_code ignored;
    impl.acceptor.close(ignored);
    impl.ended.notify_all();
    for (const Impl::ConnectionRef &connection : impl.connections) {
        connection->stream.close();
    }
}

absl::Status PeerServer::start()
{
    Impl &impl = *this->impl;
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(impl.listen.address, error),
                                 impl.listen.port);
    if (!error) {
        impl.acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        impl.acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        impl.acceptor.bind(endpoint, error);
    }
    if (!error) {
        impl.acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure(absl::StatusCode::kUnavailable, "listen for peers", impl.listen.text(),
                       error.message());
    }
    impl.runtime.post([shared = this->impl] { shared->acceptLoop(); });
    return absl::OkStatus();
}

} // namespace basilnotch
