// A connection goes back to the idle list only after a complete answer; every other end closes it,
// so a late answer can never be read as the answer to another request.
#include <runtime/HttpClient.h>

#include "AwaitIo.h"
#include "DeliveryWatch.h"
#include "SocketOptions.h"
#include "TransferCoding.h"

#include <runtime/FiberRuntime.h>

#include <absl/strings/cord.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <map>
#include <optional>

namespace basilnotch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kReserveBytes = 64 * 1024; // Of an answer whose length is not announced.
constexpr Duration kMemoryPollInterval = milliseconds(10);
constexpr int kMaxStrayAnswers = 4;   // More than these on one connection: the peer is confused.
constexpr int kMaxInterimAnswers = 8; // 1xx answers before the final one; a sound peer sends one.
/// Bytes that wait to be parsed: a header, a chunk's head or a part of a body. Bounds what a peer
/// can make us keep that ends neither a line nor a chunk.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
/// Framing in one answer beside its body: chunk heads, extensions, trailers. A sound peer frames
/// even an event of a few bytes in fewer.
constexpr std::size_t kMaxFramingBytes = 1024 * 1024;
/// Of the body of another request's answer; a longer one ends the connection.
constexpr std::size_t kMaxSkippedBytes = 1024 * 1024;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kFirstFinalStatus = 200; // Below it are interim answers.
constexpr int kSwitchingProtocols = 101;
constexpr char kProgressPayload[] = "basilnotch/nothing-sent";

std::chrono::steady_clock::duration inClock(Duration value)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(value);
}

absl::Status callFailure(std::string_view step, const Endpoint &peer, const error_code &error,
                         SendProgress progress)
{
    const bool timeout = error == beast::error::timeout;
    const bool cancelled = error == asio::error::operation_aborted;
    const absl::StatusCode code = timeout ? absl::StatusCode::kDeadlineExceeded
        : cancelled                       ? absl::StatusCode::kCancelled
                                          : absl::StatusCode::kUnavailable;
    absl::Status status = failure(code, step, peer.text(), error.message());
    if (progress == SendProgress::NothingSent) {
        status.SetPayload(kProgressPayload, absl::Cord("1"));
    }
    return status;
}

struct Connection final : WatchedConnection
{
    explicit Connection(asio::io_context &context)
        : stream(context)
        , buffer(kMaxUnparsedBytes)
    { }

    int socketHandle() override { return this->stream.socket().native_handle(); }
    std::int64_t writtenBytes() const override { return 0; } // The time limit is that of the call.
    bool onDelivery(const DeliveryProgress::Result &result, TimePoint) override
    {
        if (result.isPeerGone) {
            this->isPeerGone = true;
            this->stream.close();
        }
        return !result.isPeerGone && !result.isComplete;
    }
    /// The error of an operation; closing the connection of a peer that is gone is no cancellation.
    error_code cause(const error_code &error) const
    {
        return error && this->isPeerGone ? error_code(asio::error::timed_out) : error;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isPeerGone = false; ///< It has not acknowledged what was sent.
    bool reused = false;     ///< It has carried an earlier request.
    TimePoint usableUntil{}; ///< While idle: the peer may close it after this.
};

Duration timeUntil(TimePoint until)
{
    return until - SystemClock().now();
}

/// The idle timeout that a peer states in a Keep-Alive header, if it does.
std::optional<Duration> statedIdleTimeout(std::string_view keepAlive)
{
    constexpr std::string_view kName = "timeout=";
    const std::size_t at = keepAlive.find(kName);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view rest = keepAlive.substr(at + kName.size());
    const std::size_t digits = std::min(rest.find_first_not_of("0123456789"), rest.size());
    int stated = 0;
    if (!absl::SimpleAtoi(absl::string_view(rest.data(), digits), &stated)) {
        return std::nullopt;
    }
    return seconds(stated);
}

} // namespace

struct CallCanceller::State
{
    bool cancelled = false;
    beast::tcp_stream *stream = nullptr; ///< The connection of the call under way, if any.
};

CallCanceller::CallCanceller()
    : state(std::make_shared<State>())
{ }

CallCanceller::~CallCanceller() = default;

void CallCanceller::cancel()
{
    this->state->cancelled = true;
    if (this->state->stream) {
        this->state->stream->cancel();
    }
}

