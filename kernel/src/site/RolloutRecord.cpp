// The format is JSON, so that operators can read the record in the store.
#include "RolloutRecord.h"

#include <boost/json.hpp>

#include <cstdint>
#include <limits>
#include <string_view>

namespace basilnotch {

namespace json = boost::json;

namespace {

/// Sums of two times in nanoseconds still fit.
constexpr std::int64_t kMaxNs = std::int64_t{1} << 62;

/// The whole number of that name from 0 to `most`; empty when there is none.
std::optional<std::int64_t> numberAt(const json::object &object, std::string_view name,
                                     std::int64_t most)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    if (!value || !value->is_number()) {
        return std::nullopt;
    }
    json::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    return !error && number >= 0 && number <= most ? std::optional(number) : std::nullopt;
}

std::optional<Duration> timeAt(const json::object &object, std::string_view name)
{
    const std::optional<std::int64_t> ns = numberAt(object, name, kMaxNs);
    return ns ? std::optional<Duration>(*ns) : std::nullopt;
}

} // namespace

std::string serializeRolloutState(const RolloutState &state)
{
    const auto nanos = [](Duration value) { return static_cast<std::int64_t>(value.count()); };
    json::array abandoned;
    for (const std::string &version : state.abandoned) {
        abandoned.emplace_back(version);
    }
    json::object object{{"abandoned", std::move(abandoned)},
                        {"service", state.service},
                        {"to", state.toVersion},
                        {"order", state.order},
                        {"phase", static_cast<int>(state.phase)},
                        {"startedNs", nanos(state.startedAt)},
                        {"deadlineNs", nanos(state.deadline)}};
    if (state.approvedAt) {
        object["approvedNs"] = nanos(*state.approvedAt);
    }
    return json::serialize(object);
}

std::optional<RolloutState> parseRolloutState(const std::string &text)
{
    json::error_code error;
    const json::value document = json::parse(text, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    const json::object &object = document.as_object();
    const json::value *service = object.if_contains("service");
    const json::value *version = object.if_contains("to");
    const auto order = numberAt(object, "order", std::numeric_limits<std::int64_t>::max());
    const auto phase = numberAt(object, "phase", static_cast<int>(RolloutPhase::Reverted));
    const auto startedAt = timeAt(object, "startedNs");
    const auto deadline = timeAt(object, "deadlineNs");
    if (!service || !service->is_string() || !version || !version->is_string() || !order || !phase
        || !startedAt || !deadline) {
        return std::nullopt;
    }
    RolloutState state;
    state.service = std::string(service->as_string());
    state.toVersion = std::string(version->as_string());
    state.order = static_cast<std::uint64_t>(*order);
    state.phase = static_cast<RolloutPhase>(*phase);
    state.startedAt = *startedAt;
    state.deadline = *deadline;
    state.approvedAt = timeAt(object, "approvedNs");
    const json::value *abandoned = object.if_contains("abandoned");
    if (abandoned && abandoned->is_array()) {
        for (const json::value &item : abandoned->as_array()) {
            if (item.is_string()) {
                state.abandoned.emplace_back(item.as_string());
            }
        }
    }
    return state;
}

} // namespace basilnotch
