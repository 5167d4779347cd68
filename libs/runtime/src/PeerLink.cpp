// The requesting side of the protocol between instances, nng's request protocol over TCP: a
// handshake of eight bytes from both sides, then messages of a length (eight bytes), the id of the
// call (four) and the body; a reply bears the id of its request. A connection that is closed, by
// whichever side and at whatever moment, only ends its own fibers.
#include <runtime/PeerLink.h>

#include "AwaitIo.h"
#include "SocketOptions.h"

#include <runtime/FiberEvent.h>
#include <runtime/FiberRuntime.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace basilnotch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxMessageBytes = 8 * 1024 * 1024;
/// Of requests to a peer that does not read them.
constexpr std::size_t kMaxQueuedBytes = 2 * kMaxMessageBytes;
constexpr Duration kConnectTimeout = milliseconds(400);
constexpr Duration kMinRedialDelay = milliseconds(50);
constexpr Duration kMaxRedialDelay = milliseconds(400);
constexpr std::size_t kIdBytes = 4;
constexpr std::size_t kLengthBytes = 8;
constexpr std::size_t kHeaderBytes = kLengthBytes + kIdBytes;
constexpr std::uint32_t kIdFlag = 0x80000000; // The protocol's mark of the last word of an id.
constexpr std::array<char, 8> kHandshake{'\0', 'S', 'P', '\0', '\0', '\x30', '\0', '\0'};
constexpr std::array<char, 8> kReplierHandshake{'\0', 'S', 'P', '\0', '\0', '\x31', '\0', '\0'};

struct Frame
{
    std::uint32_t id = 0;
    std::string body;
};

std::string encodeFrame(std::uint32_t id, std::string_view body)
{
    std::string bytes(kHeaderBytes, '\0');
    auto *header = reinterpret_cast<unsigned char *>(bytes.data());
    boost::endian::store_big_u64(header, body.size() + kIdBytes);
    boost::endian::store_big_u32(header + kLengthBytes, id);
    bytes.append(body);
    return bytes;
}

/// A connection that one fiber reads and any fiber may write to. Shared with its fibers.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(FiberRuntime &runtime, beast::tcp_stream stream)
        : runtime(runtime)
        , stream(std::move(stream))
        , heard(SystemClock().now())
    {
        this->stream.expires_never();
        tuneSocket(this->stream.socket());
        limitUndelivered(this->stream.socket(), kPeerUndeliveredTimeout);
    }

    /// The next frame; empty when the connection has ended.
    std::optional<Frame> read()
    {
        std::array<char, kHeaderBytes> header{};
        if (!this->readInto(header.data(), header.size())) {
            return std::nullopt;
        }
        const auto *bytes = reinterpret_cast<const unsigned char *>(header.data());
        const std::uint64_t length = boost::endian::load_big_u64(bytes);
        if (length < kIdBytes || length > kMaxMessageBytes) {
            this->close();
            return std::nullopt;
        }
        const std::size_t size = static_cast<std::size_t>(length) - kIdBytes;
        Frame frame{boost::endian::load_big_u32(bytes + kLengthBytes), {}};
        // Grows with the bytes that arrive, so that a length alone costs no memory.
        constexpr std::size_t kPart = 64 * 1024;
        while (frame.body.size() < size) {
            const std::size_t from = frame.body.size();
            const std::size_t part = std::min(kPart, size - from);
            frame.body.resize(from + part);
            if (!this->readInto(frame.body.data() + from, part)) {
                return std::nullopt;
            }
        }
        return frame;
    }

    /// Queues a frame; does not suspend.
    void send(std::uint32_t id, std::string_view body)
    {
        if (this->isClosed) {
            return;
        }
        this->queue.push_back(encodeFrame(id, body));
        this->queuedBytes += this->queue.back().size();
        if (this->queuedBytes > kMaxQueuedBytes) {
            this->close();
        } else if (!std::exchange(this->isWriting, true)) {
            this->runtime.spawn([self = this->shared_from_this()] { self->writeQueue(); });
        }
    }

    void close()
    {
        this->isClosed = true;
        this->stream.close();
    }
    /// When the latest byte arrived, or the connection was made.
    TimePoint heardAt() const { return this->heard; }

private:
    bool readInto(char *to, std::size_t size)
    {
        std::size_t done = 0;
        while (done < size && !this->isClosed) {
            const IoResult result = awaitIo([&](auto handler) {
                this->stream.async_read_some(asio::buffer(to + done, size - done),
                                             std::move(handler));
            });
            if (result.error) {
                this->close();
                return false;
            }
            this->heard = SystemClock().now();
            done += result.bytes;
        }
        return done == size;
    }

    void writeQueue()
    {
        while (!this->queue.empty() && !this->isClosed) {
            const std::string bytes = std::move(this->queue.front());
            this->queue.pop_front();
            const IoResult result = awaitIo([&](auto handler) {
                asio::async_write(this->stream, asio::buffer(bytes), std::move(handler));
            });
            this->queuedBytes -= bytes.size();
            if (result.error) {
                this->close();
            }
        }
        this->isWriting = false;
    }

    FiberRuntime &runtime;
    beast::tcp_stream stream;
    std::deque<std::string> queue; ///< Frames that wait to be written.
    std::size_t queuedBytes = 0;   ///< Of these and of the one being written.
    bool isWriting = false;        ///< There is a fiber for the queue.
    bool isClosed = false;
    TimePoint heard;
};