bool CallCanceller::cancelled() const
{
    return this->state->cancelled;
}

SendProgress sendProgress(const absl::Status &status)
{
    return status.GetPayload(kProgressPayload) ? SendProgress::NothingSent
                                               : SendProgress::MaybeSent;
}

struct HttpClient::Impl
{
    Impl(FiberRuntime &runtime, HttpClientOptions options)
        : runtime(runtime)
        , options(options)
        , deliveryWatch(runtime)
    { }

    std::unique_ptr<Connection> takeIdle(const std::string &peer);
    void putIdle(const std::string &peer, std::unique_ptr<Connection> connection,
                 std::optional<Duration> stated);
    absl::StatusOr<std::unique_ptr<Connection>> connect(const Endpoint &peer, Duration timeout,
                                                        CallCanceller *canceller);

    FiberRuntime &runtime;
    HttpClientOptions options;
    DeliveryWatch deliveryWatch;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>, std::less<>> idle;
};

namespace {

/// Names the connection of the call under way to its canceller for the time of a step.
class CancelScope
{
public:
    CancelScope(CallCanceller *canceller, beast::tcp_stream &stream)
        : state(canceller ? canceller->state : nullptr)
    {
        if (this->state) {
            this->state->stream = &stream;
        }
    }
    ~CancelScope()
    {
        if (this->state) {
            this->state->stream = nullptr;
        }
    }
    CancelScope(const CancelScope &) = delete;
    CancelScope &operator=(const CancelScope &) = delete;

private:
    std::shared_ptr<CallCanceller::State> state;
};

class Stream final : public HttpStream
{
public:
    using PutIdle = std::function<void(std::unique_ptr<Connection>, std::optional<Duration>)>;

    Stream(FiberRuntime &runtime, std::unique_ptr<Connection> connection, Endpoint peer,
           PutIdle putIdle)
        : runtime(runtime)
        , connection(std::move(connection))
        , peer(std::move(peer))
        , putIdle(std::move(putIdle))
    { }

    /// Reads the header of the answer that belongs to `correlation`, skipping earlier ones.
    absl::Status readHeader(TimePoint until, const std::optional<Correlation> &correlation,
                            const CallCanceller *canceller)
    {
        this->headerUntil = until;
        for (int skipped = 0; skipped <= kMaxStrayAnswers; ++skipped) {
            const absl::Status header = this->readFinalHeader(until);
            if (!header.ok() || !correlation || this->belongsTo(*correlation)) {
                return header;
            }
            const absl::Status rest = this->skipBody(until, canceller);
            if (!rest.ok()) {
                return rest;
            }
        }
        return failure(absl::StatusCode::kDataLoss, "read header", this->peer.text(),
                       "answers of other requests only");
    }

    /// Skips interim answers: they say nothing of what came of the request.
    absl::Status readFinalHeader(TimePoint until)
    {
        for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
            const absl::Status header = this->readOneHeader(timeUntil(until));
            if (!header.ok() || this->status() >= kFirstFinalStatus) {
                return header;
            }
            if (this->status() == kSwitchingProtocols) { // No request asks for it.
                return failure(absl::StatusCode::kDataLoss, "read header", this->peer.text(),
                               "another protocol");
            }
        }
        return failure(absl::StatusCode::kDataLoss, "read header", this->peer.text(),
                       "interim answers only");
    }

    absl::Status readOneHeader(Duration timeout)
    {
        this->framingBytes = 0;
        this->parser.emplace();
        this->parser->body_limit(boost::none);
        this->plainHeaders.fields.clear();
        beast::tcp_stream &stream = this->connection->stream;
        stream.expires_after(inClock(timeout));
        const IoResult result = awaitIo([&](auto handler) {
            http::async_read_header(stream, this->connection->buffer, *this->parser,
                                    std::move(handler));
        });
        if (result.error) {
            return callFailure("read header", this->peer, this->connection->cause(result.error),
                               SendProgress::MaybeSent);
        }
        if (this->status() < kFirstStatus || this->status() > kLastStatus) {
            return failure(absl::StatusCode::kDataLoss, "read header", this->peer.text(),
                           absl::StrCat("status ", this->status()));
        }
        if (!hasKnownTransferCoding(this->parser->get())) {
            return failure(absl::StatusCode::kDataLoss, "read header", this->peer.text(),
                           "unknown transfer coding");
        }
        this->endsAtClose = this->parser->need_eof();
        for (const auto &field : this->parser->get()) {
            this->plainHeaders.add(std::string(field.name_string()), std::string(field.value()));
        }
        return absl::OkStatus();
    }

