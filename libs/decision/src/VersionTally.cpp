// Counts only grow, so what a report adds is its difference to the latest one of its reporter.
#include <decision/VersionTally.h>

#include <algorithm>
#include <set>

namespace basilnotch {

namespace {

/// Counts that the report holds for a route and a version; zero when it holds none.
AnswerCounts countsIn(const std::vector<RouteCounts> &routes, const RouteCounts &like)
{
    const auto found = std::find_if(routes.begin(), routes.end(), [&](const RouteCounts &item) {
        return item.isNew == like.isNew && item.route == like.route;
    });
    return found == routes.end() ? AnswerCounts{} : found->counts;
}

} // namespace

std::vector<RouteCounts> VersionTally::additions(const VersionReport &report) const
{
    const auto before = this->latest.find(report.reporter);
    std::vector<RouteCounts> added;
    for (const RouteCounts &item : report.routes) {
        const AnswerCounts known =
            before == this->latest.end() ? AnswerCounts{} : countsIn(before->second.routes, item);
        if (item.counts.answers > known.answers && item.counts.bad >= known.bad) {
            added.push_back({item.route,
                             item.isNew,
                             {item.counts.answers - known.answers, item.counts.bad - known.bad}});
        }
    }
    return added;
}

std::optional<VersionFinding> VersionTally::addReport(const VersionReport &report)
{
    const std::vector<RouteCounts> added = this->additions(report);
    if (added.empty()) {
        return std::nullopt; // Repeated, or overtaken by a later report.
    }
    this->latest[report.reporter] = report;
    std::set<std::string> changed{""};
    for (const RouteCounts &item : added) {
        changed.insert(item.route);
        for (const std::string &route : {item.route, std::string()}) {
            Sides &sides = this->byRoute[route];
            (item.isNew ? sides.newVersion : sides.oldVersion).add(item.counts);
        }
    }
    for (const std::string &route : changed) {
        Sides &sides = this->byRoute[route];
        if (sides.evidence.update(sides.oldVersion, sides.newVersion) && !this->found) {
            this->found = true;
            return VersionFinding{route, sides.oldVersion, sides.newVersion};
        }
    }
    return std::nullopt;
}

} // namespace basilnotch
