// Messages between instances about roll-outs in progress: answer counts for the collectors, and the
// roll-outs that are held.
#pragma once

#include <base/Failure.h>
#include <decision/VersionTally.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// A roll-out whose new version gets no more traffic.
struct HeldRollout
{
    std::string service;
    std::uint64_t order = 0; ///< Version of the record that ordered it.

    friend bool operator==(const HeldRollout &, const HeldRollout &) = default;
};

/// Requests and replies use this type; `reports` is empty in a reply.
struct RolloutMessage
{
    std::vector<VersionReport> reports;
    std::vector<HeldRollout> held;
};

std::string encodeRolloutMessage(const RolloutMessage &message);
/// Returns DataLoss for a malformed message.
absl::StatusOr<RolloutMessage> decodeRolloutMessage(std::string_view text);

} // namespace basilnotch
