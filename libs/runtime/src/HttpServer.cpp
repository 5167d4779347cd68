// Beast does the parsing and serialising; this part adds fibers, bounds, timeouts and the watch for
// callers that go away.
#include <runtime/HttpServer.h>

#include "AwaitIo.h"
#include "DeliveryWatch.h"
#include "SocketOptions.h"
#include "TransferCoding.h"

#include <runtime/FiberRuntime.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <list>
#include <optional>
#include <sstream>
#include <utility>

namespace basilnotch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

absl::Status ioFailure(std::string_view step, const error_code &error)
{
    const bool timeout = error == beast::error::timeout;
    return failure(timeout ? absl::StatusCode::kDeadlineExceeded : absl::StatusCode::kUnavailable,
                   step, "caller", error.message());
}

template <typename Message>
HttpRequest plainHead(const Message &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    return request;
}

constexpr std::size_t kFirstReadBytes = 4096; // A connection without a request under way has these.
/// Room for the rest of what is read with a header: a part of the body.
constexpr std::size_t kBufferReserve = 4096;
constexpr std::size_t kBodyPartBytes = 16 * 1024;
/// Of a body and of the header before it, which each connection may hold without a reservation:
/// enough for an ordinary request. The number of connections bounds the sum.
constexpr std::int64_t kUnreservedBytes = 8 * 1024;
constexpr std::int64_t kReservationStep = 16 * 1024;
/// A connection may be closed for another one after so long without its whole request. A caller
/// sends it as soon as it is connected, so that it mostly waits here already.
constexpr Duration kMinAgeToYield = milliseconds(20);
/// A body or the reading of an answer that has not moved for so long makes no progress.
constexpr Duration kStalled = milliseconds(500);
/// A caller that has not read for so long yields its connection.
constexpr Duration kUnread = seconds(1);
/// A caller that pauses for longer than this multiple of its longest pause so far has stopped
/// reading. Pauses get longer while the receive buffer of a slow reader grows.
constexpr int kUsualPauseFactor = 4;
/// Memory for answers is short at most for so long before steady readers are cut, too.
constexpr Duration kMaxSlowReading = seconds(1);
constexpr Duration kMemoryPollInterval = milliseconds(10);
/// A body waits for memory at most; its sender is held back meanwhile.
constexpr Duration kMaxMemoryWait = seconds(2);
constexpr Duration kMaxAcceptWait = milliseconds(250);
// After a refusal, what still arrives is dropped, so that the sender can read the refusal.
constexpr Duration kLingerTime = seconds(1);
constexpr std::size_t kLingerBytes = 4 * 1024 * 1024;

/// What a connection does; the server closes those that do it for long without progress.
enum class ConnectionState {
    Idle,    ///< No byte of a request has arrived.
    Reading, ///< A request is incomplete.
    Busy,    ///< The handler has it.
};

struct Connection final : WatchedConnection
{
    Connection(tcp::socket socket, MemoryAccount *account, Duration writeTimeout,
               HttpServerStats &stats)
        : stream(std::move(socket))
        , requestMemory(account, MemoryPurpose::Requests)
        , answerMemory(account, MemoryPurpose::Answers)
        , writeTimeout(writeTimeout)
        , stats(stats)
    { }

    int socketHandle() override { return this->stream.socket().native_handle(); }
    std::int64_t writtenBytes() const override { return this->written; }
    bool onDelivery(const DeliveryProgress::Result &result, TimePoint now) override;

