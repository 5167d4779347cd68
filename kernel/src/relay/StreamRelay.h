// Relays the events of a stream to a caller, across several upstreams if necessary: complete events
// only, each exactly once, in order.
#pragma once

#include "traffic/SseReader.h"

#include <kernel/Site.h>
#include <runtime/HttpClient.h>
#include <runtime/HttpServer.h>

#include <functional>
#include <optional>

namespace basilnotch {

enum class StreamOutcome {
    Complete, ///< The upstream completed its stream, and the caller has received all of it.
    CallerGone,
    Interrupted, ///< The upstream disconnected, timed out, or sent an event that does not follow.
};

/// What a StreamRelay asks while it relays an answer.
struct StreamRelayHooks
{
    /// Called before each read; returns its timeout.
    std::function<Duration()> maxPause;
    std::function<void()> onFirstEvent;
    /// Called when the answer ends with its connection, between two events; returns whether it has
    /// been cut off there.
    std::function<bool()> isCutOff;
};

/// Relays the stream of one request.
class StreamRelay
{
public:
    /// `resumeAfter`: the last event that the caller has received from an earlier attempt of its
    /// own.
    StreamRelay(HttpExchange &exchange, std::optional<std::int64_t> resumeAfter);

    /// Relays `answer` to its end.
    StreamOutcome relay(HttpStream &answer, const HttpHeaders &headersForCaller,
                        const StreamRelayHooks &hooks);
    /// Whether anything has been sent to the caller.
    bool hasStarted() const { return this->streamBegun; }
    /// Whether an upstream can be told where to go on.
    bool canResume() const { return this->lastSentId.has_value(); }
    std::optional<std::int64_t> lastEventId() const { return this->lastSentId; }
    std::int64_t events() const { return this->eventCount; }
    /// Ends the response as incomplete.
    void abort() { this->exchange.abortStream(); }

private:
    /// Appends the reader's complete events to `out`; false before what is no event, or one that
    /// does not follow: events are missing before it, or the caller may have it already.
    bool drainEvents(std::string *out);
    bool send(std::string_view events, const HttpHeaders &headers);

    HttpExchange &exchange;
    std::optional<std::int64_t> lastSentId; ///< Id of the last event sent to the caller.
    std::int64_t eventCount = 0;
    bool streamBegun = false;
    SseReader reader;                       ///< Parses the current upstream's response.
    std::optional<std::int64_t> lastReadId; ///< Id of the last event in that response.
    bool isResuming = false; ///< That response continues a stream and has had no new event yet.
};

} // namespace basilnotch
