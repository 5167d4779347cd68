// What traffic threads tell the control thread.
#pragma once

#include <decision/QualityStats.h>
#include <decision/RolloutGuard.h>
#include <decision/Router.h>
#include <decision/WorkspaceBudgets.h>

#include <string>
#include <variant>

namespace basilnotch {

/// A model's part in a request is over, with its check if there was one.
struct ModelRunObservation
{
    QualityKey key;
    bool finished = false; ///< The caller was still there.
    int promptTokens = 0;
    int outputTokens = 0;
};

/// A run at an upstream has ended.
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

/// The rating service gave no answer.
struct RatingsUnavailableObservation
{
};

/// An upstream crashed while it ran a request.
struct CrashObservation
{
    std::string fingerprint;
    std::string upstream;
};

/// What a traffic thread has let in for a workspace with a limit.
struct UsageObservation
{
    std::string reporter; ///< Instance and traffic thread.
    std::string workspace;
    UsageCounts usage;
};

using Observation = std::variant<ModelRunObservation, UpstreamRunObservation, RatingObservation,
                                 RatingsUnavailableObservation, CrashObservation, UsageObservation>;

} // namespace basilnotch
