// Estimates use empirical Bayes over workspaces and prompt sizes. The choice is a linear programme
// with one constraint for each workspace and task, solved with its Lagrange multiplier: each
// request class takes the chain with the least cost minus the value of finishing and of quality,
// and the two solutions on either side of the target are mixed.
#include <decision/CascadePlanner.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <tuple>

namespace basilnotch {

namespace {

constexpr double kTypicalPrompt = 1000; // Tokens, used until runs were recorded.
constexpr double kTypicalOutput = 300;  // Tokens, used until runs were recorded.
constexpr double kPriorWeight = 2;      // Weight of the prior, in ratings.
constexpr double kPriorCheapest = 0.5;  // Assumed pass rate of the cheapest model without ratings.
// Difference between the assumed pass rates of the most expensive and the cheapest model.
constexpr double kPriorSpan = 0.4;
// Upper limit of the weight of a related group, in ratings.
constexpr double kMaxSiblingWeight = 60;
// Spread between workspaces up to this many standard deviations counts as random.
constexpr double kSpreadNoiseSigmas = 3;
constexpr double kMaxPoolWeight = 20'000;

/// Estimated share, and its weight as a number of ratings.
struct Estimate
{
    double mean = 0.5;
    double weight = kPriorWeight;

    double lower(double confidence) const
    {
        return std::max(
            0.0, this->mean - confidence * std::sqrt(this->mean * (1 - this->mean) / this->weight));
    }
};

struct Ratings
{
    double rated = 0;
    double good = 0;
};

Estimate combine(const Estimate &prior, const Ratings &ratings)
{
    const double weight = prior.weight + ratings.rated;
    return {(prior.mean * prior.weight + ratings.good) / weight, weight};
}

/// Estimates of one model for one request class.
struct ModelView
{
    Estimate pass; ///< Probability that an answer passes the rating service.
    double promptTokens = kTypicalPrompt;
    double outputTokens = kTypicalOutput;
    double completionRate = 1; ///< Probability that the caller waits for the end of the answer.
};

/// The totals, indexed for the planner.
class ObservedTotals
{
public:
    ObservedTotals(const Rules &rules, const QualityStats::Table &totals)
    {
        this->rankModels(rules);
        for (const auto &[key, counts] : totals) {
            QualityKey pooled = key;
            pooled.workspace.clear();
            this->add(pooled, key, counts);
        }
    }

    /// Number of first runs in a request class of a task, over all workspaces; the weight of the
    /// class.
    double arrivals(const std::string &task, bool longPrompt, bool streamed) const
    {
        const auto found = this->firstRuns.find({"", task, longPrompt, streamed});
        return found == this->firstRuns.end() ? 0 : found->second;
    }

    std::set<std::string> workspaces;

    ModelView view(const RequestClass &requestClass, const std::string &model,
                   bool afterFailure) const
    {
        ModelView view;
        view.pass = this->passEstimate(requestClass, model, afterFailure);
        QualityKey key{
            "",          requestClass.task, model, requestClass.longPrompt, requestClass.streamed,
            afterFailure};
        auto runs = this->runs.find(key);
        if (runs == this->runs.end() || runs->second.runs < 5) {
            key.afterFailure = false;
            runs = this->runs.find(key);
        }
        if (runs == this->runs.end() || runs->second.runs < 5) {
            runs = this->runs.find(
                {"", requestClass.task, "", requestClass.longPrompt, requestClass.streamed, false});
        }
        if (runs != this->runs.end() && runs->second.runs > 0) {
            const auto count = static_cast<double>(runs->second.runs);
            view.promptTokens = static_cast<double>(runs->second.promptTokens) / count;
            view.outputTokens = static_cast<double>(runs->second.outputTokens) / count;
            view.completionRate = static_cast<double>(runs->second.finished) / count;
        }
        return view;
    }

    double ratedFor(const std::string &task, const std::string &model, bool longPrompt) const
    {
        return find(this->pooled, {"", task, model, longPrompt, false, false}).rated
            + find(this->pooled, {"", task, model, longPrompt, false, true}).rated;
    }

private:
    using RatingKey = QualityKey; ///< `streamed` is always false, as it does not affect quality.

