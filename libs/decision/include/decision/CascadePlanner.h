// Computes the cheapest mix of models and cascades that meets the quality target of each workspace.
#pragma once

#include <decision/QualityStats.h>
#include <rules/Rules.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

struct PlannerOptions
{
    double confidence = 0.65; ///< Margin of the mix above the target, in standard errors.
    /// A chain with a larger standard error of quality counts with its lower bound.
    double maxKnownError = 0.03;
    double ratingPassesBad = 0.08; ///< Probability that the rating service passes a bad answer.
    double ratingFailsGood = 0.06; ///< Probability that the rating service fails a good answer.
    /// Share of streamed requests that explores models without ratings.
    double initialExploreShare = 0.10;
    double steadyExploreShare = 0.01; ///< The same share once the models are well known.
    int minKnownRatings = 100; ///< Number of ratings from which on a model counts as well known.
};

/// Models to be tried in order. The answers of all but the last are checked by the rating service
/// before they are used.
struct Chain
{
    std::vector<std::string> models;
    friend auto operator<=>(const Chain &, const Chain &) = default;
};

/// Class of requests with a common plan.
struct RequestClass
{
    std::string workspace;
    std::string task;
    bool longPrompt = false;
    bool streamed = false;
    friend auto operator<=>(const RequestClass &, const RequestClass &) = default;
};

/// Estimate of one chain for one request class.
struct ChainEstimate
{
    Chain chain;
    /// Share of good answers among the finished ones; a lower bound while there are few ratings.
    double quality = 0;
    double error = 0;  ///< Standard error of `quality`.
    double cost = 0;   ///< Expected cost of one request, including cancelled ones.
    double finish = 1; ///< Probability that the caller waits for the end.
};

/// A chain that is used for a small share of requests to learn about its models.
struct ExploredChain
{
    Chain chain;
    double share = 0;
};

/// A mix of two chains, and the share of the more expensive one.
struct RequestClassPlan
{
    Chain cheaper;
    Chain dearer;
    double dearerShare = 0;
    std::vector<ExploredChain> explore; ///< Invariant: the shares add up to at most 1.

    double exploreShare() const;
};

/// Plan of all request classes. Immutable once published; replaced as a whole.
class CascadePlan
{
public:
    /// Selects the chain for one request; `draw` and `exploreDraw` are uniform in [0, 1). An
    /// unknown class uses the plan of its task over all workspaces. The chain is empty if the task
    /// is unknown.
    Chain choose(const RequestClass &key, double draw, double exploreDraw) const;
    std::map<RequestClass, RequestClassPlan> plans;
};

/// Computes plans from counts. Has no state: the same counts give the same plan.
class CascadePlanner
{
public:
    explicit CascadePlanner(PlannerOptions options);

    /// If `ratingsAvailable` is false, cascades with checks are excluded, as checks would get no
    /// reply.
    CascadePlan plan(const Rules &rules, const QualityStats::Table &totals,
                     bool ratingsAvailable) const;
    /// Estimates of all chains that `rule` allows, for `explain`.
    std::vector<ChainEstimate> estimate(const Rules &rules, const CascadeRule &rule,
                                        const RequestClass &requestClass,
                                        const QualityStats::Table &totals,
                                        bool ratingsAvailable) const;

    const PlannerOptions options;
};

} // namespace basilnotch
