// MessagePack: [version, stage, [[instance, upstream, number, work in ms], ...],
// [[prompt, upstream], ...]].
#include "BacklogMessage.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr int kFormat = 1;
constexpr std::size_t kMessageFields = 4;
constexpr std::size_t kNoteFields = 4;
constexpr std::size_t kPlaceFields = 2;
constexpr std::uint64_t kMostWorkMs = 600'000; // Beyond any prompt: a damaged message.

bool isNumbers(const nlohmann::json &item, std::size_t count)
{
    return item.is_array() && item.size() == count
        && std::all_of(item.begin(), item.end(),
                       [](const nlohmann::json &field) { return field.is_number_unsigned(); });
}

bool isList(const nlohmann::json &item)
{
    return item.is_array() && item.size() <= kMaxBacklogNotes;
}

} // namespace

std::string encodeBacklog(const BacklogMessage &message)
{
    nlohmann::json notes = nlohmann::json::array();
    for (const BacklogUpdate &note : message.notes) {
        notes.push_back(
            nlohmann::json::array({note.instance, note.upstream, note.number,
                                   static_cast<std::uint64_t>(wholeMillis(note.work))}));
    }
    nlohmann::json cachedPrompts = nlohmann::json::array();
    for (const PromptCacheUpdate &place : message.cachedPrompts) {
        cachedPrompts.push_back(nlohmann::json::array({place.prompt, place.upstream}));
    }
    const nlohmann::json envelope =
        nlohmann::json::array({kFormat, static_cast<unsigned>(message.stage), std::move(notes),
                               std::move(cachedPrompts)});
    std::string datagram;
    nlohmann::json::to_msgpack(envelope, datagram);
    return datagram;
}

absl::StatusOr<BacklogMessage> decodeBacklog(std::string_view datagram)
{
    const absl::Status malformed =
        failure(absl::StatusCode::kDataLoss, "read backlog", "peer", "malformed message");
    const nlohmann::json envelope = nlohmann::json::from_msgpack(datagram, true, false);
    const bool ok = envelope.is_array() && envelope.size() == kMessageFields
        && envelope[0] == kFormat && envelope[1].is_number_unsigned()
        && envelope[1].get<unsigned>() <= static_cast<unsigned>(BacklogStage::ToMembers)
        && isList(envelope[2]) && isList(envelope[3]);
    if (!ok) {
        return malformed;
    }
    BacklogMessage message;
    message.stage = static_cast<BacklogStage>(envelope[1].get<unsigned>());
    message.notes.reserve(envelope[2].size());
    for (const nlohmann::json &item : envelope[2]) {
        if (!isNumbers(item, kNoteFields) || item[3].get<std::uint64_t>() > kMostWorkMs) {
            return malformed;
        }
        message.notes.push_back({item[0].get<std::uint32_t>(), item[1].get<std::uint32_t>(),
                                 item[2].get<std::uint32_t>(),
                                 std::chrono::milliseconds(item[3].get<std::int64_t>())});
    }
    for (const nlohmann::json &item : envelope[3]) {
        if (!isNumbers(item, kPlaceFields)) {
            return malformed;
        }
        message.cachedPrompts.push_back(
            {item[0].get<std::uint32_t>(), item[1].get<std::uint32_t>()});
    }
    return message;
}

} // namespace basilnotch
