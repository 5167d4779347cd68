// An upstream that goes on after a cut may repeat events; those that the caller has are dropped by
// id.
#include "StreamRelay.h"

#include <runtime/HttpStatus.h>

namespace basilnotch {

StreamRelay::StreamRelay(HttpExchange &exchange, std::optional<std::int64_t> before)
    : exchange(exchange)
    , lastId(before)
{ }

bool StreamRelay::takeEvents(std::string *out)
{
    while (const std::optional<SseEvent> event = this->reader.nextEvent()) {
        if (event->id && this->lastId) {
            if (*event->id <= *this->lastId) {
                continue;
            }
            if (*event->id > *this->lastId + 1) {
                return false;
            }
        }
        if (event->id) {
            this->lastId = event->id;
        }
        ++this->eventCount;
        *out += event->raw;
    }
    return true;
}

bool StreamRelay::send(std::string_view events, const HttpHeaders &headers)
{
    if (!this->sentAny) {
        this->sentAny = true;
        if (!this->exchange.beginStream(status::kOk, headers).ok()) {
            return false;
        }
    }
    return this->exchange.writeChunk(events).ok();
}

StreamEnd StreamRelay::relay(HttpStream &answer, const HttpHeaders &headersForCaller,
                             const std::function<Duration()> &longestPause,
                             const std::function<void()> &onFirstEvent)
{
    this->reader = SseReader();
    bool first = true;
    while (true) {
        const Duration pause = longestPause();
        if (pause <= Duration::zero()) {
            return StreamEnd::Cut;
        }
        const absl::StatusOr<std::string> part = answer.readSome(pause);
        if (!part.ok()) {
            return this->exchange.callerGone() ? StreamEnd::CallerGone : StreamEnd::Cut;
        }
        if (part->empty()) {
            break;
        }
        std::string events;
        const bool gapless = this->reader.add(*part) && this->takeEvents(&events);
        if (!events.empty()) {
            if (first) {
                first = false;
                onFirstEvent();
            }
            if (!this->send(events, headersForCaller)) {
                return StreamEnd::CallerGone;
            }
        }
        if (!gapless) {
            return StreamEnd::Cut;
        }
    }
    if (!this->reader.rest().empty()) {
        return StreamEnd::Cut; // The end came inside an event: not what the upstream meant to send.
    }
    if (!this->sentAny && !this->exchange.beginStream(status::kOk, headersForCaller).ok()) {
        return StreamEnd::CallerGone;
    }
    this->sentAny = true;
    return this->exchange.endStream().ok() ? StreamEnd::Complete : StreamEnd::CallerGone;
}

} // namespace basilnotch