    int status() const override { return static_cast<int>(this->parser->get().result_int()); }
    const HttpHeaders &headers() const override { return this->plainHeaders; }
    bool endsWithConnection() const override { return this->endsAtClose; }
    /// The connection of an answer that has not been read to its end.
    beast::tcp_stream &transport() { return this->connection->stream; }
    /// The end of the time for the header, and for the whole answer of HttpClient::call().
    TimePoint callUntil() const { return this->headerUntil; }
    void close() override
    {
        if (this->connection) {
            this->connection->stream.cancel();
            this->closed = true;
        }
    }

    absl::StatusOr<std::string> readSome(Duration timeout) override
    {
        std::array<char, kReadBytes> part; // NOLINT(cppcoreguidelines-pro-type-member-init)
        while (!this->parser->is_done()) {
            if (this->closed) {
                return callFailure("read body", this->peer, asio::error::operation_aborted,
                                   SendProgress::MaybeSent);
            }
            const absl::StatusOr<std::size_t> got = this->readInto(part, timeout);
            if (!got.ok()) {
                return got.status();
            }
            if (*got > 0) {
                return std::string(part.data(), *got);
            }
        }
        this->finish();
        return std::string();
    }

    absl::StatusOr<std::string> readAll(Duration timeout, std::size_t limit,
                                        MemoryReservation *memory) override
    {
        const TimePoint until = SystemClock().now() + timeout;
        std::string all;
        // An announced answer is reserved whole: several that each have a part could all wait.
        const boost::optional<std::uint64_t> announced = this->parser->content_length();
        std::size_t reserved = 0;
        while (true) {
            if (memory && all.size() + kReadBytes > reserved) {
                const std::size_t step =
                    announced && reserved == 0 ? static_cast<std::size_t>(*announced) : 0;
                reserved = std::min(limit, std::max(step, all.size() + kReserveBytes));
                const absl::Status granted = this->reserve(*memory, reserved, until);
                if (!granted.ok()) {
                    return granted;
                }
            }
            absl::StatusOr<std::string> part = this->readSome(timeUntil(until));
            if (!part.ok() || part->empty()) {
                return part.ok() ? absl::StatusOr<std::string>(std::move(all)) : part;
            }
            if (all.size() + part->size() > limit) {
                return failure(absl::StatusCode::kResourceExhausted, "read body", this->peer.text(),
                               "answer too long");
            }
            all += *part;
        }
    }

private:
    /// Waits until the caller's side has room for `bytes`.
    absl::Status reserve(MemoryReservation &memory, std::size_t bytes, TimePoint until)
    {
        while (!memory.tryGrowTo(static_cast<std::int64_t>(bytes))) {
            if (this->closed || timeUntil(until) <= Duration::zero()) {
                return callFailure("reserve memory", this->peer,
                                   this->closed ? error_code(asio::error::operation_aborted)
                                                : error_code(beast::error::timeout),
                                   SendProgress::MaybeSent);
            }
            memory.askHolders();
            this->runtime.sleepFor(kMemoryPollInterval);
        }
        return absl::OkStatus();
    }

    /// An answer without the header is taken for ours, unless an earlier request of this connection
    /// could have caused it.
    bool belongsTo(const Correlation &correlation) const
    {
        const std::string_view found = this->plainHeaders.find(correlation.header);
        if (found.empty()) {
            return !this->connection->reused;
        }
        return found == correlation.value;
    }