    /// Ranks the models by price, from 0 for the cheapest to 1.
    void rankModels(const Rules &rules)
    {
        std::map<std::string, double> prices;
        for (const ModelRule &rule : rules.models) {
            prices[rule.id.model] = rule.price.output;
        }
        for (const auto &[model, price] : prices) {
            const auto cheaper =
                std::count_if(prices.begin(), prices.end(), [ownPrice = price](const auto &other) {
                    return other.second < ownPrice;
                });
            this->ranks[model] = static_cast<double>(cheaper)
                / std::max<double>(1, static_cast<double>(prices.size()) - 1);
        }
    }

    void add(QualityKey pooledKey, const QualityKey &key, const QualityCounts &counts)
    {
        this->workspaces.insert(key.workspace);
        this->runs[pooledKey].add(counts);
        QualityKey anyModel = pooledKey;
        anyModel.model.clear();
        anyModel.afterFailure = false;
        this->runs[anyModel].add(counts);
        if (!key.afterFailure) {
            this->firstRuns[{"", key.task, key.longPrompt, key.streamed}] +=
                static_cast<double>(counts.runs);
        }
        const auto rated = static_cast<double>(counts.rated);
        const auto good = static_cast<double>(counts.good);
        pooledKey.streamed = false;
        this->pooled[pooledKey].rated += rated;
        this->pooled[pooledKey].good += good;
        RatingKey unpooledKey = key;
        unpooledKey.streamed = false;
        this->unpooled[unpooledKey].rated += rated;
        this->unpooled[unpooledKey].good += good;
        this->byWorkspace[pooledKey][key.workspace].rated += rated;
        this->byWorkspace[pooledKey][key.workspace].good += good;
    }

    static Ratings find(const std::map<RatingKey, Ratings> &map, const RatingKey &key)
    {
        const auto found = map.find(key);
        return found == map.end() ? Ratings{} : found->second;
    }

    /// Estimate over all workspaces; a group with few ratings is combined with its related groups.
    Estimate groupEstimate(RatingKey key) const
    {
        // Without ratings, a more expensive model is assumed to be better.
        const auto rank = this->ranks.find(key.model);
        Estimate prior{kPriorCheapest + kPriorSpan * (rank == this->ranks.end() ? 0 : rank->second),
                       kPriorWeight};
        if (key.longPrompt) {
            RatingKey shorter = key;
            shorter.longPrompt = false;
            prior = this->groupEstimate(shorter);
            prior.weight = std::min(prior.weight, kMaxSiblingWeight);
        }
        // The pass rate after another model's failure is evidence for the pass rate in first place,
        // and vice versa.
        RatingKey other = key;
        other.afterFailure = !key.afterFailure;
        Ratings sibling = find(this->pooled, other);
        const double scale =
            sibling.rated > kMaxSiblingWeight ? kMaxSiblingWeight / sibling.rated : 1;
        prior = combine(prior, {sibling.rated * scale, sibling.good * scale});
        return combine(prior, find(this->pooled, key));
    }

    /// Weight of the group estimate for one workspace, in ratings, from the variance between
    /// workspaces (DerSimonian and Laird).
    double poolWeight(const RatingKey &key, const Estimate &group) const
    {
        const auto found = this->byWorkspace.find(key);
        const double variance = group.mean * (1 - group.mean);
        if (found == this->byWorkspace.end() || variance <= 0) {
            return group.weight;
        }
        double spread = 0;
        double total = 0;
        double squares = 0;
        double groups = 0;
        for (const auto &[workspace, ratings] : found->second) {
            if (ratings.rated <= 0) {
                continue;
            }
            const double difference = ratings.good / ratings.rated - group.mean;
            spread += ratings.rated * difference * difference / variance;
            total += ratings.rated;
            squares += ratings.rated * ratings.rated;
            ++groups;
        }
        const double denominator = total > 0 ? total - squares / total : 0;
        const double excess = spread - (groups - 1);
        // Random variation alone exceeds the expected value by some standard deviations of the
        // chi-square distribution now and then.
        const double noise = kSpreadNoiseSigmas * std::sqrt(2 * std::max(1.0, groups - 1));
        if (denominator <= 0 || excess <= noise) {
            return std::min(group.weight, kMaxPoolWeight);
        }
        const double between = (excess - noise) * variance / denominator;
        return std::min(group.weight, variance / between);
    }

