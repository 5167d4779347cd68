// MessagePack encoding of rumor payloads and of receipt batches sent to peers.
//
// The decode functions return kDataLoss for a malformed payload. decodeLoad() and decodeBatches()
// skip malformed versions and receipts inside a well-formed payload.
#pragma once

#include <base/Failure.h>
#include <decision/QualityStats.h>
#include <decision/RolloutGuard.h>
#include <decision/Router.h>
#include <decision/WorkspaceBudgets.h>
#include <receipts/Receipt.h>

#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

std::string encodeCounts(const VersionCounts &counts);
absl::StatusOr<VersionCounts> decodeCounts(std::string_view payload);

std::string encodeQuality(const QualityStats::Table &table);
absl::StatusOr<QualityStats::Table> decodeQuality(std::string_view payload);

/// Encodes a load report with its age instead of its time, because the clocks of instances are not
/// comparable.
std::string encodeLoad(const LoadReport &report, Duration age);
absl::StatusOr<LoadReport> decodeLoad(std::string_view payload, TimePoint now);

std::string encodeUsage(const UsageCounts &usage);
absl::StatusOr<UsageCounts> decodeUsage(std::string_view payload);

/// Encodes parts of receipt batches for the peer that stores their copies.
std::string encodeBatches(const std::vector<ReceiptBatch> &batches);
absl::StatusOr<std::vector<ReceiptBatch>> decodeBatches(std::string_view payload);

/// Returns "model@version".
std::string formatModelVersion(const ModelVersion &version);
/// Parses "model@version". Returns false and leaves `version` unchanged if `text` is malformed.
bool parseModelVersion(std::string_view text, ModelVersion *version);

} // namespace basilnotch