bool shakeHands(beast::tcp_stream &stream)
{
    const IoResult written = awaitIo([&](auto handler) {
        asio::async_write(stream, asio::buffer(kHandshake), std::move(handler));
    });
    std::array<char, kReplierHandshake.size()> theirs{};
    const IoResult read = written.error ? written : awaitIo([&](auto handler) {
        asio::async_read(stream, asio::buffer(theirs), std::move(handler));
    });
    return !read.error && theirs == kReplierHandshake;
}

absl::StatusOr<tcp::endpoint> resolve(const Endpoint &endpoint)
{
    error_code error;
    const asio::ip::address address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        return failure(absl::StatusCode::kInvalidArgument, "read address", endpoint.text(),
                       error.message());
    }
    return tcp::endpoint(address, endpoint.port);
}

} // namespace

struct PeerClient::Impl : std::enable_shared_from_this<PeerClient::Impl>
{
    explicit Impl(FiberRuntime &runtime)
        : runtime(runtime)
    { }

    struct Call
    {
        std::string message;
        std::optional<std::string> reply;
        FiberEvent ended; ///< Set with the reply.
    };

    /// The calls to one peer, and the connection that carries them.
    struct Link
    {
        Endpoint peer;
        std::map<std::uint32_t, std::shared_ptr<Call>> pending; ///< By id.
        std::shared_ptr<Connection> connection;                 ///< Null while there is none.
        bool isRunning = false;                                 ///< There is a fiber for it.
    };

    std::shared_ptr<Link> linkTo(const Endpoint &peer)
    {
        auto &link = this->links[peer.text()];
        if (!link) {
            link = std::make_shared<Link>();
            link->peer = peer;
        }
        return link;
    }

    std::shared_ptr<Connection> connect(const Endpoint &peer)
    {
        const absl::StatusOr<tcp::endpoint> endpoint = resolve(peer);
        if (!endpoint.ok()) {
            return nullptr;
        }
        beast::tcp_stream stream(this->runtime.context());
        stream.expires_after(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(kConnectTimeout));
        const IoResult result =
            awaitIo([&](auto handler) { stream.async_connect(*endpoint, std::move(handler)); });
        return !result.error && shakeHands(stream)
            ? std::make_shared<Connection>(this->runtime, std::move(stream))
            : nullptr;
    }

    /// Keeps a connection while it lives, and makes one while calls are pending.
    void run(Link &link)
    {
        Duration redialDelay = kMinRedialDelay;
        while (!this->isStopping && !link.pending.empty()) {
            const std::shared_ptr<Connection> connection = this->connect(link.peer);
            if (!connection) {
                this->runtime.sleepFor(redialDelay);
                redialDelay = std::min(2 * redialDelay, kMaxRedialDelay);
                continue;
            }
            redialDelay = kMinRedialDelay;
            link.connection = connection;
            for (const auto &[id, call] : link.pending) {
                connection->send(id, call->message);
            }
            while (std::optional<Frame> reply = connection->read()) {
                const auto found = link.pending.find(reply->id);
                if (found != link.pending.end()) {
                    found->second->reply = std::move(reply->body);
                    found->second->ended.set();
                    link.pending.erase(found);
                }
            }
            link.connection.reset();
        }
        link.isRunning = false;
    }

    FiberRuntime &runtime;
    std::map<std::string, std::shared_ptr<Link>, std::less<>> links; ///< By the peer's address.
    std::uint32_t lastId = 0;
    bool isStopping = false;
};

PeerClient::PeerClient(FiberRuntime &runtime)
    : impl(std::make_shared<Impl>(runtime))
{ }

PeerClient::~PeerClient()
{
    this->impl->isStopping = true;
    for (const auto &[name, link] : this->impl->links) {
        if (link->connection) {
            link->connection->close();
        }
    }
}

absl::StatusOr<std::string> PeerClient::call(const Endpoint &peer, std::string_view message,
                                             Duration timeout)
{
    if (message.size() + kIdBytes > kMaxMessageBytes) {
        return failure(absl::StatusCode::kInvalidArgument, "call", peer.text(),
                       "the message is too long");
    }
    const std::shared_ptr<Impl> impl = this->impl;
    const std::shared_ptr<Impl::Link> link = impl->linkTo(peer);
    const TimePoint beganAt = SystemClock().now();
    const auto call = std::make_shared<Impl::Call>();
    call->message = std::string(message);
    const std::uint32_t id = ++impl->lastId | kIdFlag;
    link->pending.emplace(id, call);
    if (link->connection) {
        link->connection->send(id, call->message);
    } else if (!std::exchange(link->isRunning, true)) {
        impl->runtime.spawn([impl, link] { impl->run(*link); });
    }
    (void)call->ended.waitFor(timeout);
    if (call->reply) {
        return *std::move(call->reply);
    }
    link->pending.erase(id);
    // A connection that has not carried a byte to here for the time of the call may never carry one
    // again. One that is slow, or younger than the call, is left alone: to close it would fail the
    // other calls as well.
    if (link->connection && link->connection->heardAt() <= beganAt) {
        link->connection->close();
    }
    return failure(absl::StatusCode::kDeadlineExceeded, "call", link->peer.text(),
                   "no reply in time");
}

} // namespace basilnotch
