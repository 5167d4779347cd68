// Messages are MessagePack arrays, encoded by nlohmann::json as in gossip.
#include "RolloutMessage.h"

#include <base/MessagePack.h>

#include <nlohmann/json.hpp>

#include <optional>

namespace basilnotch {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMessageFields = 2;
constexpr std::size_t kReportFields = 4;
constexpr std::size_t kCountFields = 5;
constexpr std::size_t kHeldFields = 2;

bool isArrayOf(const Json &value, std::size_t fields)
{
    return value.is_array() && value.size() == fields;
}

std::optional<RouteCounts> readCounts(const Json &value)
{
    if (!isArrayOf(value, kCountFields) || !value[0].is_string() || !value[1].is_boolean()
        || !value[2].is_number_unsigned() || !value[3].is_number_unsigned()
        || !value[4].is_number_unsigned()) {
        return std::nullopt;
    }
    return RouteCounts{
        value[0].get<std::string>(),
        value[1].get<bool>(),
        {value[2].get<std::int64_t>(), value[3].get<std::int64_t>(), value[4].get<std::int64_t>()}};
}

std::optional<VersionReport> readReport(const Json &value)
{
    if (!isArrayOf(value, kReportFields) || !value[0].is_string() || !value[1].is_number_unsigned()
        || !value[2].is_string() || !value[3].is_array()) {
        return std::nullopt;
    }
    VersionReport report{value[0].get<std::string>(),
                         value[1].get<std::uint64_t>(),
                         value[2].get<std::string>(),
                         {}};
    for (const Json &item : value[3]) {
        std::optional<RouteCounts> counts = readCounts(item);
        if (!counts) {
            return std::nullopt;
        }
        report.routes.push_back(*std::move(counts));
    }
    return report;
}

std::optional<HeldRollout> readHeld(const Json &value)
{
    if (!isArrayOf(value, kHeldFields) || !value[0].is_string() || !value[1].is_number_unsigned()) {
        return std::nullopt;
    }
    return HeldRollout{value[0].get<std::string>(), value[1].get<std::uint64_t>()};
}

template <typename Item, typename Read>
bool readAll(const Json &list, Read read, std::vector<Item> *items)
{
    for (const Json &value : list) {
        std::optional<Item> item = read(value);
        if (!item) {
            return false;
        }
        items->push_back(*std::move(item));
    }
    return true;
}

} // namespace

std::string encodeRolloutMessage(const RolloutMessage &message)
{
    Json reports = Json::array();
    for (const VersionReport &report : message.reports) {
        Json routes = Json::array();
        for (const RouteCounts &item : report.routes) {
            routes.push_back(Json::array({item.route, item.isNew,
                                          static_cast<std::uint64_t>(item.counts.answers),
                                          static_cast<std::uint64_t>(item.counts.bad),
                                          static_cast<std::uint64_t>(item.counts.slower)}));
        }
        reports.push_back(
            Json::array({report.service, report.order, report.reporter, std::move(routes)}));
    }
    Json held = Json::array();
    for (const HeldRollout &item : message.held) {
        held.push_back(Json::array({item.service, item.order}));
    }
    std::string text;
    Json::to_msgpack(Json::array({std::move(reports), std::move(held)}), text);
    return text;
}

absl::StatusOr<RolloutMessage> decodeRolloutMessage(std::string_view text)
{
    const Json value = isBoundedMessagePack(text) ? Json::from_msgpack(text, true, false) : Json();
    RolloutMessage message;
    const bool ok = isArrayOf(value, kMessageFields) && value[0].is_array() && value[1].is_array()
        && readAll(value[0], readReport, &message.reports)
        && readAll(value[1], readHeld, &message.held);
    if (!ok) {
        return failure(absl::StatusCode::kDataLoss, "decode roll-out message", "peer",
                       "malformed message");
    }
    return message;
}

} // namespace basilnotch
