// Trace spans: W3C traceparent in and out, one span for each hop, OTLP/JSON as export format.
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Trace and parent span of a caller.
struct TraceContext
{
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId;  ///< 16 hexadecimal digits.

    /// The W3C `traceparent` header value.
    std::string header() const;
    /// Context of a hop below this one.
    TraceContext child() const;
    /// Parses a `traceparent`; a new trace when it is absent or malformed.
    static TraceContext fromHeader(std::string_view header);
};

struct SpanAttribute
{
    std::string key;
    std::string value;
};

struct Span
{
    TraceContext context;
    std::string parentSpanId;
    std::string name;
    WallTime start;
    WallTime end;
    bool failed = false;
    std::vector<SpanAttribute> attributes;
};

/// Finished spans waiting for export. Bounded: the oldest are dropped and counted. Thread safe.
class SpanBuffer
{
public:
    explicit SpanBuffer(std::size_t capacity)
        : capacity(capacity)
    { }
    void add(Span span);
    /// Takes up to `most` spans out.
    std::vector<Span> take(std::size_t most);
    std::int64_t dropped() const;

private:
    const std::size_t capacity;
    mutable std::mutex mutex;
    std::deque<Span> spans; ///< Invariant: size() <= capacity.
    std::int64_t droppedCount = 0;
};

/// An OTLP/JSON ExportTraceServiceRequest.
std::string printOtlp(const std::vector<Span> &spans, std::string_view instance);

} // namespace basilnotch