    Estimate passEstimate(const RequestClass &requestClass, const std::string &model,
                          bool afterFailure) const
    {
        const RatingKey groupKey{"",    requestClass.task, model, requestClass.longPrompt,
                                 false, afterFailure};
        Estimate group = this->groupEstimate(groupKey);
        if (requestClass.workspace.empty()) {
            return group;
        }
        RatingKey workspaceKey = groupKey;
        workspaceKey.workspace = requestClass.workspace;
        const Ratings ratings = find(this->unpooled, workspaceKey);
        const double weight = this->poolWeight(groupKey, group);
        if (weight >= group.weight) {
            return group; // Workspaces show no difference; the group includes this workspace.
        }
        group.weight = weight;
        return combine(group, ratings);
    }

    std::map<std::string, double> ranks;
    std::map<QualityKey, QualityCounts> runs;
    std::map<RequestClass, double> firstRuns;
    std::map<RatingKey, Ratings> pooled;
    std::map<RatingKey, Ratings> unpooled;
    std::map<RatingKey, std::map<std::string, Ratings>> byWorkspace;
};

double modelPrice(const Rules &rules, const std::string &model, const ModelView &view)
{
    const auto current = rules.currentVersion(model);
    const ModelRule *rule = current ? rules.findModel({model, *current}) : nullptr;
    if (!rule) {
        return 0;
    }
    constexpr double kPriceUnit = 1000; // Tokens per price unit.
    return (rule->price.prompt * view.promptTokens + rule->price.output * view.outputTokens)
        / kPriceUnit;
}

/// All non-empty subsets of `via` in their order; only single models if answers can't be checked.
std::vector<Chain> enumerateChains(const std::vector<std::string> &via, bool checked)
{
    constexpr std::size_t kMaxModels = 6;
    std::vector<Chain> chains;
    const std::size_t count = std::min(via.size(), kMaxModels);
    for (unsigned mask = 1; mask < (1U << count); ++mask) {
        Chain chain;
        for (std::size_t index = 0; index < count; ++index) {
            if ((mask >> index & 1U) != 0) {
                chain.models.push_back(via[index]);
            }
        }
        if (checked || chain.models.size() == 1) {
            chains.push_back(std::move(chain));
        }
    }
    return chains;
}

std::vector<std::string> allowedModels(const Rules &rules, const CascadeRule &rule,
                                       const std::string &workspace)
{
    std::vector<std::string> models;
    for (const std::string &model : rule.via) {
        const bool allowed = workspace.empty() || rules.findAllowedModel(workspace, model);
        if (allowed && rules.currentVersion(model)) {
            models.push_back(model);
        }
    }
    return models;
}

/// Estimate of the chain if every pass rate is `errors` standard errors below its mean.
ChainEstimate estimateAt(const Rules &rules, const Chain &chain, const RequestClass &requestClass,
                         const ObservedTotals &observed, const PlannerOptions &options,
                         double errors)
{
    const double informed = 1 - options.ratingPassesBad - options.ratingFailsGood;
    ChainEstimate estimate{chain, 0, 0, 0, 0};
    // Probability that this model is asked: no earlier answer has passed and the caller still
    // waits.
    double reach = 1;
    double finishedGood = 0;
    for (std::size_t index = 0; index < chain.models.size(); ++index) {
        const ModelView view = observed.view(requestClass, chain.models[index], index > 0);
        const double pass = view.pass.lower(errors);
        const double good = std::clamp((pass - options.ratingPassesBad) / informed, 0.0, 1.0);
        const bool last = index + 1 == chain.models.size();
        // Probability that the model has answered and the caller still waits.
        const double answered = reach * view.completionRate;
        estimate.cost += reach * modelPrice(rules, chain.models[index], view);
        estimate.finish += answered * (last ? 1 : pass);
        finishedGood += answered * good * (last ? 1 : 1 - options.ratingFailsGood);
        reach = answered * (1 - pass);
    }
    estimate.quality = estimate.finish > 0 ? finishedGood / estimate.finish : 0;
    return estimate;
}

/// A chain with a small standard error counts with its mean quality, as the mix keeps a common
/// margin for all such chains. A chain with a large standard error counts with its own lower bound,
/// so that the mix does not depend on it.
ChainEstimate estimateChain(const Rules &rules, const Chain &chain,
                            const RequestClass &requestClass, const ObservedTotals &observed,
                            const PlannerOptions &options)
{
    ChainEstimate estimate = estimateAt(rules, chain, requestClass, observed, options, 0);
    const ChainEstimate lower = estimateAt(rules, chain, requestClass, observed, options, 1);
    estimate.error = std::max(0.0, estimate.quality - lower.quality);
    if (estimate.error > options.maxKnownError) {
        estimate.quality = std::max(0.0, estimate.quality - options.confidence * estimate.error);
        estimate.error = 0;
    }
    return estimate;
}

/// Candidate chains of one request class in the linear programme of its workspace and task.
struct ClassCandidates
{
    RequestClass key;
    double weight = 0;
    std::vector<ChainEstimate> chains;
};

/// Weights of the objective: a finished answer is worth `finishValue`, and each good answer above
/// the target `lambda`.
struct Multipliers
{
    double finishValue = 0;
    double lambda = 0;
    double target = 0;
};

/// Good answers in excess of the target, per request.
double surplus(const ChainEstimate &chain, double target)
{
    return chain.finish * (chain.quality - target);
}

const ChainEstimate &bestChain(const ClassCandidates &candidates, const Multipliers &multipliers)
{
    const auto value = [&](const ChainEstimate &chain) {
        return chain.cost - multipliers.finishValue * chain.finish
            - multipliers.lambda * surplus(chain, multipliers.target);
    };
    return *std::min_element(candidates.chains.begin(), candidates.chains.end(),
                             [&](const ChainEstimate &left, const ChainEstimate &right) {
                                 return value(left) < value(right);
                             });
}

double totalSurplus(const std::vector<ClassCandidates> &classes, const Multipliers &multipliers)
{
    double sum = 0;
    for (const ClassCandidates &candidates : classes) {
        sum += candidates.weight * surplus(bestChain(candidates, multipliers), multipliers.target);
    }
    return sum;
}

/// Lower and upper bound of the smallest lambda that meets the target at `finishValue`.
std::pair<double, double> bracketLambda(const std::vector<ClassCandidates> &classes,
                                        Multipliers multipliers)
{
    constexpr double kMaxLambda = 1e7;
    constexpr double kMinLambda = 1e-6;
    constexpr int kSteps = 60;
    multipliers.lambda = 0;
    if (totalSurplus(classes, multipliers) >= 0) {
        return {0, 0};
    }
    double low = kMinLambda;
    double high = kMaxLambda;
    for (int step = 0; step < kSteps; ++step) {
        multipliers.lambda = std::sqrt(low * high);
        (totalSurplus(classes, multipliers) >= 0 ? high : low) = multipliers.lambda;
    }
    return {low, high};
}

/// Standard error of the mean quality of a mix; the errors of the chains are assumed to be
/// independent.
double mixError(const std::vector<ClassCandidates> &classes, const Multipliers &low,
                const Multipliers &high, double share)
{
    double variance = 0;
    for (const ClassCandidates &candidates : classes) {
        const double error = (1 - share) * bestChain(candidates, low).error
            + share * bestChain(candidates, high).error;
        variance += candidates.weight * candidates.weight * error * error;
    }
    return std::sqrt(variance);
}

/// Solves the linear programme and writes the two chains of each request class and their mix. The
/// objective is the cost of a finished answer, a ratio, so the value of a finished answer is
/// determined by Dinkelbach's iteration.
void solve(const std::vector<ClassCandidates> &classes, double target, double confidence,
           CascadePlan &plan)
{
    constexpr int kIterations = 6;
    Multipliers low{0, 0, target};
    Multipliers high{0, 0, target};
    double share = 1;
    for (int iteration = 0;; ++iteration) {
        std::tie(low.lambda, high.lambda) = bracketLambda(classes, low);
        const double below = totalSurplus(classes, low);
        const double above = totalSurplus(classes, high);
        share = below >= 0 ? 0 : above > below ? std::clamp(-below / (above - below), 0.0, 1.0) : 1;
        if (iteration == kIterations) {
            break;
        }
        double cost = 0;
        double finish = 0;
        for (const ClassCandidates &candidates : classes) {
            const ChainEstimate &cheaper = bestChain(candidates, low);
            const ChainEstimate &dearer = bestChain(candidates, high);
            cost += candidates.weight * ((1 - share) * cheaper.cost + share * dearer.cost);
            finish += candidates.weight * ((1 - share) * cheaper.finish + share * dearer.finish);
        }
        low.finishValue = finish > 0 ? cost / finish : 0;
        high.finishValue = low.finishValue;
        low.target = target + confidence * mixError(classes, low, high, share);
        high.target = low.target;
    }
    for (const ClassCandidates &candidates : classes) {
        RequestClassPlan &classPlan = plan.plans[candidates.key];
        classPlan.cheaper = bestChain(candidates, low).chain;
        classPlan.dearer = bestChain(candidates, high).chain;
        classPlan.dearerShare = share;
    }
}

/// Adds exploration of the models that could reduce the cost. The most expensive model is not
/// explored, as its regular use provides ratings.
void addExploration(RequestClassPlan &plan, const RequestClass &key,
                    const std::vector<std::string> &models, bool checked,
                    const ObservedTotals &observed, const PlannerOptions &options)
{
    const std::size_t cheaper = models.size() - 1;
    double minKnown = 1;
    for (std::size_t index = 0; index < cheaper; ++index) {
        const double known = std::min(1.0,
                                      observed.ratedFor(key.task, models[index], key.longPrompt)
                                          / options.minKnownRatings);
        minKnown = std::min(minKnown, known);
        if (!checked) {
            const double share =
                options.initialExploreShare * (1 - known) + options.steadyExploreShare * known;
            plan.explore.push_back({{{models[index]}}, share / static_cast<double>(cheaper)});
        }
    }
    if (checked && cheaper > 0) {
        // The complete chain does not reduce quality and provides ratings of every model in it.
        plan.explore.push_back({{models}, (1 - minKnown) + options.steadyExploreShare * minKnown});
    }
}

} // namespace

double RequestClassPlan::exploreShare() const
{
    return std::accumulate(this->explore.begin(), this->explore.end(), 0.0,
                           [](double sum, const ExploredChain &item) { return sum + item.share; });
}

Chain CascadePlan::choose(const RequestClass &key, double draw, double exploreDraw) const
{
    auto found = this->plans.find(key);
    if (found == this->plans.end()) {
        found = this->plans.find({"", key.task, key.longPrompt, key.streamed});
    }
    if (found == this->plans.end()) {
        return {};
    }
    const RequestClassPlan &plan = found->second;
    for (const ExploredChain &explored : plan.explore) {
        if (exploreDraw < explored.share) {
            return explored.chain;
        }
        exploreDraw -= explored.share;
    }
    return draw < plan.dearerShare ? plan.dearer : plan.cheaper;
}

CascadePlanner::CascadePlanner(PlannerOptions options)
    : options(options)
{ }

std::vector<ChainEstimate> CascadePlanner::estimate(const Rules &rules, const CascadeRule &rule,
                                                    const RequestClass &requestClass,
                                                    const QualityStats::Table &totals,
                                                    bool ratingsAvailable) const
{
    const ObservedTotals observed(rules, totals);
    std::vector<ChainEstimate> estimates;
    const bool checked = ratingsAvailable && !requestClass.streamed;
    for (const Chain &chain :
         enumerateChains(allowedModels(rules, rule, requestClass.workspace), checked)) {
        estimates.push_back(estimateChain(rules, chain, requestClass, observed, this->options));
    }
    return estimates;
}

CascadePlan CascadePlanner::plan(const Rules &rules, const QualityStats::Table &totals,
                                 bool ratingsAvailable) const
{
    CascadePlan plan;
    const ObservedTotals observed(rules, totals);
    std::set<std::string> workspaces = observed.workspaces;
    workspaces.insert(""); // Plan for workspaces without runs.
    for (const CascadeRule &rule : rules.cascades) {
        double total = 0;
        for (const bool longPrompt : {false, true}) {
            for (const bool streamed : {false, true}) {
                total += observed.arrivals(rule.task, longPrompt, streamed) + 1;
            }
        }
        for (const std::string &workspace : workspaces) {
            const std::vector<std::string> models = allowedModels(rules, rule, workspace);
            if (models.empty()) {
                continue;
            }
            std::vector<ClassCandidates> classes;
            for (const bool longPrompt : {false, true}) {
                for (const bool streamed : {false, true}) {
                    ClassCandidates candidates{{workspace, rule.task, longPrompt, streamed}, 0, {}};
                    candidates.weight =
                        (observed.arrivals(rule.task, longPrompt, streamed) + 1) / total;
                    for (const Chain &chain :
                         enumerateChains(models, ratingsAvailable && !streamed)) {
                        candidates.chains.push_back(
                            estimateChain(rules, chain, candidates.key, observed, this->options));
                    }
                    classes.push_back(std::move(candidates));
                }
            }
            solve(classes, rule.quality, this->options.confidence, plan);
            for (const ClassCandidates &candidates : classes) {
                const bool checked = ratingsAvailable && !candidates.key.streamed;
                addExploration(plan.plans[candidates.key], candidates.key, models, checked,
                               observed, this->options);
            }
        }
    }
    return plan;
}

} // namespace basilnotch
