// Encoding of a roll-out's state as a record of the store.
#pragma once

#include <decision/RolloutSchedule.h>

#include <optional>
#include <string>

namespace basilnotch {

std::string serializeRolloutState(const RolloutState &state);
/// Empty for a malformed record.
std::optional<RolloutState> parseRolloutState(const std::string &text);

} // namespace basilnotch
