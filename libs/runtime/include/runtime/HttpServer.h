// An HTTP/1.1 server on one FiberRuntime: each connection is a fiber, each request one call of the
// handler, which may block that fiber. What callers send is bounded for each connection and, by a
// MemoryAccount, for all of them; a connection that makes no progress yields to those that do.
#pragma once

#include <base/Clock.h>
#include <base/Failure.h>
#include <memory/MemoryAccount.h>
#include <runtime/HttpMessage.h>
#include <settings/Settings.h>

#include <functional>
#include <memory>

namespace basilnotch {

class FiberRuntime;

/// One request and the way to answer it. Used only by the fiber that handles it.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    /// Sends a whole answer. At most one of respond and beginStream may be called, once.
    virtual absl::Status respond(const HttpResponse &response) = 0;
    /// Starts an answer in parts; its status and headers go out with the first part.
    virtual absl::Status beginStream(int status, const HttpHeaders &headers) = 0;
    /// Sends one part; fails when the caller has gone or has not read for the write timeout.
    virtual absl::Status writeChunk(std::string_view part) = 0;
    /// Ends a stream normally, with a last part if it is not empty.
    virtual absl::Status endStream(std::string_view part = {}) = 0;
    /// Ends a stream so that the caller sees it cut short: closes without the last chunk.
    virtual void abortStream() = 0;
    virtual bool answered() const = 0;
    /// Whether the caller has closed its connection. Looks at the connection itself, so that it is
    /// also right when the thread is too busy to report the close.
    virtual bool callerGone() const = 0;
    /// Calls `callback` once, on this thread, when the caller closes its connection during this
    /// exchange. It must not block. Replaces an earlier callback.
    virtual void onCallerGone(std::function<void()> callback) = 0;
    /// For the answer, while it is kept here: reserved before it is read from an upstream, released
    /// with this exchange. The connection of a caller that does not read may be closed for it.
    virtual MemoryReservation &answerMemory() = 0;
};

class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    /// Answers one request. Runs in a fiber and may block it; many calls run interleaved.
    virtual void handle(HttpExchange &exchange) = 0;
    /// Answer to a message that is not HTTP or breaks a bound, `status` is 400, 413 or 431; or that
    /// there is no memory to read, 503. It has not been handled.
    virtual HttpResponse malformed(int status, std::string_view text) = 0;
    /// The caller closed its connection before `request` was read; handle() is not called.
    virtual void abandoned(const HttpRequest &request) { (void)request; }
};

/// What one caller may send, and how long it may take.
struct HttpServerBounds
{
    int headerBytes = 16 * 1024;
    int bodyBytes = 1024 * 1024;
    Duration readTimeout = seconds(10);
    Duration idleTimeout = seconds(60);
};

struct HttpServerOptions
{
    Endpoint listen;
    int maxConnections = 4096;
    HttpServerBounds bounds;
    /// A caller that reads none of its answer for so long loses it; one that reads on, however
    /// slowly, does not.
    Duration writeTimeout = seconds(20);
    /// Not owned; outlives the server and its last connection. Without one, memory is not counted.
    MemoryAccount *memory = nullptr;
};

/// What the server turned away or holds; plain numbers of the runtime's thread.
struct HttpServerStats
{
    int openConnections = 0;
    int activeRequests = 0;
    std::int64_t refusedConnections = 0; ///< Closed at once: too many, none of which could yield.
    std::int64_t yieldedConnections = 0; ///< Closed without progress, for a new connection.
    std::int64_t yieldedBodies = 0;      ///< Ended without progress, for the memory they held.
    std::int64_t refusedBodies = 0;      ///< Refused, as there was no memory to read them.
    std::int64_t unreadAnswers = 0;      ///< Cut, as their callers read nothing.
    std::int64_t unreachableCallers = 0; ///< Connections whose callers acknowledged nothing.
};

class HttpServer
{
public:
    HttpServer(FiberRuntime &runtime, HttpServerOptions options, HttpHandler &handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and starts to accept; several servers may share one port, the kernel spreads callers.
    absl::Status start();
    /// Serves on, but asks callers to use another instance: each answer closes its connection.
    void closeAfterAnswers();
    /// New bounds for requests that begin after this call.
    void setBounds(const HttpServerBounds &bounds);
    /// Accepts no more connections; requests under way go on and idle connections are closed.
    void stopAccepting();
    HttpServerStats stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace basilnotch