    void beginWrite()
    {
        this->isWriting = true;
        this->isPaused = false;
        this->movedAt = SystemClock().now();
    }
    /// The caller has read, or the kernel has taken, some of the answer.
    void onMoved(TimePoint now)
    {
        if (std::exchange(this->isPaused, false)) {
            this->longestPause = std::max(this->longestPause, now - this->movedAt);
        }
        this->movedAt = now;
    }
    /// Whether the caller has not read for longer than its reading explains: a slow reader pauses
    /// until much of its receive buffer is free.
    bool hasStoppedReading(TimePoint now) const
    {
        return now - this->movedAt >= kUsualPauseFactor * this->longestPause;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    MemoryReservation requestMemory; ///< For the request, until it has been handled.
    MemoryReservation answerMemory;  ///< For the answer, until it has been written.
    ConnectionState state = ConnectionState::Idle;
    std::list<Connection *>::iterator place; ///< In the server's list of that state, unless Busy.
    TimePoint since{};                       ///< Beginning of that state.
    TimePoint movedAt{};                     ///< When bytes were last read or written.
    Duration longestPause{};                 ///< Between two moves while the answer was written.
    bool isPaused = false;                   ///< Nothing moved at the latest check.
    std::int64_t written = 0;
    bool isWriting = false;   ///< An answer of which the caller has to read.
    bool hasTimedOut = false; ///< The caller has read nothing for `writeTimeout`.
    bool waitsForMemory = false;
    bool mustYield = false;
    const Duration writeTimeout;
    HttpServerStats &stats;
};

bool Connection::onDelivery(const DeliveryProgress::Result &result, TimePoint now)
{
    if (result.isPeerGone) {
        ++this->stats.unreachableCallers;
        error_code ignored;
        tcp::socket &socket = this->stream.socket();
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.shutdown(tcp::socket::shutdown_both, ignored); // Ends reads, writes and waits.
        return false;
    }
    if (!this->isWriting) {
        return !result.isComplete;
    }
    if (result.hasMoved) {
        this->onMoved(now);
    } else {
        this->isPaused = true;
    }
    if (now - this->movedAt < this->writeTimeout) {
        return true;
    }
    ++this->stats.unreadAnswers;
    this->hasTimedOut = true;
    this->stream.cancel();
    return false;
}

/// A caller with unread bytes keeps its socket readable, so its close is polled for at this
/// interval.
constexpr std::chrono::milliseconds kClosePollInterval{100};

/// State shared with the watch handlers, which may complete after the exchange has ended.
struct CallerWatch
{
    explicit CallerWatch(const asio::any_io_executor &executor)
        : timer(executor)
    { }
    bool active = true;
    bool armed = false;
    bool gone = false;
    std::function<void()> callback;
    asio::steady_timer timer;
};

/// Whether the peer has closed its side or reset the connection, also behind bytes that are unread.
bool peerHasClosed(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) {
        pollfd state{socket.native_handle(), POLLRDHUP, 0};
        return ::poll(&state, 1, 0) > 0;
    }
    return got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

class Exchange final : public HttpExchange
{
public:
    /// `closing`: read when the answer begins; true when callers shall leave.
    Exchange(Connection &connection, HttpRequest &&plain, bool keepAlive, const bool &closing,
             DeliveryWatch &deliveryWatch)
        : connection(connection)
        , stream(connection.stream)
        , plain(std::move(plain))
        , keepAlive(keepAlive)
        , closing(closing)
        , deliveryWatch(deliveryWatch)
    { }

    ~Exchange() override
    {
        this->watch->active = false;
        this->watch->timer.cancel();
    }

    const HttpRequest &request() const override { return this->plain; }
    bool answered() const override { return this->started; }
    bool callerGone() const override
    {
        // The event loop may not have reported a close that the socket already shows.
        tcp::socket &socket = this->stream.socket();
        this->watch->gone = this->watch->gone || (socket.is_open() && peerHasClosed(socket));
        return this->watch->gone;
    }
    bool mayReuse() const { return this->keepAlive && this->complete; }

