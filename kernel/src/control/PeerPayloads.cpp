// Payloads are arrays instead of objects, because they are sent often. A malformed payload yields
// an error instead of an exception, because the peer may run another release.
#include "PeerPayloads.h"

#include <base/MessagePack.h>

#include <nlohmann/json.hpp>

namespace basilnotch {

namespace {

using nlohmann::json;

std::string toMsgpack(const json &value)
{
    std::string text;
    json::to_msgpack(value, text);
    return text;
}

absl::Status malformedPayload(std::string_view what)
{
    return failure(absl::StatusCode::kDataLoss, what, "peer", "malformed payload");
}

/// Parses `payload` and passes it to `read`, which may use nlohmann's throwing accessors. Converts
/// their exceptions to a status.
template <typename Value, typename Read>
absl::StatusOr<Value> decodePayload(std::string_view what, std::string_view payload, Read read)
{
    if (!isBoundedMessagePack(payload)) {
        return malformedPayload(what);
    }
    const json parsed = json::from_msgpack(payload, true, false);
    if (parsed.is_discarded()) {
        return malformedPayload(what);
    }
    try {
        return read(parsed);
    } catch (const json::exception &) {
        return malformedPayload(what);
    }
}

} // namespace

std::string formatModelVersion(const ModelVersion &version)
{
    return version.model + "@" + version.version;
}

bool parseModelVersion(std::string_view text, ModelVersion *version)
{
    const std::size_t at = text.rfind('@');
    if (at == std::string_view::npos || at == 0 || at + 1 == text.size()) {
        return false;
    }
    *version = {std::string(text.substr(0, at)), std::string(text.substr(at + 1))};
    return true;
}

std::string encodeCounts(const VersionCounts &counts)
{
    json rated = json::array();
    for (const auto &[stratum, item] : counts.rated) {
        rated.push_back(json::array({stratum.task, stratum.longPrompt, item.rated, item.good}));
    }
    return toMsgpack(json::array({counts.requests, counts.errors, counts.crashes, rated}));
}

absl::StatusOr<VersionCounts> decodeCounts(std::string_view payload)
{
    return decodePayload<VersionCounts>("read counts", payload, [](const json &list) {
        VersionCounts counts;
        counts.requests = list.at(0).get<std::int64_t>();
        counts.errors = list.at(1).get<std::int64_t>();
        counts.crashes = list.at(2).get<std::int64_t>();
        for (const json &item : list.at(3)) {
            const Stratum stratum{item.at(0).get<std::string>(), item.at(1).get<bool>()};
            counts.rated[stratum] = {item.at(2).get<std::int64_t>(),
                                     item.at(3).get<std::int64_t>()};
        }
        return counts;
    });
}

std::string encodeQuality(const QualityStats::Table &table)
{
    json rows = json::array();
    for (const auto &[key, counts] : table) {
        const int flags =
            (key.longPrompt ? 1 : 0) | (key.streamed ? 2 : 0) | (key.afterFailure ? 4 : 0);
        rows.push_back(
            json::array({key.workspace, key.task, key.model, flags, counts.runs, counts.finished,
                         counts.rated, counts.good, counts.promptTokens, counts.outputTokens}));
    }
    return toMsgpack(rows);
}

absl::StatusOr<QualityStats::Table> decodeQuality(std::string_view payload)
{
    return decodePayload<QualityStats::Table>("read quality", payload, [](const json &rows) {
        QualityStats::Table table;
        for (const json &row : rows) {
            const int flags = row.at(3).get<int>();
            const QualityKey key{row.at(0).get<std::string>(),
                                 row.at(1).get<std::string>(),
                                 row.at(2).get<std::string>(),
                                 (flags & 1) != 0,
                                 (flags & 2) != 0,
                                 (flags & 4) != 0};
            table[key] = {row.at(4).get<std::int64_t>(), row.at(5).get<std::int64_t>(),
                          row.at(6).get<std::int64_t>(), row.at(7).get<std::int64_t>(),
                          row.at(8).get<std::int64_t>(), row.at(9).get<std::int64_t>()};
        }
        return table;
    });
}

std::string encodeLoad(const LoadReport &report, Duration age)
{
    json loaded = json::array();
    for (const ModelVersion &version : report.loaded) {
        loaded.push_back(formatModelVersion(version));
    }
    const auto ageMillis = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return toMsgpack(json::array({ageMillis, report.running, report.queued,
                                  report.queuedPrefillTokens, report.leaving, loaded}));
}

absl::StatusOr<LoadReport> decodeLoad(std::string_view payload, TimePoint now)
{
    return decodePayload<LoadReport>("read load", payload, [now](const json &list) {
        LoadReport report;
        report.measuredAt = now - std::chrono::milliseconds(list.at(0).get<std::int64_t>());
        report.running = list.at(1).get<int>();
        report.queued = list.at(2).get<int>();
        report.queuedPrefillTokens = list.at(3).get<double>();
        report.leaving = list.at(4).get<bool>();
        for (const json &item : list.at(5)) {
            ModelVersion version;
            if (parseModelVersion(item.get<std::string>(), &version)) {
                report.loaded.push_back(version);
            }
        }
        return report;
    });
}

std::string encodeUsage(const UsageCounts &usage)
{
    return toMsgpack(json::array({usage.requests, usage.tokens}));
}

absl::StatusOr<UsageCounts> decodeUsage(std::string_view payload)
{
    return decodePayload<UsageCounts>("read usage", payload, [](const json &list) {
        return UsageCounts{list.at(0).get<double>(), list.at(1).get<double>()};
    });
}

std::string encodeBatches(const std::vector<ReceiptBatch> &batches)
{
    json list = json::array();
    for (const ReceiptBatch &batch : batches) {
        list.push_back(
            json::array({batch.incarnation, batch.number, encodeReceipts(batch.receipts)}));
    }
    return toMsgpack(list);
}

absl::StatusOr<std::vector<ReceiptBatch>> decodeBatches(std::string_view payload)
{
    return decodePayload<std::vector<ReceiptBatch>>("read batches", payload, [](const json &list) {
        std::vector<ReceiptBatch> batches;
        for (const json &item : list) {
            ReceiptBatch batch{item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>(), {}};
            auto receipts = decodeReceipts(item.at(2).get<std::string>());
            if (receipts.ok()) {
                batch.receipts = *std::move(receipts);
                batches.push_back(std::move(batch));
            }
        }
        return batches;
    });
}

} // namespace basilnotch
