// Load reports that an instance is about to send: the latest of each upstream, bounded in number a
// second.
#pragma once

#include <base/Clock.h>
#include <load/PeerLoadReport.h>

#include <cstddef>
#include <vector>

namespace basilnotch {

struct LoadReportBatchOptions
{
    double reportsPerSecond = 250; ///< 20 bytes each: 5 KB/s.
    double maxBurst = 60;          ///< One datagram.
    /// Reports that have waited longer are dropped.
    Duration maxAge = std::chrono::milliseconds(1500);
};

/// Not thread-safe.
class LoadReportBatch
{
public:
    /// `clock` must outlive this object.
    LoadReportBatch(LoadReportBatchOptions options, const Clock &clock);

    /// Adds a report; replaces an older one of the upstream.
    void add(const PeerLoadReport &report);
    /// Removes and returns the reports that may be sent now, those that have waited longest first.
    std::vector<PeerLoadReport> take();
    bool empty() const { return this->pending.empty(); }

private:
    const LoadReportBatchOptions options;
    const Clock &clock;
    std::vector<PeerLoadReport> pending; ///< By time of arrival; at most one for each upstream.
    double allowance;                    ///< Reports that may be sent now.
    TimePoint allowedAt;                 ///< When `allowance` was computed.
};

} // namespace basilnotch
