// The record in which a roll-out's state is stored.
#pragma once

#include <decision/RolloutSchedule.h>

#include <optional>
#include <string>

namespace basilnotch {

std::string printState(const RolloutState &state);
/// Nothing for a record that cannot be read.
std::optional<RolloutState> readState(const std::string &text);

} // namespace basilnotch
