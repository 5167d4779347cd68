// MessagePack format: [version, stage, [[instance, upstream, number, work in ms], ...],
// [[prompt, upstream], ...]]. Messages on load have two more parts: [[upstream, running, waiting,
// slots, pace in percent, measured pace in percent, age in ms], ...], [[instance, upstream, ended
// requests, good, failed], ...].
#include "BacklogMessage.h"

#include <base/MessagePack.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace basilnotch {

namespace {

constexpr int kFormatVersion = 1;
constexpr std::size_t kMinMessageFields = 4;
constexpr std::size_t kLoadReportsField = 4;
constexpr std::size_t kEndedField = 5;
constexpr std::size_t kLoadReportFields = 7;
constexpr std::size_t kEndedFields = 5;
constexpr std::size_t kBacklogUpdateFields = 4;
constexpr std::size_t kCachedPromptFields = 2;
/// No prompt takes this long; a larger value indicates a damaged message.
constexpr std::uint64_t kMaxWorkMs = 600'000;
/// Nor has an upstream as many requests or slots, or a pace of as many percent.
constexpr std::uint64_t kMaxLoadFigure = 1'000'000;
constexpr double kPercent = 100;

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

/// Whether a number from index `first` on is beyond any sensible figure.
bool hasExcess(const nlohmann::json &numbers, std::ptrdiff_t first)
{
    return std::any_of(numbers.begin() + first, numbers.end(), [](const nlohmann::json &number) {
        return number.get<std::uint64_t>() > kMaxLoadFigure;
    });
}

nlohmann::json encodeLoadReports(const std::vector<PeerLoadReport> &reports, TimePoint now)
{
    nlohmann::json encoded = nlohmann::json::array();
    const auto percent = [](double pace) {
        return static_cast<std::uint64_t>(std::lround(pace * kPercent));
    };
    for (const PeerLoadReport &report : reports) {
        const Duration age = std::max(now - report.seenAt, Duration::zero());
        encoded.push_back(nlohmann::json::array(
            {report.upstream, static_cast<unsigned>(report.running),
             static_cast<unsigned>(report.waiting), static_cast<unsigned>(report.slots),
             percent(report.pace), percent(report.measuredPace),
             static_cast<std::uint64_t>(wholeMillis(age))}));
    }
    return encoded;
}

std::optional<PeerLoadReport> decodeLoadReport(const nlohmann::json &item, TimePoint now)
{
    if (!isUnsignedArray(item, kLoadReportFields) || hasExcess(item, 1)) {
        return std::nullopt;
    }
    PeerLoadReport report;
    report.upstream = item[0].get<std::uint32_t>();
    report.running = item[1].get<int>();
    report.waiting = item[2].get<int>();
    report.slots = item[3].get<int>();
    report.pace = item[4].get<double>() / kPercent;
    report.measuredPace = item[5].get<double>() / kPercent;
    report.seenAt = now - std::chrono::milliseconds(item[6].get<std::int64_t>());
    return report;
}

} // namespace

std::string encodeBacklog(const BacklogMessage &message, TimePoint now)
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
    nlohmann::json envelope =
        nlohmann::json::array({kFormatVersion, static_cast<unsigned>(message.stage),
                               std::move(backlogUpdates), std::move(cachedPrompts)});
    if (!message.loadReports.empty() || !message.ended.empty()) {
        envelope.push_back(encodeLoadReports(message.loadReports, now));
        nlohmann::json ended = nlohmann::json::array();
        for (const EndedRequests &item : message.ended) {
            ended.push_back(nlohmann::json::array(
                {item.instance, item.upstream, static_cast<unsigned>(item.count),
                 static_cast<unsigned>(item.good), static_cast<unsigned>(item.failed)}));
        }
        envelope.push_back(std::move(ended));
    }
    std::string datagram;
    nlohmann::json::to_msgpack(envelope, datagram);
    return datagram;
}

absl::StatusOr<BacklogMessage> decodeBacklog(std::string_view datagram, TimePoint now)
{
    const absl::Status malformed =
        failure(absl::StatusCode::kDataLoss, "read backlog", "peer", "malformed message");
    const nlohmann::json envelope = isBoundedMessagePack(datagram)
        ? nlohmann::json::from_msgpack(datagram, true, false)
        : nlohmann::json();
    const bool ok = envelope.is_array() && envelope.size() >= kMinMessageFields
        && envelope[0] == kFormatVersion && envelope[1].is_number_unsigned()
        && envelope[1].get<unsigned>() <= static_cast<unsigned>(BacklogStage::ToMembers)
        && isBoundedArray(envelope[2]) && isBoundedArray(envelope[3])
        && (envelope.size() <= kLoadReportsField || isBoundedArray(envelope[kLoadReportsField]))
        && (envelope.size() <= kEndedField || isBoundedArray(envelope[kEndedField]));
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
    if (envelope.size() > kLoadReportsField) {
        for (const nlohmann::json &item : envelope[kLoadReportsField]) {
            const std::optional<PeerLoadReport> report = decodeLoadReport(item, now);
            if (!report) {
                return malformed;
            }
            message.loadReports.push_back(*report);
        }
    }
    if (envelope.size() > kEndedField) {
        for (const nlohmann::json &item : envelope[kEndedField]) {
            if (!isUnsignedArray(item, kEndedFields) || hasExcess(item, 2)) {
                return malformed;
            }
            message.ended.push_back({item[0].get<std::uint32_t>(), item[1].get<std::uint32_t>(),
                                     item[2].get<int>(), item[3].get<int>(), item[4].get<int>()});
        }
    }
    return message;
}

} // namespace basilnotch
