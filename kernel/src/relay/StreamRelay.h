// Passes the events of a stream on to a caller, across more than one upstream if need be: whole
// events only, each once, in order.
#pragma once

#include "traffic/SseReader.h"

#include <kernel/Site.h>
#include <runtime/HttpClient.h>
#include <runtime/HttpServer.h>

#include <functional>
#include <optional>

namespace basilnotch {

enum class StreamEnd {
    Complete, ///< The upstream ended its stream as complete, and the caller has all of it.
    CallerGone,
    Cut, ///< The upstream broke off, fell silent or left an event out.
};

/// One request.
class StreamRelay
{
public:
    /// `before`: the last event that the caller already has from an earlier attempt of its own.
    StreamRelay(HttpExchange &exchange, std::optional<std::int64_t> before);

    /// Relays `answer` to its end. `longestPause` is asked before each wait for bytes.
    StreamEnd relay(HttpStream &answer, const HttpHeaders &headersForCaller,
                    const std::function<Duration()> &longestPause,
                    const std::function<void()> &onFirstEvent);
    /// The caller has received something.
    bool begun() const { return this->sentAny; }
    std::optional<std::int64_t> lastEventId() const { return this->lastId; }
    std::int64_t events() const { return this->eventCount; }
    /// Ends the answer as cut short.
    void abort() { this->exchange.abortStream(); }

private:
    /// Moves complete events out of the reader; false when one is missing before them.
    bool takeEvents(std::string *out);
    bool send(std::string_view events, const HttpHeaders &headers);

    HttpExchange &exchange;
    std::optional<std::int64_t> lastId; ///< Of the last event that the caller has.
    std::int64_t eventCount = 0;
    bool sentAny = false;
    SseReader reader; ///< Of the upstream's answer at hand.
};

} // namespace basilnotch
