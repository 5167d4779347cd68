// Keeps step and peer in the payloads of the status, so that they survive every absl::Status copy.
#include <base/Failure.h>

#include <absl/strings/cord.h>
#include <absl/strings/str_cat.h>

namespace basilnotch {

namespace {

constexpr char kStepPayload[] = "basilnotch/step";
constexpr char kPeerPayload[] = "basilnotch/peer";

std::string payload(const absl::Status &status, const char *name)
{
    const auto value = status.GetPayload(name);
    return value ? std::string(*value) : std::string();
}

} // namespace

absl::Status failure(absl::StatusCode code, std::string_view step, std::string_view peer,
                     std::string_view text)
{
    absl::Status status(code, absl::string_view(text.data(), text.size()));
    status.SetPayload(kStepPayload, absl::Cord(absl::string_view(step.data(), step.size())));
    status.SetPayload(kPeerPayload, absl::Cord(absl::string_view(peer.data(), peer.size())));
    return status;
}

FailureSite failureSite(const absl::Status &status)
{
    return {payload(status, kStepPayload), payload(status, kPeerPayload)};
}

std::string describe(const absl::Status &status)
{
    const FailureSite site = failureSite(status);
    const std::string place =
        site.peer.empty() ? site.step : absl::StrCat(site.step, " at ", site.peer);
    return absl::StrCat(place, place.empty() ? "" : ": ", std::string(status.message()));
}

std::string_view runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Ran:
        return "ran";
    }
    return "unknown";
}

} // namespace basilnotch
