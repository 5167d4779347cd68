// HTTP/1.1 client of one FiberRuntime, with idle connections kept for each endpoint.
#pragma once

#include <base/Clock.h>
#include <base/Failure.h>
#include <memory/MemoryAccount.h>
#include <runtime/HttpMessage.h>
#include <settings/Settings.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basilnotch {

class FiberRuntime;

/// How far an exchange got before it failed: the base of every `not_run`.
enum class SendProgress {
    NothingSent, ///< No byte has left: the peer cannot have run the request.
    MaybeSent,   ///< Some bytes may have reached the peer.
};

/// Progress recorded in the status of a failed call.
SendProgress sendProgress(const absl::Status &status);

/// A header that the peer repeats in its answer. An answer with another value belongs to an earlier
/// request of the connection and is skipped.
struct Correlation
{
    std::string header;
    std::string value;
};

struct CallOptions
{
    /// For writing the request and reading the header of its answer, together.
    Duration timeout = seconds(5);
    std::optional<Duration> connectTimeout; ///< For connecting; `timeout` when absent.
    bool freshConnection = false; ///< Never use an idle connection, whose peer may have closed it.
    std::optional<Correlation> correlation;
    /// Sent instead of the request's own body, without a copy. Must outlive the call.
    std::optional<std::string_view> body;
    /// Asked once, right before the request is written; false ends the call with NothingSent.
    /// Always true when absent.
    std::function<bool()> isStillWanted;
};

struct HttpClientOptions
{
    std::size_t maxIdlePerPeer = 64;
    Duration maxIdleAge = seconds(20);
    /// A peer that names its idle timeout has its connections dropped this much earlier.
    Duration idleMargin = milliseconds(500);
    /// For a peer that names no idle timeout; maxIdleAge when absent.
    std::optional<Duration> unstatedIdleAge;
};

/// The answer of a peer, read in parts. Dropping it before its end closes the connection, which is
/// how an upstream learns that a request was cancelled.
class HttpStream
{
public:
    virtual ~HttpStream() = default;
    virtual int status() const = 0;
    virtual const HttpHeaders &headers() const = 0;
    /// Whether the answer has neither a length nor chunks: its end is that of its connection, also
    /// when the peer has crashed.
    virtual bool endsWithConnection() const = 0;
    /// The next part; empty at the end of a complete answer; an error when it was cut.
    virtual absl::StatusOr<std::string> readSome(Duration timeout) = 0;
    /// Reads to the end; an error beyond `limit` bytes. With `memory`, each part is reserved before
    /// it is read: while there is none, nothing is read, so that the peer is held back.
    virtual absl::StatusOr<std::string> readAll(Duration timeout, std::size_t limit,
                                                MemoryReservation *memory = nullptr) = 0;
    /// Closes the connection; a pending read fails. May be called from a caller-gone callback.
    virtual void close() = 0;
};

/// A handle that lets another fiber or callback of this thread abandon a call that is under way.
class CallCanceller
{
public:
    CallCanceller();
    ~CallCanceller();
    void cancel();
    bool cancelled() const;

    struct State;
    std::shared_ptr<State> state;
};

class HttpClient
{
public:
    explicit HttpClient(FiberRuntime &runtime, HttpClientOptions options = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends `request` and reads the header of the answer.
    absl::StatusOr<std::unique_ptr<HttpStream>> open(const Endpoint &peer,
                                                     const HttpRequest &request,
                                                     const CallOptions &options,
                                                     CallCanceller *canceller = nullptr);
    /// Sends `request` and reads the whole answer, at most `kMaxCallBytes`. Once the connection is
    /// there, all of this takes `options.timeout` at most.
    absl::StatusOr<HttpResponse> call(const Endpoint &peer, const HttpRequest &request,
                                      const CallOptions &options,
                                      CallCanceller *canceller = nullptr);

    /// Whether `peer` accepts connections: connects and closes at once.
    bool acceptsConnections(const Endpoint &peer, Duration timeout,
                            CallCanceller *canceller = nullptr);

    /// Closes idle connections that are not to be used again.
    void closeExpired();
    /// Closes the idle connections to `peer`.
    void closeIdle(const Endpoint &peer);
    void setMaxIdlePerPeer(std::size_t most);

    static constexpr std::size_t kMaxCallBytes = 4 * 1024 * 1024;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace basilnotch
