// Beast does the parsing and serialising; this part adds fibers, bounds, timeouts and the watch for
// callers that go away.
#include <runtime/HttpServer.h>

#include "AwaitIo.h"
#include "SocketOptions.h"

#include <runtime/FiberRuntime.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <set>
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

HttpRequest toPlain(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
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
    Exchange(beast::tcp_stream &stream, HttpRequest &&plain, bool keepAlive, const bool &closing,
             Duration writeTimeout)
        : stream(stream)
        , plain(std::move(plain))
        , keepAlive(keepAlive)
        , closing(closing)
        , writeTimeout(writeTimeout)
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
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        this->fill(message, response.headers);
        message.body() = response.body;
        message.prepare_payload();
        const absl::Status sent = this->send("write answer", [&](auto handler) {
            http::async_write(this->stream, message, std::move(handler));
        });
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
        return this->send("write part", [&](auto handler) {
            asio::async_write(this->stream,
                              beast::buffers_cat(asio::const_buffer(asio::buffer(header)), chunk),
                              std::move(handler));
        });
    }

    absl::Status endStream(std::string_view part) override
    {
        std::string bytes = std::exchange(this->pendingHeader, {});
        if (!part.empty()) {
            bytes +=
                beast::buffers_to_string(http::make_chunk(asio::buffer(part.data(), part.size())));
        }
        bytes += beast::buffers_to_string(http::make_chunk_last());
        const absl::Status sent = this->send("write end", [&](auto handler) {
            asio::async_write(this->stream, asio::buffer(bytes), std::move(handler));
        });
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

    template <typename Initiate>
    absl::Status send(std::string_view step, Initiate initiate)
    {
        this->stream.expires_after(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(this->writeTimeout));
        const IoResult result = awaitIo(std::move(initiate));
        this->stream.expires_never();
        return result.error ? ioFailure(step, result.error) : absl::OkStatus();
    }

    beast::tcp_stream &stream;
    HttpRequest plain;
    std::shared_ptr<CallerWatch> watch = std::make_shared<CallerWatch>(this->stream.get_executor());
    bool keepAlive;
    const bool &closing;
    bool started = false;
    std::string pendingHeader; ///< Of a stream whose first part has not been sent.
    bool complete = false;     ///< The whole answer has been written.
    const Duration writeTimeout;
};

int malformedStatus(const error_code &error)
{
    constexpr int kBadRequest = 400;
    constexpr int kBodyTooLarge = 413;
    constexpr int kHeaderTooLarge = 431;
    if (error == http::error::body_limit) {
        return kBodyTooLarge;
    }
    return error == http::error::header_limit ? kHeaderTooLarge : kBadRequest;
}

bool isProtocolError(const error_code &error)
{
    return error.category() == make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    Impl(FiberRuntime &runtime, HttpServerOptions options, HttpHandler &handler)
        : runtime(runtime)
        , options(std::move(options))
        , handler(handler)
        , acceptor(runtime.context())
    { }

    void acceptLoop();
    void serve(tcp::socket socket);
    bool serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer);
    void refuse(beast::tcp_stream &stream, int status, std::string_view text);

    FiberRuntime &runtime;
    HttpServerOptions options;
    HttpHandler &handler;
    tcp::acceptor acceptor;
    std::set<beast::tcp_stream *> idle; ///< Connections that wait for a request.
    HttpServerStats stats;
    bool closingAfterAnswers = false;
    bool stopping = false; ///< Invariant: implies closingAfterAnswers.
};

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
        if (this->stats.openConnections >= this->options.maxConnections) {
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

void HttpServer::Impl::serve(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (this->serveOne(stream, buffer)) { }
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

void HttpServer::Impl::refuse(beast::tcp_stream &stream, int status, std::string_view text)
{
    Exchange exchange(stream, HttpRequest(), false, this->closingAfterAnswers,
                      this->options.writeTimeout);
    const absl::Status ignored = exchange.respond(this->handler.malformed(status, text));
    (void)ignored;
    error_code shut;
    stream.socket().shutdown(tcp::socket::shutdown_send, shut);
}

bool HttpServer::Impl::serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    const auto inClock = [](Duration value) {
        return std::chrono::duration_cast<std::chrono::steady_clock::duration>(value);
    };
    if (buffer.size() == 0) {
        // Wait without a parser, so that an idle connection costs no buffer and can be closed.
        this->idle.insert(&stream);
        stream.expires_after(inClock(this->options.bounds.idleTimeout));
        const IoResult waited = awaitIo([&](auto handler) {
            stream.async_read_some(buffer.prepare(4096), std::move(handler));
        });
        this->idle.erase(&stream);
        if (waited.error) {
            return false;
        }
        buffer.commit(waited.bytes);
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(this->options.bounds.headerBytes));
    parser.body_limit(static_cast<std::uint64_t>(this->options.bounds.bodyBytes));
    stream.expires_after(inClock(this->options.bounds.readTimeout));
    const IoResult result = awaitIo(
        [&](auto handler) { http::async_read(stream, buffer, parser, std::move(handler)); });
    stream.expires_never();
    if (result.error) {
        if (isProtocolError(result.error)) {
            this->refuse(stream, malformedStatus(result.error), result.error.message());
        }
        return false;
    }
    const bool keepAlive = parser.get().keep_alive();
    Exchange exchange(stream, toPlain(parser.release()), keepAlive, this->closingAfterAnswers,
                      this->options.writeTimeout);
    if (exchange.callerGone()) {
        this->handler.abandoned(exchange.request());
        return false;
    }
    ++this->stats.activeRequests;
    this->handler.handle(exchange);
    --this->stats.activeRequests;
    if (!exchange.answered()) {
        return false;
    }
    if (exchange.watching()) {
        error_code ignored; // The handler may have closed the connection.
        stream.socket().cancel(ignored);
    }
    return exchange.mayReuse() && !this->stopping && stream.socket().is_open();
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
    for (beast::tcp_stream *stream : impl.idle) {
        stream->cancel();
    }
}

HttpServerStats HttpServer::stats() const
{
    return this->impl->stats;
}

} // namespace basilnotch
