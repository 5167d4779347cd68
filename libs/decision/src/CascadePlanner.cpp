// Estimates: empirical Bayes over workspaces and prompt sizes. Choice: a linear programme with one
// constraint for each workspace and task, solved by its Lagrange multiplier: each cell takes the
// chain with the least cost less what finishing and quality are worth, and the two solutions around
// the target are mixed.
#include <decision/CascadePlanner.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <tuple>

namespace basilnotch {

namespace {

constexpr double kTypicalPrompt = 1000; // Tokens, until runs have been seen.
constexpr double kTypicalOutput = 300;  // Tokens, until runs have been seen.
constexpr double kPriorWeight = 2;      // Ratings that the prior is worth.
constexpr double kPriorLow = 0.5;       // Pass rate of a cheap model before any rating.
constexpr double kPriorSpan = 0.4;      // What the dearest model has more.
constexpr double kSiblingWeight = 60;   // Most ratings that a wider group's estimate is worth.
constexpr double kSpreadNoise = 3; // Standard deviations of the spread that are taken for chance.
constexpr double kMaxPoolWeight = 20'000;

/// Estimated share with the number of ratings that it is worth.
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

/// What the planner needs of one model in one cell.
struct ModelView
{
    Estimate pass; ///< Chance to pass the rating service.
    double promptTokens = kTypicalPrompt;
    double outputTokens = kTypicalOutput;
    double stay = 1; ///< Chance that the caller is still there at the end.
};

/// The totals, re-sorted for the questions that the planner asks.
class Evidence
{
public:
    Evidence(const Rules &rules, const QualityStats::Table &totals)
    {
        this->rankModels(rules);
        for (const auto &[key, counts] : totals) {
            QualityKey pooled = key;
            pooled.workspace.clear();
            this->add(pooled, key, counts);
        }
    }

    /// Weight of each cell of a task: its share of all finished requests' first models.
    double arrivals(const std::string &task, bool longPrompt, bool streamed) const
    {
        const auto found = this->starts.find({"", task, longPrompt, streamed});
        return found == this->starts.end() ? 0 : found->second;
    }

    std::set<std::string> workspaces;

    ModelView view(const RequestClass &cell, const std::string &model, bool afterFailure) const
    {
        ModelView view;
        view.pass = this->passEstimate(cell, model, afterFailure);
        QualityKey key{"", cell.task, model, cell.longPrompt, cell.streamed, afterFailure};
        auto runs = this->runs.find(key);
        if (runs == this->runs.end() || runs->second.runs < 5) {
            key.afterFailure = false;
            runs = this->runs.find(key);
        }
        if (runs == this->runs.end() || runs->second.runs < 5) {
            runs = this->runs.find({"", cell.task, "", cell.longPrompt, cell.streamed, false});
        }
        if (runs != this->runs.end() && runs->second.runs > 0) {
            const auto count = static_cast<double>(runs->second.runs);
            view.promptTokens = static_cast<double>(runs->second.promptTokens) / count;
            view.outputTokens = static_cast<double>(runs->second.outputTokens) / count;
            view.stay = static_cast<double>(runs->second.finished) / count;
        }
        return view;
    }

    double ratedFor(const std::string &task, const std::string &model, bool longPrompt) const
    {
        return find(this->pooled, {"", task, model, longPrompt, false, false}).rated
            + find(this->pooled, {"", task, model, longPrompt, false, true}).rated;
    }

private:
    using RatingKey = QualityKey; ///< With `streamed` always false: it does not change quality.

    /// Place of each model by price, from 0 for the cheapest to 1.
    void rankModels(const Rules &rules)
    {
        std::map<std::string, double> prices;
        for (const ModelRule &rule : rules.models) {
            prices[rule.id.model] = rule.price.output;
        }
        for (const auto &[model, price] : prices) {
            const auto cheaper =
                std::count_if(prices.begin(), prices.end(),
                              [own = price](const auto &other) { return other.second < own; });
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
            this->starts[{"", key.task, key.longPrompt, key.streamed}] +=
                static_cast<double>(counts.runs);
        }
        const auto rated = static_cast<double>(counts.rated);
        const auto good = static_cast<double>(counts.good);
        pooledKey.streamed = false;
        this->pooled[pooledKey].rated += rated;
        this->pooled[pooledKey].good += good;
        RatingKey own = key;
        own.streamed = false;
        this->own[own].rated += rated;
        this->own[own].good += good;
        this->byWorkspace[pooledKey][key.workspace].rated += rated;
        this->byWorkspace[pooledKey][key.workspace].good += good;
    }

