// Cuts a stream of server-sent events into events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basilnotch {

/// One whole event as it came, its blank line included.
struct SseEvent
{
    std::string raw;
    std::optional<std::int64_t> id;
};

/// Bounded: an event larger than kMaxEventBytes makes the reader fail.
class SseReader
{
public:
    static constexpr std::size_t kMaxEventBytes = 256 * 1024;

    /// Adds bytes; false when an event has grown too large.
    bool add(std::string_view bytes);
    /// The data of the next complete event, without "data: ".
    std::optional<std::string> next();
    /// The next complete event whatever its fields.
    std::optional<SseEvent> nextEvent();
    /// Bytes after the last complete event.
    std::string_view rest() const { return std::string_view(this->buffer).substr(this->start); }

    /// True when a complete event waits.
    bool hasNext() const { return this->buffer.find("\n\n", this->start) != std::string::npos; }

private:
    std::string buffer;
    std::size_t start = 0; ///< Bytes before it have been handed out.
};

} // namespace basilnotch
