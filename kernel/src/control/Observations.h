// Events that traffic threads report to the control thread.
#pragma once

#include <decision/QualityStats.h>
#include <decision/RolloutGuard.h>
#include <decision/Router.h>
#include <decision/WorkspaceBudgets.h>

#include <string>
#include <variant>

namespace basilnotch {

/// A cascade stage of a request has ended, including the check of its answer if there was one.
struct ModelRunObservation
{
    QualityKey key;
    bool finished = false; ///< CompletionStatus::Finished, with the caller still connected.
    int promptTokens = 0;
    int outputTokens = 0;
};

/// A run of a request on an upstream has ended.
struct UpstreamRunObservation
{
    ModelVersion version;
    CompletionStatus end = CompletionStatus::Finished;
};

/// An answer was rated.
struct RatingObservation
{
    QualityKey key;
    ModelVersion version;
    bool good = false;
};

/// The rating service did not respond.
struct RatingsUnavailableObservation
{
};

/// An upstream crashed while running a request.
struct CrashObservation
{
    std::string fingerprint;
    std::string upstream;
};

/// Requests and tokens that a traffic thread has admitted since its start for a workspace with a
/// limit.
struct UsageObservation
{
    std::string reporter; ///< Instance and traffic thread.
    std::string workspace;
    UsageCounts usage;
};

using Observation = std::variant<ModelRunObservation, UpstreamRunObservation, RatingObservation,
                                 RatingsUnavailableObservation, CrashObservation, UsageObservation>;

} // namespace basilnotch
