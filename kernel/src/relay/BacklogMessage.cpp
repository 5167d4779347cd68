// MessagePack format: [version, stage, [[instance, upstream, number, work in ms], ...],
// [[prompt, upstream], ...]].
#include "BacklogMessage.h"

#include <base/MessagePack.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr int kFormatVersion = 1;
constexpr std::size_t kMessageFields = 4;
constexpr std::size_t kBacklogUpdateFields = 4;
constexpr std::size_t kCachedPromptFields = 2;
/// No prompt takes this long; a larger value indicates a damaged message.
constexpr std::uint64_t kMaxWorkMs = 600'000;

bool isUnsignedArray(const nlohmann::json &item, std::size_t count)
{
    return item.is_array() && item.size() == count
        && std::all_of(item.begin(), item.end(),
                       [](const nlohmann::json &field) { return field.is_number_unsigned(); });
}

bool isBoundedArray(const nlohmann::json &item)
{
    return item.is_array() && item.size() <= kMaxUpdatesPerDatagram;
}

} // namespace

std::string encodeBacklog(const BacklogMessage &message)
{
    nlohmann::json backlogUpdates = nlohmann::json::array();
    for (const BacklogUpdate &update : message.backlogUpdates) {
        backlogUpdates.push_back(
            nlohmann::json::array({update.instance, update.upstream, update.number,
                                   static_cast<std::uint64_t>(wholeMillis(update.work))}));
    }
    nlohmann::json cachedPrompts = nlohmann::json::array();
    for (const PromptCacheUpdate &cachedPrompt : message.cachedPrompts) {
        cachedPrompts.push_back(
            nlohmann::json::array({cachedPrompt.prompt, cachedPrompt.upstream}));
    }
    const nlohmann::json envelope =
        nlohmann::json::array({kFormatVersion, static_cast<unsigned>(message.stage),
                               std::move(backlogUpdates), std::move(cachedPrompts)});
    std::string datagram;
    nlohmann::json::to_msgpack(envelope, datagram);
    return datagram;
}

absl::StatusOr<BacklogMessage> decodeBacklog(std::string_view datagram)
{
    const absl::Status malformed =
        failure(absl::StatusCode::kDataLoss, "read backlog", "peer", "malformed message");
    const nlohmann::json envelope = isBoundedMessagePack(datagram)
        ? nlohmann::json::from_msgpack(datagram, true, false)
        : nlohmann::json();
    const bool ok = envelope.is_array() && envelope.size() == kMessageFields
        && envelope[0] == kFormatVersion && envelope[1].is_number_unsigned()
        && envelope[1].get<unsigned>() <= static_cast<unsigned>(BacklogStage::ToMembers)
        && isBoundedArray(envelope[2]) && isBoundedArray(envelope[3]);
    if (!ok) {
        return malformed;
    }
    BacklogMessage message;
    message.stage = static_cast<BacklogStage>(envelope[1].get<unsigned>());
    message.backlogUpdates.reserve(envelope[2].size());
    for (const nlohmann::json &item : envelope[2]) {
        if (!isUnsignedArray(item, kBacklogUpdateFields)
            || item[3].get<std::uint64_t>() > kMaxWorkMs) {
            return malformed;
        }
        message.backlogUpdates.push_back(
            {item[0].get<std::uint32_t>(), item[1].get<std::uint32_t>(),
             item[2].get<std::uint32_t>(), std::chrono::milliseconds(item[3].get<std::int64_t>())});
    }
    for (const nlohmann::json &item : envelope[3]) {
        if (!isUnsignedArray(item, kCachedPromptFields)) {
            return malformed;
        }
        message.cachedPrompts.push_back(
            {item[0].get<std::uint32_t>(), item[1].get<std::uint32_t>()});
    }
    return message;
}

} // namespace basilnotch
