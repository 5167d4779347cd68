// The cheapest mix of models and cascades that meets each workspace's quality target.
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
    double confidence = 0.65; ///< Standard errors that the mix stays above the target.
    double wellKnownError =
        0.03; ///< A chain whose quality is known less well counts at its lower bound.
    double ratingPassesBad = 0.08; ///< Chance that the rating service passes a bad answer.
    double ratingFailsGood = 0.06; ///< Chance that it fails a good one.
    double initialExploreShare =
        0.10; ///< Share of streamed requests sent to a model with no ratings.
    double steadyExploreShare = 0.01; ///< The same share when the model is well known.
    int minKnownRatings = 100;        ///< Ratings after which a model is well known.
};

/// Models to try in turn. All but the last are checked by the rating service before they are used.
struct Chain
{
    std::vector<std::string> models;
    friend auto operator<=>(const Chain &, const Chain &) = default;
};

/// A kind of request that is planned for.
struct RequestClass
{
    std::string workspace;
    std::string task;
    bool longPrompt = false;
    bool streamed = false;
    friend auto operator<=>(const RequestClass &, const RequestClass &) = default;
};

/// Estimate of one chain for one kind of request.
struct ChainEstimate
{
    Chain chain;
    double quality = 0; ///< Good share of finished answers; a lower bound while little is known.
    double error = 0;   ///< Standard error of `quality`.
    double cost = 0;    ///< Expected for one request, cancelled ones included.
    double finish = 1;  ///< Chance that the caller waits for the end.
};

/// A chain that is tried now and then to learn about its models.
struct ExploredChain
{
    Chain chain;
    double share = 0;
};

/// Two chains and the share of the dearer one.
struct RequestClassPlan
{
    Chain cheaper;
    Chain dearer;
    double dearerShare = 0;
    std::vector<ExploredChain> explore; ///< Invariant: the shares add up to at most 1.

    double exploreShare() const;
};

/// The plan of all cells; immutable, swapped whole.
class CascadePlan
{
public:
    /// The chain for one request; `draw` and `exploreDraw` are uniform in [0, 1). An unknown kind
    /// gets the plan of its task over all workspaces; an unknown task an empty chain.
    Chain choose(const RequestClass &key, double draw, double exploreDraw) const;
    std::map<RequestClass, RequestClassPlan> plans;
};

/// Makes plans from counts. No state: the same counts give the same plan.
class CascadePlanner
{
public:
    explicit CascadePlanner(PlannerOptions options);

    /// `ratingsAvailable` false keeps cascades with checks out, as no check would be answered.
    CascadePlan plan(const Rules &rules, const QualityStats::Table &totals,
                     bool ratingsAvailable) const;
    /// Estimates of every chain that `rule` allows, for `explain`.
    std::vector<ChainEstimate> estimate(const Rules &rules, const CascadeRule &rule,
                                        const RequestClass &cell, const QualityStats::Table &totals,
                                        bool ratingsAvailable) const;

    const PlannerOptions options;
};

} // namespace basilnotch
