// Sums the answer counts of all instances for both versions of a service during a roll-out, and
// detects a bad new version. Each of the few collector instances of the roll-out has one.
//
// While a fleet restarts, counts that all instances exchange with each other arrive too late to
// hold a bad version, so each instance sends its own counts directly to the collectors.
#pragma once

#include <decision/SoundnessDetector.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace basilnotch {

/// Answer counts of one instance for one version on one route.
struct RouteCounts
{
    std::string route;
    bool isNew = false; ///< True for the version that is rolled out.
    AnswerCounts counts;

    friend bool operator==(const RouteCounts &left, const RouteCounts &right) = default;
};

/// Totals of one instance incarnation since the roll-out was ordered; a later report of the
/// incarnation replaces an earlier one.
struct VersionReport
{
    std::string service;
    std::uint64_t order = 0; ///< Order of the roll-out.
    std::string reporter;    ///< Incarnation of the reporting instance.
    std::vector<RouteCounts> routes;
};

/// Counts of both versions.
struct VersionCountsPair
{
    AnswerCounts oldVersion;
    AnswerCounts newVersion;
};

/// Counts that show that the new version is bad.
struct VersionFinding
{
    std::string route;     ///< Empty: sum of all routes.
    bool isSlower = false; ///< Its answers are slower, not bad.
    AnswerCounts oldVersion;
    AnswerCounts newVersion;
};

/// Answers that count as evidence for a sound version. A report has totals and not the order of the
/// answers, so one that a collector gets late may hide that the version has turned bad.
enum class EvidenceScope {
    All,
    /// Without the good answers in the first report of each reporter.
    Followed,
};

/// Belongs to one roll-out. Used by the control thread only.
class VersionTally
{
public:
    /// Adds a report. Returns a finding the first time that the counts show that the new version is
    /// bad, otherwise nothing. Reports may be repeated and arrive in any order.
    std::optional<VersionFinding> addReport(const VersionReport &report);
    /// Latest report of each reporter, to be passed to an instance that becomes a collector.
    const std::map<std::string, VersionReport> &reports() const { return this->latest; }
    /// True while the counts show that the new version is no worse than the old one, and each route
    /// with much of the traffic speaks for it. Few counts show nothing.
    bool isSound(EvidenceScope scope) const;
    /// True while the counts, all together or those of a route with much of the traffic, rule out
    /// that the new version gives bad answers as seldom as the old one. Slower answers may have
    /// other reasons, such as cold caches.
    bool isUnsound() const;
    /// True while failures are rare enough to speak clearly for the new version on all routes. It
    /// asks for fewer answers than isSound(), and nothing of their speed.
    bool isProbablySound() const;
    /// True while the counts speak more for a version with a further share of bad answers than for
    /// a sound one.
    bool isSuspect() const;
    /// Counts of the new or the old version over all reporters and routes.
    AnswerCounts total(bool isNew) const;
    /// Counts over all reporters, by route; the key "" is the sum of all routes.
    std::map<std::string, VersionCountsPair> totals() const;

private:
    /// Evidence on all routes.
    struct Evidence
    {
        SoundnessDetector badAnswers;
        SoundnessDetector slowerAnswers;
    };
    struct Comparison
    {
        AnswerCounts oldVersion;
        AnswerCounts newVersion;
        RegressionDetector badAnswers;
        RegressionDetector slowerAnswers{slowerAnswersOptions()};
        AnswerLikelihood badLikelihood{kBadFloor, kAddedBadShare};
        AnswerLikelihood slowLikelihood{kSlowerFloor, kAddedSlowerShare};
        SoundnessDetector soundness; ///< Of the bad answers on this route.
    };

    static constexpr double kBadFloor = 0.05;
    static constexpr double kAddedBadShare = 0.15;
    static constexpr double kSlowerFloor = 0.1;
    static constexpr double kAddedSlowerShare = 0.35;

    /// A version that answers several times slower has few answers that are far slower than the
    /// slowest usual ones, but most of its answers are slower than most.
    static RegressionDetectorOptions slowerAnswersOptions();
    /// Updates the evidence for a sound version with the counts of a route. `isFirst`: they are
    /// from the first report of a reporter.
    void updateSoundness(Comparison &comparison, bool isFirst);
    /// Routes that count by themselves: with much of the traffic, and on which the old version does
    /// not often fail. Valid until the next report.
    std::vector<const Comparison *> comparedRoutes() const;
    /// Whether each compared route speaks for the new version.
    bool isSoundByRoute() const;
    /// Updates the detectors of a route, and those of all routes with the same evidence: routes
    /// differ in how often even a good version fails.
    void updateDetectors(Comparison &comparison);
    /// A finding if a detector of the route has found the new version to be bad.
    std::optional<VersionFinding> findingOf(const std::string &route) const;

    /// Counts in `report` that the previous report of the same reporter does not include.
    std::vector<RouteCounts> countIncrements(const VersionReport &report) const;

    std::map<std::string, VersionReport> latest; ///< By reporter.
    std::map<std::string, Comparison> byRoute;   ///< The key "" is the sum of all routes.
    Evidence all;                                ///< EvidenceScope::All.
    Evidence followed;                           ///< EvidenceScope::Followed.
    bool found = false;
};

} // namespace basilnotch