    absl::Status respond(const HttpResponse &response) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(response.status), 11);
        this->fill(message, response.headers);
        constexpr int kNoContent = 204;
        constexpr int kNotModified = 304;
        if (response.status != kNoContent && response.status != kNotModified) {
            message.content_length(response.body.size());
        }
        std::ostringstream text;
        text << message.base();
        const std::string header = std::move(text).str();
        const absl::Status sent = this->send(
            "write answer",
            std::array<asio::const_buffer, 2>{asio::buffer(header), asio::buffer(response.body)});
        this->complete = sent.ok();
        return sent;
    }

    absl::Status beginStream(int status, const HttpHeaders &headers) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(status), 11);
        this->fill(message, headers);
        message.chunked(true);
        std::ostringstream text;
        text << message.base();
        this->pendingHeader = std::move(text).str();
        return absl::OkStatus();
    }

    absl::Status writeChunk(std::string_view part) override
    {
        const std::string header = std::exchange(this->pendingHeader, {});
        const auto chunk = http::make_chunk(asio::buffer(part.data(), part.size()));
        return this->send("write part",
                          beast::buffers_cat(asio::const_buffer(asio::buffer(header)), chunk));
    }

    absl::Status endStream(std::string_view part) override
    {
        std::string bytes = std::exchange(this->pendingHeader, {});
        if (!part.empty()) {
            bytes +=
                beast::buffers_to_string(http::make_chunk(asio::buffer(part.data(), part.size())));
        }
        bytes += beast::buffers_to_string(http::make_chunk_last());
        const absl::Status sent = this->send("write end", asio::const_buffer(asio::buffer(bytes)));
        this->complete = sent.ok();
        return sent;
    }

    void abortStream() override
    {
        error_code ignored;
        this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        this->stream.close();
    }

    void onCallerGone(std::function<void()> callback) override
    {
        this->watch->callback = std::move(callback);
        if (this->watch->armed || !this->watch->callback) {
            return;
        }
        this->watch->armed = true;
        this->stream.socket().async_wait(tcp::socket::wait_read,
                                         [this, watch = this->watch](const error_code &error) {
                                             this->checkClose(error, watch);
                                         });
    }

    MemoryReservation &answerMemory() override { return this->connection.answerMemory; }

    bool watching() const { return this->watch->armed && !this->watch->gone; }

private:
    /// Reports a closed connection, or checks again later. `watch` outlives this exchange.
    void checkClose(const error_code &error, const std::shared_ptr<CallerWatch> &watch)
    {
        if (!watch->active || error == asio::error::operation_aborted) {
            return;
        }
        if (error || peerHasClosed(this->stream.socket())) {
            watch->gone = true;
            if (watch->callback) {
                watch->callback();
            }
            return;
        }
        watch->timer.expires_after(kClosePollInterval);
        watch->timer.async_wait(
            [this, watch](const error_code &expired) { this->checkClose(expired, watch); });
    }

    template <typename Message>
    void fill(Message &message, const HttpHeaders &headers)
    {
        this->started = true;
        this->keepAlive = this->keepAlive && !this->closing;
        for (const HttpHeader &field : headers.fields) {
            message.insert(field.name, field.value);
        }
        message.keep_alive(this->keepAlive);
    }

    /// Fails once the caller has read nothing for the write timeout.
    template <typename Buffers>
    absl::Status send(std::string_view step, const Buffers &buffers)
    {
        this->connection.beginWrite();
        this->deliveryWatch.add(this->connection);
        beast::buffers_suffix<Buffers> rest(buffers);
        IoResult result;
        while (!result.error && asio::buffer_size(rest) > 0) {
            result = awaitIo(
                [&](auto handler) { this->stream.async_write_some(rest, std::move(handler)); });
            rest.consume(result.bytes);
            this->connection.written += static_cast<std::int64_t>(result.bytes);
            this->connection.onMoved(SystemClock().now());
        }
        this->connection.isWriting = false;
        if (result.error && this->connection.hasTimedOut) {
            result.error = beast::error::timeout;
        }
        return result.error ? ioFailure(step, result.error) : absl::OkStatus();
    }

    Connection &connection;
    beast::tcp_stream &stream;
    HttpRequest plain;
    std::shared_ptr<CallerWatch> watch = std::make_shared<CallerWatch>(this->stream.get_executor());
    bool keepAlive;
    const bool &closing;
    bool started = false;
    std::string pendingHeader; ///< Of a stream whose first part has not been sent.
    bool complete = false;     ///< The whole answer has been written.
    DeliveryWatch &deliveryWatch;
};

constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kNoMemory = 503;

int malformedStatus(const error_code &error)
{
    if (error == http::error::body_limit) {
        return kBodyTooLarge;
    }
    return error == http::error::header_limit || error == http::error::buffer_overflow
        ? kHeaderTooLarge
        : kBadRequest;
}

