// What one instance tells the collectors of a roll-out, and when. News that the new version failed
// go at once, the rest in a slow rhythm.
//
// No news is no evidence of good: an instance whose answers of the new version reach no collector
// gives it nothing more until one has them.
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
    /// Failures of the new version that come together go together; short against the second or two
    /// in which a bad version is to be held.
    Duration urgentPause = std::chrono::milliseconds(100);
    Duration usualPause = std::chrono::seconds(1); ///< Between reports without such failures.
    /// Instances beyond which usual reports get rarer, so that a collector takes a bounded number
    /// of them in a second.
    int fastInstances = 100;
    /// Without a collector's word for so long, answers of the new version count as untold.
    Duration patience = std::chrono::seconds(2);
    Duration retry = std::chrono::milliseconds(500); ///< A report without a reply is sent again.
};

/// Of one instance and one roll-out. Control thread only.
class VersionReporter
{
public:
    VersionReporter(std::string service, std::uint64_t order, std::string reporter,
                    VersionReporterOptions options, const Clock &clock);

    void onAnswer(const std::string &route, bool isNew, bool isBad);
    /// The collectors are others than before: they need a report soon.
    void onCollectorsChanged();
    /// True when a report is to be sent now; counts as sent.
    bool markSentIfDue(int liveInstances);
    VersionReport report() const;
    /// Which answers report() contains, for onHeard().
    std::uint64_t position() const { return this->answers; }
    /// A collector has a report that contains the answers up to `position`.
    void onAcknowledged(std::uint64_t position);
    /// True while answers of the new version have been untold for too long.
    bool isReportOverdue() const;

private:
    Duration pause(int liveInstances) const;

    const std::string service;
    const std::uint64_t order;
    const std::string reporter;
    const VersionReporterOptions options;
    const Clock &clock;
    std::map<std::pair<std::string, bool>, AnswerCounts> counts; ///< By route, true for new.
    std::uint64_t answers = 0;                                   ///< Counted so far.
    std::uint64_t lastNew = 0;    ///< Position of the newest answer of the new version.
    std::uint64_t lastNewBad = 0; ///< Position of the newest failure of the new version.
    std::uint64_t sent = 0;       ///< Position of the report sent last.
    std::uint64_t heard = 0;      ///< Position that a collector has.
    TimePoint sentAt{};
    TimePoint unheardSince{}; ///< Of the oldest answer of the new version that is untold.
};

} // namespace basilnotch
