// Debian has no OpenTelemetry C++ package; its nearest kin is the published OTLP/JSON encoding,
// which is small enough to print with Boost.JSON.
#include <telemetry/Spans.h>

#include <base/Hash.h>

#include <boost/json.hpp>

#include <algorithm>

namespace basilnotch {

namespace json = boost::json;

namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kHeaderSize = 55; // "00-" + 32 + "-" + 16 + "-01"

bool isLowerHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

json::object attribute(std::string_view key, std::string_view value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json::object printSpan(const Span &span)
{
    json::array attributes;
    for (const SpanAttribute &item : span.attributes) {
        attributes.push_back(attribute(item.key, item.value));
    }
    constexpr int kServerKind = 2;
    constexpr int kOk = 1;
    constexpr int kError = 2;
    return {{"traceId", span.context.traceId},
            {"spanId", span.context.spanId},
            {"parentSpanId", span.parentSpanId},
            {"name", span.name},
            {"kind", kServerKind},
            {"startTimeUnixNano", std::to_string(span.start.time_since_epoch().count())},
            {"endTimeUnixNano", std::to_string(span.end.time_since_epoch().count())},
            {"attributes", attributes},
            {"status", {{"code", span.failed ? kError : kOk}}}};
}

} // namespace

std::string TraceContext::header() const
{
    return "00-" + this->traceId + "-" + this->spanId + "-01";
}

TraceContext TraceContext::child() const
{
    return {this->traceId, randomHex(kSpanIdDigits / 2)};
}

TraceContext TraceContext::fromHeader(std::string_view header)
{
    const std::string_view traceId =
        header.size() == kHeaderSize ? header.substr(3, kTraceIdDigits) : "";
    const std::string_view spanId =
        header.size() == kHeaderSize ? header.substr(36, kSpanIdDigits) : "";
    const bool valid = !traceId.empty() && header.starts_with("00-") && isLowerHex(traceId)
        && isLowerHex(spanId) && traceId.find_first_not_of('0') != std::string_view::npos;
    if (!valid) {
        return {randomHex(kTraceIdDigits / 2), ""};
    }
    return {std::string(traceId), std::string(spanId)};
}

void SpanBuffer::add(Span span)
{
    const std::lock_guard lock(this->mutex);
    if (this->spans.size() >= this->capacity) {
        this->spans.pop_front();
        ++this->droppedCount;
    }
    this->spans.push_back(std::move(span));
}

std::vector<Span> SpanBuffer::take(std::size_t most)
{
    const std::lock_guard lock(this->mutex);
    const auto count = static_cast<std::ptrdiff_t>(std::min(most, this->spans.size()));
    std::vector<Span> taken(std::make_move_iterator(this->spans.begin()),
                            std::make_move_iterator(this->spans.begin() + count));
    this->spans.erase(this->spans.begin(), this->spans.begin() + count);
    return taken;
}

std::int64_t SpanBuffer::dropped() const
{
    const std::lock_guard lock(this->mutex);
    return this->droppedCount;
}

std::string printOtlp(const std::vector<Span> &spans, std::string_view instance)
{
    json::array list;
    for (const Span &span : spans) {
        list.push_back(printSpan(span));
    }
    const json::object scope{{"scope", {{"name", "basilnotch"}}}, {"spans", list}};
    const json::array resource{attribute("service.name", "basilnotch"),
                               attribute("service.instance.id", instance)};
    const json::object group{{"resource", {{"attributes", resource}}},
                             {"scopeSpans", json::array{scope}}};
    return json::serialize(json::object{{"resourceSpans", json::array{group}}});
}

} // namespace basilnotch