/// Why a request was not read; nothing is answered when the connection has ended.
struct ReadFailure
{
    int status = 0; ///< 0: nothing to answer.
    std::string text;
};

std::chrono::steady_clock::duration inClock(Duration value)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(value);
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>, MemoryHolder
{
    using Parser = http::request_parser<http::buffer_body>;

    Impl(FiberRuntime &runtime, HttpServerOptions options, HttpHandler &handler)
        : runtime(runtime)
        , options(std::move(options))
        , handler(handler)
        , acceptor(runtime.context())
        , deliveryWatch(runtime)
    {
        if (this->options.memory) {
            this->options.memory->addHolder(*this);
        }
    }
    ~Impl() override
    {
        if (this->options.memory) {
            this->options.memory->removeHolder(*this);
        }
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void acceptLoop();
    /// Closes the connection that has been longest without a whole request; false when there is
    /// none that may yield. Waits for one for a moment.
    bool makeRoom();
    /// Closes a connection for another one.
    void yield(Connection &connection);
    void serve(tcp::socket socket);
    bool serveOne(Connection &connection);
    bool awaitFirstBytes(Connection &connection);
    /// Reads a message to its end.
    std::optional<ReadFailure> readMessage(Connection &connection, HttpRequest *request,
                                           bool *keepAlive);
    std::optional<ReadFailure> readMore(Connection &connection, std::size_t most);
    /// Has `bytes` reserved for a body; waits a moment for them.
    bool reserve(Connection &connection, std::int64_t bytes);
    void refuse(Connection &connection, const ReadFailure &failure);
    void enter(Connection &connection, ConnectionState state);
    void leave(Connection &connection);
    std::list<Connection *> &listOf(ConnectionState state)
    {
        return state == ConnectionState::Idle   ? this->idle
            : state == ConnectionState::Reading ? this->reading
                                                : this->busy;
    }
    void onMemoryShort(MemoryPurpose purpose) override;
    void closeStalled(MemoryPurpose purpose);

    FiberRuntime &runtime;
    HttpServerOptions options;
    HttpHandler &handler;
    tcp::acceptor acceptor;
    DeliveryWatch deliveryWatch;
    // Connections by state, those that entered it first at the front.
    std::list<Connection *> idle;
    std::list<Connection *> reading;
    std::list<Connection *> busy;
    std::array<char, kBodyPartBytes> bodyPart{}; ///< Only while a part is parsed.
    std::atomic<bool> closesStalled{false};      ///< closeStalled() is about to run.
    TimePoint answersShortAt{};                  ///< When memory for answers was last asked for.
    TimePoint answersShortSince{}; ///< When it was first asked for in the present shortage.
    HttpServerStats stats;
    bool closingAfterAnswers = false;
    bool stopping = false; ///< Invariant: implies closingAfterAnswers.
};

void HttpServer::Impl::enter(Connection &connection, ConnectionState state)
{
    std::list<Connection *> &list = this->listOf(state);
    connection.state = state;
    connection.since = SystemClock().now();
    connection.movedAt = connection.since;
    connection.longestPause = Duration::zero();
    connection.place = list.insert(list.end(), &connection);
}

void HttpServer::Impl::leave(Connection &connection)
{
    this->listOf(connection.state).erase(connection.place);
}

void HttpServer::Impl::acceptLoop()
{
    while (!this->stopping) {
        tcp::socket socket(this->runtime.context());
        const IoResult result =
            awaitIo([&](auto handler) { this->acceptor.async_accept(socket, std::move(handler)); });
        if (result.error) {
            if (!this->stopping) {
                this->runtime.sleepFor(
                    milliseconds(20)); // Out of file descriptors: let some close.
            }
            continue;
        }
        if (this->stats.openConnections >= this->options.maxConnections && !this->makeRoom()) {
            ++this->stats.refusedConnections;
            continue;
        }
        tuneSocket(socket);
        ++this->stats.openConnections;
        this->runtime.spawn([self = this->shared_from_this(),
                             moved = std::make_shared<tcp::socket>(std::move(socket))] {
            self->serve(std::move(*moved));
            --self->stats.openConnections;
        });
    }
}

void HttpServer::Impl::yield(Connection &connection)
{
    connection.mustYield = true;
    ++this->stats.yieldedConnections;
    connection.stream.close();
}

bool HttpServer::Impl::makeRoom()
{
    const TimePoint until = SystemClock().now() + kMaxAcceptWait;
    while (!this->stopping) {
        const TimePoint now = SystemClock().now();
        for (std::list<Connection *> *list : {&this->reading, &this->idle}) {
            for (Connection *connection : *list) {
                if (now - connection->since < kMinAgeToYield) {
                    break; // Those behind it are younger.
                }
                if (!connection->mustYield) {
                    this->yield(*connection);
                    return true;
                }
            }
        }
        const bool isLastResort = now >= until;
        Connection *unread = nullptr;
        for (Connection *connection : this->busy) {
            if (connection->isWriting && !connection->mustYield
                && now - connection->movedAt >= kUnread
                && (isLastResort || connection->hasStoppedReading(now))
                && (!unread || connection->movedAt < unread->movedAt)) {
                unread = connection;
            }
        }
        if (unread) {
            this->yield(*unread);
            return true;
        }
        if (isLastResort || this->stats.openConnections < this->options.maxConnections) {
            break;
        }
        this->runtime.sleepFor(kMemoryPollInterval);
    }
    return this->stats.openConnections < this->options.maxConnections;
}

void HttpServer::Impl::onMemoryShort(MemoryPurpose purpose)
{
    if (this->closesStalled.exchange(true)) {
        return;
    }
    this->runtime.post([weak = this->weak_from_this(), purpose] {
        if (const auto self = weak.lock()) {
            self->closesStalled.store(false);
            self->closeStalled(purpose);
        }
    });
}

void HttpServer::Impl::closeStalled(MemoryPurpose purpose)
{
    const TimePoint now = SystemClock().now();
    const bool forRequests = purpose == MemoryPurpose::Requests;
    if (!forRequests) {
        const bool isNewShortage = now - this->answersShortAt >= kStalled;
        this->answersShortSince = isNewShortage ? now : this->answersShortSince;
        this->answersShortAt = now;
    }
    const bool isLastResort = now - this->answersShortSince >= kMaxSlowReading;
    Connection *slowest = nullptr;
    for (Connection *connection : forRequests ? this->reading : this->busy) {
        const MemoryReservation &memory =
            forRequests ? connection->requestMemory : connection->answerMemory;
        const bool isWaiting = forRequests ? connection->waitsForMemory : !connection->isWriting;
        if (memory.bytes() == 0 || isWaiting || connection->mustYield
            || now - connection->movedAt < kStalled) {
            continue;
        }
        if (!forRequests && !isLastResort && !connection->hasStoppedReading(now)) {
            continue;
        }
        if (!slowest || connection->movedAt < slowest->movedAt) {
            slowest = connection;
        }
    }
    if (slowest) {
        slowest->mustYield = true;
        ++this->stats.yieldedBodies;
        slowest->stream.cancel();
    }
}

void HttpServer::Impl::serve(tcp::socket socket)
{
    Connection connection(std::move(socket), this->options.memory, this->options.writeTimeout,
                          this->stats);
    while (this->serveOne(connection)) { }
    limitUndelivered(connection.stream.socket(), this->options.writeTimeout);
    error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

void HttpServer::Impl::refuse(Connection &connection, const ReadFailure &failure)
{
    Exchange exchange(connection, HttpRequest(), false, this->closingAfterAnswers,
                      this->deliveryWatch);
    const absl::Status sent =
        exchange.respond(this->handler.malformed(failure.status, failure.text));
    connection.buffer.clear();
    connection.buffer.shrink_to_fit();
    connection.requestMemory.release();
    beast::tcp_stream &stream = connection.stream;
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    const TimePoint until = SystemClock().now() + kLingerTime;
    std::size_t dropped = 0;
    while (sent.ok() && dropped < kLingerBytes && !connection.mustYield) {
        const Duration left = until - SystemClock().now();
        if (left <= Duration::zero()) {
            break;
        }
        stream.expires_after(inClock(left));
        const IoResult got = awaitIo([&](auto handler) {
            stream.async_read_some(connection.buffer.prepare(kFirstReadBytes), std::move(handler));
        });
        if (got.error || got.bytes == 0) {
            break;
        }
        dropped += got.bytes;
    }
}

bool HttpServer::Impl::awaitFirstBytes(Connection &connection)
{
    // Wait without a parser, so that an idle connection costs little and can be closed.
    connection.buffer.shrink_to_fit();
    this->enter(connection, ConnectionState::Idle);
    connection.stream.expires_after(inClock(this->options.bounds.idleTimeout));
    const IoResult waited = awaitIo([&](auto handler) {
        connection.stream.async_read_some(connection.buffer.prepare(kFirstReadBytes),
                                          std::move(handler));
    });
    this->leave(connection);
    if (waited.error) {
        return false;
    }
    connection.buffer.commit(waited.bytes);
    return true;
}

bool HttpServer::Impl::reserve(Connection &connection, std::int64_t bytes)
{
    const std::int64_t wanted = bytes - kUnreservedBytes;
    if (wanted <= connection.requestMemory.bytes()) {
        return true;
    }
    const std::int64_t stepped =
        (wanted + kReservationStep - 1) / kReservationStep * kReservationStep;
    const TimePoint until = SystemClock().now() + kMaxMemoryWait;
    connection.waitsForMemory = true;
    bool granted = connection.requestMemory.tryGrowTo(stepped);
    while (!granted && !connection.mustYield && SystemClock().now() < until) {
        connection.requestMemory.askHolders();
        this->runtime.sleepFor(kMemoryPollInterval);
        granted = connection.requestMemory.tryGrowTo(stepped);
    }
    connection.waitsForMemory = false;
    connection.movedAt = SystemClock().now();
    return granted;
}

std::optional<ReadFailure> HttpServer::Impl::readMore(Connection &connection, std::size_t most)
{
    beast::flat_buffer &buffer = connection.buffer;
    const std::size_t room = std::min(most, buffer.max_size() - buffer.size());
    if (room == 0) {
        return ReadFailure{kHeaderTooLarge, "a line or the trailers are too long"};
    }
    const IoResult got = awaitIo([&](auto handler) {
        connection.stream.async_read_some(buffer.prepare(room), std::move(handler));
    });
    if (connection.mustYield) {
        return ReadFailure{kNoMemory, "no memory for a request that makes no progress"};
    }
    if (got.error) {
        return ReadFailure{};
    }
    buffer.commit(got.bytes);
    connection.movedAt = SystemClock().now();
    return std::nullopt;
}

std::optional<ReadFailure> HttpServer::Impl::readMessage(Connection &connection,
                                                         HttpRequest *request, bool *keepAlive)
{
    const ReadFailure noMemory{kNoMemory, "no memory to read the request"};
    beast::flat_buffer &buffer = connection.buffer;
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(this->options.bounds.headerBytes));
    parser.body_limit(static_cast<std::uint64_t>(this->options.bounds.bodyBytes));
    bool hasHeader = false;
    std::int64_t announced =
        0; // Reserved whole: several bodies that each have a part could all wait.
    while (!parser.is_done()) {
        if (buffer.size() == 0) {
            if (std::optional<ReadFailure> failed = this->readMore(connection, kBodyPartBytes)) {
                return failed;
            }
        }
        const auto unparsed = static_cast<std::int64_t>(buffer.size());
        const auto held = static_cast<std::int64_t>(request->body.size());
        if (!this->reserve(connection, std::max(held + unparsed, announced))) {
            ++this->stats.refusedBodies;
            return noMemory;
        }
        auto &body = parser.get().body();
        body.data = this->bodyPart.data();
        body.size = this->bodyPart.size();
        error_code error;
        buffer.consume(parser.put(buffer.data(), error));
        if (parser.is_header_done()) {
            if (!hasHeader) {
                hasHeader = true;
                if (!hasKnownTransferCoding(parser.get())) {
                    return ReadFailure{kBadRequest, "unknown transfer coding"};
                }
                parser.eager(true);
                announced = static_cast<std::int64_t>(parser.content_length().value_or(0));
                *request = plainHead(parser.get()); // Trailers are no part of it.
                *keepAlive = parser.get().keep_alive();
            }
            request->body.append(this->bodyPart.data(), this->bodyPart.size() - body.size);
        }
        if (error == http::error::need_buffer || (!error && buffer.size() > 0)) {
            continue;
        }
        if (error && error != http::error::need_more) {
            return ReadFailure{malformedStatus(error), error.message()};
        }
        if (!parser.is_done()) {
            const std::size_t most = hasHeader ? kBodyPartBytes : kFirstReadBytes;
            if (std::optional<ReadFailure> failed = this->readMore(connection, most)) {
                return failed;
            }
        }
    }
    return std::nullopt;
}

bool HttpServer::Impl::serveOne(Connection &connection)
{
    beast::tcp_stream &stream = connection.stream;
    if (connection.buffer.size() == 0 && !this->awaitFirstBytes(connection)) {
        return false;
    }
    HttpRequest request;
    bool keepAlive = false;
    connection.buffer.max_size(static_cast<std::size_t>(this->options.bounds.headerBytes)
                               + kBufferReserve);
    this->enter(connection, ConnectionState::Reading);
    stream.expires_after(inClock(this->options.bounds.readTimeout));
    const std::optional<ReadFailure> failed = this->readMessage(connection, &request, &keepAlive);
    stream.expires_never();
    if (failed) {
        request = HttpRequest();
        if (failed->status != 0 && stream.socket().is_open()) {
            this->refuse(connection, *failed);
        }
        this->leave(connection);
        return false;
    }
    this->leave(connection);
    this->enter(connection, ConnectionState::Busy);
    Exchange exchange(connection, std::move(request), keepAlive, this->closingAfterAnswers,
                      this->deliveryWatch);
    if (exchange.callerGone()) {
        this->leave(connection);
        this->handler.abandoned(exchange.request());
        return false;
    }
    ++this->stats.activeRequests;
    this->handler.handle(exchange);
    --this->stats.activeRequests;
    this->leave(connection);
    connection.requestMemory.release();
    connection.answerMemory.release();
    if (!exchange.answered()) {
        return false;
    }
    if (exchange.watching()) {
        error_code ignored; // The handler may have closed the connection.
        stream.socket().cancel(ignored);
    }
    return exchange.mayReuse() && !this->stopping && !connection.mustYield
        && stream.socket().is_open();
}

HttpServer::HttpServer(FiberRuntime &runtime, HttpServerOptions options, HttpHandler &handler)
    : impl(std::make_shared<Impl>(runtime, std::move(options), handler))
{ }

HttpServer::~HttpServer() = default;

absl::Status HttpServer::start()
{
    Impl &impl = *this->impl;
    const std::string peer = impl.options.listen.text();
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(impl.options.listen.address, error),
                                 impl.options.listen.port);
    if (!error) {
        impl.acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        impl.acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        impl.acceptor.set_option(ReusePort(true), error);
    }
    if (!error) {
        impl.acceptor.bind(endpoint, error);
    }
    if (!error) {
        impl.acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure(absl::StatusCode::kUnavailable, "listen", peer, error.message());
    }
    impl.runtime.post([shared = this->impl] { shared->acceptLoop(); });
    return absl::OkStatus();
}

void HttpServer::closeAfterAnswers()
{
    this->impl->closingAfterAnswers = true;
}

void HttpServer::setBounds(const HttpServerBounds &bounds)
{
    this->impl->options.bounds = bounds;
}

void HttpServer::stopAccepting()
{
    Impl &impl = *this->impl;
    impl.stopping = true;
    impl.closingAfterAnswers = true;
    error_code ignored;
    impl.acceptor.close(ignored);
    for (Connection *connection : impl.idle) {
        connection->stream.cancel();
    }
}

HttpServerStats HttpServer::stats() const
{
    return this->impl->stats;
}

} // namespace basilnotch
