// A thin layer, so that request code names hops and nothing else.
#include "RequestTrace.h"

namespace basilnotch {

RequestTrace::RequestTrace(const Clock &clock, SpanBuffer &buffer, std::string_view traceparent,
                           std::string name)
    : clock(clock)
    , buffer(buffer)
{
    const TraceContext caller = TraceContext::fromHeader(traceparent);
    this->root.context = caller.child();
    this->root.parentSpanId = caller.spanId;
    this->root.name = std::move(name);
    this->root.start = clock.wallNow();
}

Span RequestTrace::beginHop(std::string name) const
{
    Span hop;
    hop.context = this->root.context.child();
    hop.parentSpanId = this->root.context.spanId;
    hop.name = std::move(name);
    hop.start = this->clock.wallNow();
    return hop;
}

void RequestTrace::endHop(Span hop, bool failed)
{
    hop.end = this->clock.wallNow();
    hop.failed = failed;
    this->buffer.add(std::move(hop));
}

void RequestTrace::note(std::string key, std::string value)
{
    this->root.attributes.push_back({std::move(key), std::move(value)});
}

void RequestTrace::finish(bool failed)
{
    this->root.end = this->clock.wallNow();
    this->root.failed = failed;
    this->buffer.add(this->root);
}

} // namespace basilnotch