    static Ratings find(const std::map<RatingKey, Ratings> &map, const RatingKey &key)
    {
        const auto found = map.find(key);
        return found == map.end() ? Ratings{} : found->second;
    }

    /// Group estimate over workspaces; a sparse group leans on its sibling group.
    Estimate groupEstimate(RatingKey key) const
    {
        // Without ratings, a dearer model counts as the better one.
        const auto rank = this->ranks.find(key.model);
        Estimate prior{kPriorLow + kPriorSpan * (rank == this->ranks.end() ? 0 : rank->second),
                       kPriorWeight};
        if (key.longPrompt) {
            RatingKey shorter = key;
            shorter.longPrompt = false;
            prior = this->groupEstimate(shorter);
            prior.weight = std::min(prior.weight, kSiblingWeight);
        }
        // What a model does after another's failure says something of it in first place, and back.
        RatingKey other = key;
        other.afterFailure = !key.afterFailure;
        Ratings sibling = find(this->pooled, other);
        const double scale = sibling.rated > kSiblingWeight ? kSiblingWeight / sibling.rated : 1;
        prior = combine(prior, {sibling.rated * scale, sibling.good * scale});
        return combine(prior, find(this->pooled, key));
    }

    /// DerSimonian and Laird: how many ratings the group is worth for one workspace, from how
    /// much workspaces really differ.
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
        // Chance alone gives an excess of some standard deviations of a chi-square now and then.
        const double noise = kSpreadNoise * std::sqrt(2 * std::max(1.0, groups - 1));
        if (denominator <= 0 || excess <= noise) {
            return std::min(group.weight, kMaxPoolWeight);
        }
        const double between = (excess - noise) * variance / denominator;
        return std::min(group.weight, variance / between);
    }

    Estimate passEstimate(const RequestClass &cell, const std::string &model,
                          bool afterFailure) const
    {
        const RatingKey groupKey{"", cell.task, model, cell.longPrompt, false, afterFailure};
        Estimate group = this->groupEstimate(groupKey);
        if (cell.workspace.empty()) {
            return group;
        }
        RatingKey ownKey = groupKey;
        ownKey.workspace = cell.workspace;
        const Ratings ratings = find(this->own, ownKey);
        const double weight = this->poolWeight(groupKey, group);
        if (weight >= group.weight) {
            return group; // No sign that workspaces differ: its ratings are in the group's.
        }
        group.weight = weight;
        return combine(group, ratings);
    }