    /// Reads the next bytes of the body; their number, which may be zero before its end.
    absl::StatusOr<std::size_t> readInto(std::array<char, kReadBytes> &part, Duration timeout)
    {
        if (timeout <= Duration::zero()) {
            // A read of bytes that have arrived completes before its timer, however late it is.
            return callFailure("read body", this->peer, beast::error::timeout,
                               SendProgress::MaybeSent);
        }
        auto &body = this->parser->get().body();
        body.data = part.data();
        body.size = part.size();
        beast::tcp_stream &stream = this->connection->stream;
        stream.expires_after(inClock(timeout));
        const IoResult result = awaitIo([&](auto handler) {
            http::async_read_some(stream, this->connection->buffer, *this->parser,
                                  std::move(handler));
        });
        if (result.error && result.error != http::error::need_buffer) {
            return callFailure("read body", this->peer, this->connection->cause(result.error),
                               SendProgress::MaybeSent);
        }
        const std::size_t got = part.size() - body.size;
        this->framingBytes += result.bytes > got ? result.bytes - got : 0;
        if (this->framingBytes > kMaxFramingBytes) {
            return failure(absl::StatusCode::kDataLoss, "read body", this->peer.text(),
                           "framing without end");
        }
        return got;
    }

    absl::Status skipBody(TimePoint until, const CallCanceller *canceller)
    {
        if (this->endsAtClose) {
            return failure(absl::StatusCode::kDataLoss, "skip answer", this->peer.text(),
                           "an answer of another request without a length");
        }
        std::array<char, kReadBytes> part; // NOLINT(cppcoreguidelines-pro-type-member-init)
        std::size_t skipped = 0;
        while (!this->parser->is_done()) {
            if (canceller && canceller->cancelled()) { // Perhaps between two reads.
                return callFailure("skip answer", this->peer, asio::error::operation_aborted,
                                   SendProgress::MaybeSent);
            }
            const absl::StatusOr<std::size_t> got = this->readInto(part, timeUntil(until));
            if (!got.ok()) {
                return got.status();
            }
            skipped += *got;
            if (skipped > kMaxSkippedBytes) {
                return failure(absl::StatusCode::kDataLoss, "skip answer", this->peer.text(),
                               "an answer of another request without end");
            }
        }
        return absl::OkStatus();
    }

    void finish()
    {
        if (this->connection && this->parser->keep_alive()
            && this->connection->buffer.size() == 0) {
            this->connection->stream.expires_never();
            this->putIdle(std::move(this->connection),
                          statedIdleTimeout(this->plainHeaders.find("Keep-Alive")));
        }
    }

    FiberRuntime &runtime;
    std::unique_ptr<Connection> connection; ///< Null once the whole answer was read.
    Endpoint peer;
    PutIdle putIdle;
    std::optional<http::response_parser<http::buffer_body>> parser; ///< Of the answer at hand.
    HttpHeaders plainHeaders;
    TimePoint headerUntil{};
    std::size_t framingBytes = 0; ///< Read of the answer at hand beside its header and body.
    bool closed = false;
    bool endsAtClose = false; ///< See endsWithConnection().
};

http::request<http::span_body<const char>> toWire(const Endpoint &peer, const HttpRequest &request,
                                                  std::string_view body)
{
    http::request<http::span_body<const char>> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const HttpHeader &field : request.headers.fields) {
        message.insert(field.name, field.value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, peer.text());
    }
    message.body() = {body.data(), body.size()};
    message.prepare_payload();
    return message;
}

} // namespace

