// Decides when an instance reports its answer counts of a roll-out to the collectors. Failures of
// the new version are reported at once, other answers at a regular interval.
//
// Missing reports are no sign of a good version: while no collector acknowledges the answers of the
// new version from this instance, the instance sends no further work to it.
#pragma once

#include <base/Clock.h>
#include <decision/VersionTally.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace basilnotch {

struct VersionReporterOptions
{
    /// Minimum interval of reports with new failures of the new version, to combine failures that
    /// occur together. Short compared with the one or two seconds within which a bad version has to
    /// be held.
    Duration urgentInterval = std::chrono::milliseconds(100);
    /// Interval of reports without such failures.
    Duration regularInterval = std::chrono::seconds(1);
    /// With more instances than this the regular interval grows, so that the number of reports per
    /// second at a collector is bounded.
    int maxFullRateInstances = 100;
    /// Answers of the new version that no collector acknowledges for this time are overdue.
    Duration acknowledgementTimeout = std::chrono::seconds(2);
    /// A report without an acknowledgement is sent again after this time.
    Duration retryInterval = std::chrono::milliseconds(500);
};

/// Belongs to one instance and one roll-out. Used by the control thread only.
class VersionReporter
{
public:
    VersionReporter(std::string service, std::uint64_t order, std::string reporter,
                    VersionReporterOptions options, const Clock &clock);

    /// `isSlower`: see AnswerCounts::slower.
    void onAnswer(const std::string &route, bool isNew, bool isBad, bool isSlower = false);
    /// The set of collectors has changed; the new ones need a report soon.
    void onCollectorsChanged();
    /// Returns true if a report is due, and marks it as sent.
    bool markSentIfDue(int liveInstances);
    VersionReport report() const;
    /// Position of the last answer in report(), for onAcknowledged().
    std::uint64_t position() const { return this->answers; }
    /// A collector has acknowledged a report with the answers up to `position`.
    void onAcknowledged(std::uint64_t position);
    /// True while answers of the new version are unacknowledged for longer than the timeout.
    bool isReportOverdue() const;

private:
    Duration interval(int liveInstances) const;

    const std::string service;
    const std::uint64_t order;
    const std::string reporter;
    const VersionReporterOptions options;
    const Clock &clock;
    /// By route; true for the new version.
    std::map<std::pair<std::string, bool>, AnswerCounts> counts;
    std::uint64_t answers = 0;      ///< Number of answers counted so far.
    std::uint64_t lastNew = 0;      ///< Position of the newest answer of the new version.
    std::uint64_t lastNewBad = 0;   ///< Position of the newest failure of the new version.
    std::uint64_t sent = 0;         ///< Position of the last report sent.
    std::uint64_t acknowledged = 0; ///< Highest position that a collector has acknowledged.
    TimePoint sentAt{};
    /// Time of the oldest unacknowledged answer of the new version, or of the last acknowledgement
    /// if that is later.
    TimePoint unacknowledgedSince{};
};

} // namespace basilnotch
