// Only the `data` field matters to the chat format; comments and other fields are skipped.
#include "SseReader.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace basilnotch {

bool SseReader::add(std::string_view bytes)
{
    if (this->start > 0) {
        this->buffer.erase(0, this->start);
        this->start = 0;
    }
    this->buffer.append(bytes);
    return this->buffer.size() <= kMaxEventBytes;
}

namespace {

/// Value of the `id` field of an event, when it is a whole number.
std::optional<std::int64_t> eventId(std::string_view event)
{
    constexpr std::string_view kField = "id:";
    std::size_t line = 0;
    while (line < event.size()) {
        const std::size_t end = std::min(event.find('\n', line), event.size());
        std::string_view text = event.substr(line, end - line);
        if (text.starts_with(kField)) {
            text.remove_prefix(kField.size());
            std::int64_t id = 0;
            if (absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &id)) {
                return id;
            }
        }
        line = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::optional<SseEvent> SseReader::nextEvent()
{
    const std::size_t end = this->buffer.find("\n\n", this->start);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    SseEvent event;
    event.raw = this->buffer.substr(this->start, end + 2 - this->start);
    event.id = eventId(event.raw);
    this->start = end + 2;
    return event;
}

std::optional<std::string> SseReader::next()
{
    constexpr std::string_view kField = "data: ";
    while (true) {
        const std::size_t end = this->buffer.find("\n\n", this->start);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        const std::string_view event =
            std::string_view(this->buffer).substr(this->start, end - this->start);
        this->start = end + 2;
        if (event.starts_with(kField)) {
            return std::string(event.substr(kField.size()));
        }
    }
}

} // namespace basilnotch
