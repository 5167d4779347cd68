// Counts only grow, so a report adds its difference to the reporter's previous report.
#include <decision/VersionTally.h>

#include <algorithm>
#include <set>

namespace basilnotch {

namespace {

/// Share of a service's answers from which on a route counts by itself.
constexpr double kMinRouteShare = 0.1;
/// Evidence that such a route must show for the new version, as a log likelihood ratio.
constexpr double kMaxRouteEvidence = -0.8;
/// Evidence on all routes that makes a version probably sound, as a log likelihood ratio.
constexpr double kProbablySoundEvidence = -1.5;
/// Where the old version fails more often, the few answers of a canary show nothing by themselves.
constexpr double kMaxRouteBaseline = 0.25;

/// Counts for the route and version of `like`; zero if there are none.
AnswerCounts findCounts(const std::vector<RouteCounts> &routes, const RouteCounts &like)
{
    const auto found = std::find_if(routes.begin(), routes.end(), [&](const RouteCounts &item) {
        return item.isNew == like.isNew && item.route == like.route;
    });
    return found == routes.end() ? AnswerCounts{} : found->counts;
}

/// The answers that say something of a version's speed, with the slower ones as bad: a failure may
/// come at any time. Failures that are counted as slower too are far slower answers.
AnswerCounts speedCounts(const AnswerCounts &counts)
{
    return {std::max(counts.answers - counts.bad, counts.slower), counts.slower};
}

} // namespace

std::vector<RouteCounts> VersionTally::countIncrements(const VersionReport &report) const
{
    const auto before = this->latest.find(report.reporter);
    std::vector<RouteCounts> increments;
    for (const RouteCounts &item : report.routes) {
        const AnswerCounts known =
            before == this->latest.end() ? AnswerCounts{} : findCounts(before->second.routes, item);
        if (item.counts.answers > known.answers && item.counts.bad >= known.bad) {
            increments.push_back({item.route,
                                  item.isNew,
                                  {item.counts.answers - known.answers, item.counts.bad - known.bad,
                                   std::max<std::int64_t>(item.counts.slower - known.slower, 0)}});
        }
    }
    return increments;
}

RegressionDetectorOptions VersionTally::slowerAnswersOptions()
{
    RegressionDetectorOptions options;
    options.baselineFloor = 0.1;
    options.badFloor = 0.6;
    options.falseAlarmRate = 1e-4;
    return options;
}

void VersionTally::updateSoundness(Comparison &comparison, bool isFirst)
{
    const AnswerCounts &oldVersion = comparison.oldVersion;
    const AnswerCounts &newVersion = comparison.newVersion;
    const double bad = comparison.badLikelihood.update(oldVersion, newVersion);
    const double slower =
        comparison.slowLikelihood.update(speedCounts(oldVersion), speedCounts(newVersion));
    comparison.soundness.add(bad);
    this->all.badAnswers.add(bad);
    this->all.slowerAnswers.add(slower);
    this->followed.badAnswers.add(isFirst ? std::max(bad, 0.0) : bad);
    this->followed.slowerAnswers.add(isFirst ? std::max(slower, 0.0) : slower);
}

bool VersionTally::isSound(EvidenceScope scope) const
{
    const Evidence &evidence = scope == EvidenceScope::All ? this->all : this->followed;
    return evidence.badAnswers.isSound() && evidence.slowerAnswers.isSound()
        && this->isSoundByRoute();
}

bool VersionTally::isSoundByRoute() const
{
    const std::vector<const Comparison *> routes = this->comparedRoutes();
    return std::all_of(routes.begin(), routes.end(), [](const Comparison *comparison) {
        return comparison->soundness.evidence() <= kMaxRouteEvidence;
    });
}

std::vector<const VersionTally::Comparison *> VersionTally::comparedRoutes() const
{
    const auto answersOf = [](const Comparison &comparison) {
        return static_cast<double>(comparison.oldVersion.answers + comparison.newVersion.answers);
    };
    const auto sum = this->byRoute.find("");
    const double least = sum == this->byRoute.end() ? 0 : kMinRouteShare * answersOf(sum->second);
    std::vector<const Comparison *> compared;
    for (const auto &[route, comparison] : this->byRoute) {
        const double baseline = comparison.badLikelihood.baselineShare(comparison.oldVersion);
        if (!route.empty() && answersOf(comparison) >= least && baseline <= kMaxRouteBaseline) {
            compared.push_back(&comparison);
        }
    }
    return compared;
}

bool VersionTally::isUnsound() const
{
    const std::vector<const Comparison *> routes = this->comparedRoutes();
    return this->all.badAnswers.isUnsound()
        || std::any_of(routes.begin(), routes.end(), [](const Comparison *comparison) {
               return comparison->soundness.isUnsound();
           });
}

bool VersionTally::isProbablySound() const
{
    return this->all.badAnswers.evidence() <= kProbablySoundEvidence && this->isSoundByRoute();
}

bool VersionTally::isSuspect() const
{
    return this->all.badAnswers.evidence() > 0;
}

void VersionTally::updateDetectors(Comparison &comparison)
{
    const AnswerCounts &oldVersion = comparison.oldVersion;
    const AnswerCounts &newVersion = comparison.newVersion;
    Comparison &all = this->byRoute[""];
    const double bad = comparison.badAnswers.logRatio(oldVersion, newVersion);
    const double slower = comparison.slowerAnswers.logRatio(
        {oldVersion.answers, oldVersion.slower}, {newVersion.answers, newVersion.slower});
    for (Comparison *updated : {&comparison, &all}) {
        updated->badAnswers.add(bad);
        updated->slowerAnswers.add(slower);
    }
}

std::optional<VersionFinding> VersionTally::findingOf(const std::string &route) const
{
    const Comparison &comparison = this->byRoute.at(route);
    const bool isBad = comparison.badAnswers.isBad();
    if (!isBad && !comparison.slowerAnswers.isBad()) {
        return std::nullopt;
    }
    return VersionFinding{route, !isBad, comparison.oldVersion, comparison.newVersion};
}

std::optional<VersionFinding> VersionTally::addReport(const VersionReport &report)
{
    const std::vector<RouteCounts> increments = this->countIncrements(report);
    if (increments.empty()) {
        return std::nullopt; // A repeated report, or one older than the latest.
    }
    const bool isFirst = this->latest.insert_or_assign(report.reporter, report).second;
    std::set<std::string> changed;
    for (const RouteCounts &item : increments) {
        changed.insert(item.route);
        for (const std::string &route : {item.route, std::string()}) {
            Comparison &comparison = this->byRoute[route];
            (item.isNew ? comparison.newVersion : comparison.oldVersion).add(item.counts);
        }
    }
    for (const std::string &route : changed) {
        this->updateSoundness(this->byRoute[route], isFirst);
        this->updateDetectors(this->byRoute[route]);
    }
    changed.insert("");
    for (const std::string &route : changed) {
        const std::optional<VersionFinding> finding = this->findingOf(route);
        if (finding && !this->found) {
            this->found = true;
            return finding;
        }
    }
    return std::nullopt;
}

AnswerCounts VersionTally::total(bool isNew) const
{
    const auto all = this->byRoute.find("");
    if (all == this->byRoute.end()) {
        return {};
    }
    return isNew ? all->second.newVersion : all->second.oldVersion;
}

std::map<std::string, VersionCountsPair> VersionTally::totals() const
{
    std::map<std::string, VersionCountsPair> totals;
    for (const auto &[route, comparison] : this->byRoute) {
        totals[route] = {comparison.oldVersion, comparison.newVersion};
    }
    return totals;
}

} // namespace basilnotch
