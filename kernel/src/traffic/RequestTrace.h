// Spans of one request: the request itself and each hop below it.
#pragma once

#include <base/Clock.h>
#include <telemetry/Spans.h>

#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Starts with the caller's traceparent, ends with finish().
class RequestTrace
{
public:
    RequestTrace(const Clock &clock, SpanBuffer &buffer, std::string_view traceparent,
                 std::string name);

    /// A hop below the request, open until endHop.
    Span beginHop(std::string name) const;
    void endHop(Span hop, bool failed);
    void note(std::string key, std::string value);
    void finish(bool failed);
    const TraceContext &context() const { return this->root.context; }

private:
    const Clock &clock;
    SpanBuffer &buffer;
    Span root;
};

} // namespace basilnotch