    std::map<std::string, double> ranks;
    std::map<QualityKey, QualityCounts> runs;
    std::map<RequestClass, double> starts;
    std::map<RatingKey, Ratings> pooled;
    std::map<RatingKey, Ratings> own;
    std::map<RatingKey, std::map<std::string, Ratings>> byWorkspace;
};

double modelPrice(const Rules &rules, const std::string &model, const ModelView &view)
{
    const auto current = rules.currentVersion(model);
    const ModelRule *rule = current ? rules.findModel({model, *current}) : nullptr;
    if (!rule) {
        return 0;
    }
    constexpr double kPriceUnit = 1000; // Tokens.
    return (rule->price.prompt * view.promptTokens + rule->price.output * view.outputTokens)
        / kPriceUnit;
}

/// All non-empty subsets of `via` in order; only single models when answers can't be checked.
std::vector<Chain> chainsOf(const std::vector<std::string> &via, bool checked)
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

/// The chain's figures when every pass rate is `errors` standard errors below its estimate.
ChainEstimate estimateAt(const Rules &rules, const Chain &chain, const RequestClass &cell,
                         const Evidence &evidence, const PlannerOptions &options, double errors)
{
    const double informed = 1 - options.ratingPassesBad - options.ratingFailsGood;
    ChainEstimate estimate{chain, 0, 0, 0, 0};
    double reach = 1; // Chance that this model is asked: nothing passed yet, the caller is there.
    double finishedGood = 0;
    for (std::size_t index = 0; index < chain.models.size(); ++index) {
        const ModelView view = evidence.view(cell, chain.models[index], index > 0);
        const double pass = view.pass.lower(errors);
        const double good = std::clamp((pass - options.ratingPassesBad) / informed, 0.0, 1.0);
        const bool last = index + 1 == chain.models.size();
        const double ends = reach * view.stay; // The model has answered and the caller is there.
        estimate.cost += reach * modelPrice(rules, chain.models[index], view);
        estimate.finish += ends * (last ? 1 : pass);
        finishedGood += ends * good * (last ? 1 : 1 - options.ratingFailsGood);
        reach = ends * (1 - pass);
    }
    estimate.quality = estimate.finish > 0 ? finishedGood / estimate.finish : 0;
    return estimate;
}

/// A well-known chain counts at its mean, and the mix keeps a margin for all of them together; a
/// chain that is known poorly counts at its own lower bound, so that the mix can't lean on it.
ChainEstimate estimateChain(const Rules &rules, const Chain &chain, const RequestClass &cell,
                            const Evidence &evidence, const PlannerOptions &options)
{
    ChainEstimate estimate = estimateAt(rules, chain, cell, evidence, options, 0);
    const ChainEstimate lower = estimateAt(rules, chain, cell, evidence, options, 1);
    estimate.error = std::max(0.0, estimate.quality - lower.quality);
    if (estimate.error > options.wellKnownError) {
        estimate.quality = std::max(0.0, estimate.quality - options.confidence * estimate.error);
        estimate.error = 0;
    }
    return estimate;
}

/// One kind of request in the programme of its workspace and task.
struct Cell
{
    RequestClass key;
    double weight = 0;
    std::vector<ChainEstimate> chains;
};

/// What the programme trades off: a finished answer is worth `finishValue`, and each good one above
/// the target `lambda`.
struct Prices
{
    double finishValue = 0;
    double lambda = 0;
    double target = 0;
};

/// Good answers above what the target asks for.
double surplus(const ChainEstimate &chain, double target)
{
    return chain.finish * (chain.quality - target);
}

const ChainEstimate &bestAt(const Cell &cell, const Prices &prices)
{
    const auto value = [&](const ChainEstimate &chain) {
        return chain.cost - prices.finishValue * chain.finish
            - prices.lambda * surplus(chain, prices.target);
    };
    return *std::min_element(cell.chains.begin(), cell.chains.end(),
                             [&](const ChainEstimate &left, const ChainEstimate &right) {
                                 return value(left) < value(right);
                             });
}

double totalSurplus(const std::vector<Cell> &plans, const Prices &prices)
{
    double sum = 0;
    for (const Cell &cell : plans) {
        sum += cell.weight * surplus(bestAt(cell, prices), prices.target);
    }
    return sum;
}

/// Smallest lambda that meets the target at `finishValue`, between the two results.
std::pair<double, double> bracketLambda(const std::vector<Cell> &plans, Prices prices)
{
    constexpr double kMaxLambda = 1e7;
    constexpr double kMinLambda = 1e-6;
    constexpr int kSteps = 60;
    prices.lambda = 0;
    if (totalSurplus(plans, prices) >= 0) {
        return {0, 0};
    }
    double low = kMinLambda;
    double high = kMaxLambda;
    for (int step = 0; step < kSteps; ++step) {
        prices.lambda = std::sqrt(low * high);
        (totalSurplus(plans, prices) >= 0 ? high : low) = prices.lambda;
    }
    return {low, high};
}

/// Standard error of the mean quality of a mix; the chains' errors are taken as independent.
double mixError(const std::vector<Cell> &plans, const Prices &low, const Prices &high, double share)
{
    double variance = 0;
    for (const Cell &cell : plans) {
        const double error =
            (1 - share) * bestAt(cell, low).error + share * bestAt(cell, high).error;
        variance += cell.weight * cell.weight * error * error;
    }
    return std::sqrt(variance);
}

/// Solves the programme and writes each cell's two chains and their mix. The objective is the cost
/// of a finished answer, a ratio, so the value of a finish is found by Dinkelbach's iteration.
void solve(const std::vector<Cell> &plans, double target, double confidence, CascadePlan &plan)
{
    constexpr int kIterations = 6;
    Prices low{0, 0, target};
    Prices high{0, 0, target};
    double share = 1;
    for (int iteration = 0;; ++iteration) {
        std::tie(low.lambda, high.lambda) = bracketLambda(plans, low);
        const double below = totalSurplus(plans, low);
        const double above = totalSurplus(plans, high);
        share = below >= 0 ? 0 : above > below ? std::clamp(-below / (above - below), 0.0, 1.0) : 1;
        if (iteration == kIterations) {
            break;
        }
        double cost = 0;
        double finish = 0;
        for (const Cell &cell : plans) {
            const ChainEstimate &cheaper = bestAt(cell, low);
            const ChainEstimate &dearer = bestAt(cell, high);
            cost += cell.weight * ((1 - share) * cheaper.cost + share * dearer.cost);
            finish += cell.weight * ((1 - share) * cheaper.finish + share * dearer.finish);
        }
        low.finishValue = finish > 0 ? cost / finish : 0;
        high.finishValue = low.finishValue;
        low.target = target + confidence * mixError(plans, low, high, share);
        high.target = low.target;
    }
    for (const Cell &cell : plans) {
        RequestClassPlan &made = plan.plans[cell.key];
        made.cheaper = bestAt(cell, low).chain;
        made.dearer = bestAt(cell, high).chain;
        made.dearerShare = share;
    }
}

/// Only models that could save money are explored: the dearest is known from its use.
void addExploration(RequestClassPlan &plan, const RequestClass &key,
                    const std::vector<std::string> &models, bool checked, const Evidence &evidence,
                    const PlannerOptions &options)
{
    const std::size_t cheaper = models.size() - 1;
    double fewest = 1;
    for (std::size_t index = 0; index < cheaper; ++index) {
        const double known = std::min(1.0,
                                      evidence.ratedFor(key.task, models[index], key.longPrompt)
                                          / options.minKnownRatings);
        fewest = std::min(fewest, known);
        if (!checked) {
            const double share =
                options.initialExploreShare * (1 - known) + options.steadyExploreShare * known;
            plan.explore.push_back({{{models[index]}}, share / static_cast<double>(cheaper)});
        }
    }
    if (checked && cheaper > 0) {
        // The whole chain costs no quality, and tells of every model in it.
        plan.explore.push_back({{models}, (1 - fewest) + options.steadyExploreShare * fewest});
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
                                                    const RequestClass &cell,
                                                    const QualityStats::Table &totals,
                                                    bool ratingsAvailable) const
{
    const Evidence evidence(rules, totals);
    std::vector<ChainEstimate> estimates;
    const bool checked = ratingsAvailable && !cell.streamed;
    for (const Chain &chain : chainsOf(allowedModels(rules, rule, cell.workspace), checked)) {
        estimates.push_back(estimateChain(rules, chain, cell, evidence, this->options));
    }
    return estimates;
}

CascadePlan CascadePlanner::plan(const Rules &rules, const QualityStats::Table &totals,
                                 bool ratingsAvailable) const
{
    CascadePlan plan;
    const Evidence evidence(rules, totals);
    std::set<std::string> workspaces = evidence.workspaces;
    workspaces.insert(""); // For workspaces not seen yet.
    for (const CascadeRule &rule : rules.cascades) {
        double total = 0;
        for (const bool longPrompt : {false, true}) {
            for (const bool streamed : {false, true}) {
                total += evidence.arrivals(rule.task, longPrompt, streamed) + 1;
            }
        }
        for (const std::string &workspace : workspaces) {
            const std::vector<std::string> models = allowedModels(rules, rule, workspace);
            if (models.empty()) {
                continue;
            }
            std::vector<Cell> plans;
            for (const bool longPrompt : {false, true}) {
                for (const bool streamed : {false, true}) {
                    Cell cell{{workspace, rule.task, longPrompt, streamed}, 0, {}};
                    cell.weight = (evidence.arrivals(rule.task, longPrompt, streamed) + 1) / total;
                    for (const Chain &chain : chainsOf(models, ratingsAvailable && !streamed)) {
                        cell.chains.push_back(
                            estimateChain(rules, chain, cell.key, evidence, this->options));
                    }
                    plans.push_back(std::move(cell));
                }
            }
            solve(plans, rule.quality, this->options.confidence, plan);
            for (const Cell &cell : plans) {
                const bool checked = ratingsAvailable && !cell.key.streamed;
                addExploration(plan.plans[cell.key], cell.key, models, checked, evidence,
                               this->options);
            }
        }
    }
    return plan;
}

} // namespace basilnotch
