// Payloads of rumors as MessagePack.
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

/// A load report with its age instead of a time, as clocks of instances are not compared.
std::string encodeLoad(const LoadReport &report, Duration age);
absl::StatusOr<LoadReport> decodeLoad(std::string_view payload, TimePoint now);

std::string encodeUsage(const UsageCounts &usage);
absl::StatusOr<UsageCounts> decodeUsage(std::string_view payload);

/// Parts of receipt batches for the peer that keeps their copies.
std::string encodeBatches(const std::vector<ReceiptBatch> &batches);
absl::StatusOr<std::vector<ReceiptBatch>> decodeBatches(std::string_view payload);

/// "model@version".
std::string formatModelVersion(const ModelVersion &version);
bool parseModelVersion(std::string_view text, ModelVersion *version);

} // namespace basilnotch
