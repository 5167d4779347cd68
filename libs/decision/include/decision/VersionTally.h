// Sums what all instances have seen of the two versions of a service during a roll-out, and judges
// the new one. Kept by the few instances that collect for the roll-out.
//
// Answers the pattern of a fleet that restarts while a bad version is rolled out: counts that all
// tell all arrive too late, so each instance sends its own straight to the collectors.
#pragma once

#include <decision/RegressionDetector.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace basilnotch {

/// What one instance has seen of one version on one route.
struct RouteCounts
{
    std::string route;
    bool isNew = false; ///< Of the version that is rolled out.
    AnswerCounts counts;

    friend bool operator==(const RouteCounts &left, const RouteCounts &right) = default;
};

/// All that one process of an instance has seen since the roll-out was ordered; a later report of
/// the process replaces an earlier one.
struct VersionReport
{
    std::string service;
    std::uint64_t order = 0; ///< Of the roll-out.
    std::string reporter;    ///< Incarnation of the instance.
    std::vector<RouteCounts> routes;
};

/// Why a version is bad.
struct VersionFinding
{
    std::string route; ///< Empty: over all routes together.
    AnswerCounts oldVersion;
    AnswerCounts newVersion;
};

/// Of one roll-out. Control thread only.
class VersionTally
{
public:
    /// Takes a report; a finding when it shows for the first time that the new version is bad.
    /// Reports may come twice and in any order.
    std::optional<VersionFinding> addReport(const VersionReport &report);
    /// The latest reports, for an instance that begins to collect.
    const std::map<std::string, VersionReport> &reports() const { return this->latest; }

private:
    struct Sides
    {
        AnswerCounts oldVersion;
        AnswerCounts newVersion;
        RegressionDetector evidence;
    };

    /// What `report` adds to what its reporter has told before.
    std::vector<RouteCounts> additions(const VersionReport &report) const;

    std::map<std::string, VersionReport> latest; ///< By reporter.
    std::map<std::string, Sides> byRoute;        ///< "": all routes together.
    bool found = false;
};

} // namespace basilnotch
