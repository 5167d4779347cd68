// What instances say to each other about roll-outs under way: counts of answers, on their way to
// the collectors, and which roll-outs are held.
#pragma once

#include <base/Failure.h>
#include <decision/VersionTally.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// A roll-out whose new version gets nothing more.
struct HeldRollout
{
    std::string service;
    std::uint64_t order = 0;

    friend bool operator==(const HeldRollout &, const HeldRollout &) = default;
};

/// A request and its reply have the same form; a reply holds no reports.
struct RolloutMessage
{
    std::vector<VersionReport> reports;
    std::vector<HeldRollout> held;
};

std::string encodeRollout(const RolloutMessage &message);
/// DataLoss for bytes that are no such message.
absl::StatusOr<RolloutMessage> decodeRollout(std::string_view text);

} // namespace basilnotch
