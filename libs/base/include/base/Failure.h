// Typed errors: an absl::Status that also names the step and the peer at which it arose.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace basilnotch {

/// Where an error arose: the step that failed and the peer it was talking to.
struct FailureSite
{
    std::string step;
    std::string peer;
};

/// An error with its site. `peer` may be empty for a local step.
absl::Status failure(absl::StatusCode code, std::string_view step, std::string_view peer,
                     std::string_view text);

/// Site of `status`; both members are empty when it has none.
FailureSite failureSite(const absl::Status &status);

/// One line for people: "step at peer: text".
std::string describe(const absl::Status &status);

/// What is known about the execution of a request that was refused or failed.
enum class RunState {
    NotRun,  ///< No upstream has seen a byte of it.
    Unknown, ///< Some upstream may have run it.
    Ran,     ///< An upstream ran it, wholly or in part.
};

/// The wire name: "not_run", "unknown" or "ran".
std::string_view runStateName(RunState state);

} // namespace basilnotch