std::unique_ptr<Connection> HttpClient::Impl::takeIdle(const std::string &peer)
{
    auto &list = this->idle[peer];
    while (!list.empty()) {
        std::unique_ptr<Connection> connection = std::move(list.back());
        list.pop_back();
        char byte = 0;
        const ssize_t got =
            ::recv(connection->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool quiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (quiet && SystemClock().now() < connection->usableUntil) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

void HttpClient::Impl::putIdle(const std::string &peer, std::unique_ptr<Connection> connection,
                               std::optional<Duration> stated)
{
    auto &list = this->idle[peer];
    const Duration unstated = this->options.unstatedIdleAge.value_or(this->options.maxIdleAge);
    const Duration usable = stated ? *stated - this->options.idleMargin : unstated;
    if (usable <= Duration::zero() || list.size() >= this->options.maxIdlePerPeer) {
        return;
    }
    connection->usableUntil = SystemClock().now() + std::min(usable, this->options.maxIdleAge);
    list.push_back(std::move(connection));
}

absl::StatusOr<std::unique_ptr<Connection>>
HttpClient::Impl::connect(const Endpoint &peer, Duration timeout, CallCanceller *canceller)
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(peer.address, error), peer.port);
    if (error) {
        return callFailure("connect", peer, error, SendProgress::NothingSent);
    }
    auto connection = std::make_unique<Connection>(this->runtime.context());
    const CancelScope scope(canceller, connection->stream);
    connection->stream.expires_after(inClock(timeout));
    const IoResult result = awaitIo(
        [&](auto handler) { connection->stream.async_connect(endpoint, std::move(handler)); });
    if (result.error) {
        return callFailure("connect", peer, result.error, SendProgress::NothingSent);
    }
    tuneSocket(connection->stream.socket());
    return connection;
}

HttpClient::HttpClient(FiberRuntime &runtime, HttpClientOptions options)
    : impl(std::make_shared<Impl>(runtime, options))
{ }

HttpClient::~HttpClient() = default;

absl::StatusOr<std::unique_ptr<HttpStream>> HttpClient::open(const Endpoint &peer,
                                                             const HttpRequest &request,
                                                             const CallOptions &options,
                                                             CallCanceller *canceller)
{
    const std::string name = peer.text();
    std::unique_ptr<Connection> connection =
        options.freshConnection ? nullptr : this->impl->takeIdle(name);
    if (!connection) {
        auto connected =
            this->impl->connect(peer, options.connectTimeout.value_or(options.timeout), canceller);
        if (!connected.ok()) {
            return connected.status();
        }
        connection = std::move(*connected);
    }
    const bool isCancelled = canceller && canceller->cancelled();
    if (isCancelled || (options.isStillWanted && !options.isStillWanted())) {
        return callFailure("connect", peer, asio::error::operation_aborted,
                           SendProgress::NothingSent);
    }
    beast::tcp_stream &stream = connection->stream;
    const CancelScope scope(canceller, stream);
    const http::request<http::span_body<const char>> message =
        toWire(peer, request, options.body.value_or(request.body));
    const TimePoint until = SystemClock().now() + options.timeout;
    stream.expires_after(inClock(options.timeout));
    this->impl->deliveryWatch.add(*connection);
    const IoResult written =
        awaitIo([&](auto handler) { http::async_write(stream, message, std::move(handler)); });
    if (written.error) {
        return callFailure("write request", peer, connection->cause(written.error),
                           SendProgress::MaybeSent);
    }
    auto answer = std::make_unique<Stream>(
        this->impl->runtime, std::move(connection), peer,
        [impl = std::weak_ptr(this->impl), name](std::unique_ptr<Connection> back,
                                                 std::optional<Duration> stated) {
            if (const auto owner = impl.lock()) {
                owner->putIdle(name, std::move(back), stated);
            }
        });
    const absl::Status header = answer->readHeader(until, options.correlation, canceller);
    if (!header.ok()) {
        return header;
    }
    return answer;
}

bool HttpClient::acceptsConnections(const Endpoint &peer, Duration timeout,
                                    CallCanceller *canceller)
{
    return this->impl->connect(peer, timeout, canceller).ok();
}

void HttpClient::closeExpired()
{
    const TimePoint now = SystemClock().now();
    for (auto &[peer, list] : this->impl->idle) {
        std::erase_if(list, [&](const std::unique_ptr<Connection> &connection) {
            return now >= connection->usableUntil;
        });
    }
    std::erase_if(this->impl->idle, [](const auto &item) { return item.second.empty(); });
}

void HttpClient::closeIdle(const Endpoint &peer)
{
    this->impl->idle.erase(peer.text());
}

void HttpClient::setMaxIdlePerPeer(std::size_t most)
{
    this->impl->options.maxIdlePerPeer = most;
}

absl::StatusOr<HttpResponse> HttpClient::call(const Endpoint &peer, const HttpRequest &request,
                                              const CallOptions &options, CallCanceller *canceller)
{
    auto stream = this->open(peer, request, options, canceller);
    if (!stream.ok()) {
        return stream.status();
    }
    Stream &answer = static_cast<Stream &>(**stream);
    const CancelScope scope(canceller, answer.transport());
    absl::StatusOr<std::string> body =
        answer.readAll(timeUntil(answer.callUntil()), kMaxCallBytes, nullptr);
    if (!body.ok()) {
        return body.status();
    }
    return HttpResponse{(*stream)->status(), (*stream)->headers(), *std::move(body)};
}

} // namespace basilnotch
