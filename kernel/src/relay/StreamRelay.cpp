// An upstream that resumes a stream may repeat events; those already sent to the caller are dropped
// by id.
#include "StreamRelay.h"

#include <runtime/HttpStatus.h>

namespace basilnotch {

StreamRelay::StreamRelay(HttpExchange &exchange, std::optional<std::int64_t> resumeAfter)
    : exchange(exchange)
    , lastSentId(resumeAfter)
{ }

namespace {

/// Whether every line of `event` is a comment, which upstreams send to keep a connection open.
bool isComment(std::string_view event)
{
    bool startsLine = true;
    for (const char character : event) {
        if (startsLine && character != ':' && character != '\n') {
            return false;
        }
        startsLine = character == '\n';
    }
    return true;
}

} // namespace

bool StreamRelay::drainEvents(std::string *out)
{
    while (const std::optional<SseEvent> event = this->reader.nextEvent()) {
        if (event->raw.find('\r') != std::string::npos) {
            return false; // The lines of events end with '\n'; those of another answer's head do
                          // not.
        }
        if (event->id) {
            this->lastReadId = event->id;
        } else if (this->isResuming && !isComment(event->raw)) {
            return false; // The caller may have it already.
        }
        if (event->id && this->lastSentId) {
            if (*event->id <= *this->lastSentId) {
                continue;
            }
            if (*event->id > *this->lastSentId + 1) {
                return false;
            }
        }
        if (event->id) {
            this->lastSentId = event->id;
            this->isResuming = false;
        }
        ++this->eventCount;
        *out += event->raw;
    }
    return true;
}

bool StreamRelay::send(std::string_view events, const HttpHeaders &headers)
{
    if (!this->streamBegun) {
        this->streamBegun = true;
        if (!this->exchange.beginStream(status::kOk, headers).ok()) {
            return false;
        }
    }
    return this->exchange.writeChunk(events).ok();
}

StreamOutcome StreamRelay::relay(HttpStream &answer, const HttpHeaders &headersForCaller,
                                 const StreamRelayHooks &hooks)
{
    this->reader = SseReader();
    this->lastReadId.reset();
    this->isResuming = this->streamBegun;
    bool first = true;
    while (true) {
        const Duration pause = hooks.maxPause();
        if (pause <= Duration::zero()) {
            return StreamOutcome::Interrupted;
        }
        const absl::StatusOr<std::string> chunk = answer.readSome(pause);
        if (!chunk.ok()) {
            return this->exchange.callerGone() ? StreamOutcome::CallerGone
                                               : StreamOutcome::Interrupted;
        }
        if (chunk->empty()) {
            break;
        }
        std::string events;
        const bool isContiguous = this->reader.add(*chunk) && this->drainEvents(&events);
        if (!events.empty()) {
            if (first) {
                first = false;
                hooks.onFirstEvent();
            }
            if (!this->send(events, headersForCaller)) {
                return StreamOutcome::CallerGone;
            }
        }
        if (!isContiguous) {
            return StreamOutcome::Interrupted;
        }
    }
    if (!this->reader.rest().empty()) {
        return StreamOutcome::Interrupted; // The stream ended inside an event, so it is incomplete.
    }
    if (this->lastReadId && this->lastReadId < this->lastSentId) {
        return StreamOutcome::Interrupted; // It began anew and ended before what was already sent.
    }
    if (answer.endsWithConnection() && hooks.isCutOff()) {
        return StreamOutcome::Interrupted;
    }
    if (!this->streamBegun && !this->exchange.beginStream(status::kOk, headersForCaller).ok()) {
        return StreamOutcome::CallerGone;
    }
    this->streamBegun = true;
    return this->exchange.endStream().ok() ? StreamOutcome::Complete : StreamOutcome::CallerGone;
}

} // namespace basilnotch
