// Polls the load of the upstreams assigned to this instance and gossips the reports. Reports for
// the other upstreams arrive by gossip.
#pragma once

#include <kernel/Plugins.h>
#include <membership/Gossip.h>
#include <settings/Settings.h>
#include <telemetry/Metrics.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basilnotch {

class FiberRuntime;

/// Last known state of an upstream. `known` is false until the first report.
struct UpstreamStatus
{
    LoadReport report;
    int loading = 0; ///< Versions whose weights are being loaded.
    bool known = false;
};

/// Receives every new report, whether polled or received by gossip.
using LoadReportHandler =
    std::function<void(UpstreamIndex, const LoadReport &, const std::vector<CacheEvent> &)>;

/// Control thread only.
class UpstreamPoller
{
public:
    UpstreamPoller(FiberRuntime &runtime, const Settings &settings, Gossip &gossip,
                   HttpClient &client, const Clock &clock, Metrics &metrics,
                   LoadReportHandler onLoadReport);

    /// Starts a poll of each upstream assigned to this instance, unless one is in progress.
    void pollRound();
    /// Applies new reports received by gossip.
    void applyRumors();
    const UpstreamStatus &status(UpstreamIndex upstream) const
    {
        return this->statuses[static_cast<std::size_t>(upstream)];
    }
    UpstreamAdapter &adapter(UpstreamIndex upstream);

private:
    bool isAssignedToSelf(const UpstreamSettings &upstream,
                          const std::vector<std::string> &names) const;
    void poll(UpstreamIndex upstream);
    void updateStatus(UpstreamIndex upstream, const LoadReport &report, int loading,
                      const std::vector<CacheEvent> &events);

    FiberRuntime &runtime;
    const Settings &settings;
    Gossip &gossip;
    const Clock &clock;
    LoadReportHandler onLoadReport;
    std::map<std::string, std::unique_ptr<UpstreamAdapter>, std::less<>> adapters;
    std::vector<UpstreamStatus> statuses;
    std::vector<bool> pollInProgress;         ///< By upstream index.
    std::vector<std::uint64_t> rumorVersions; ///< Of the last applied rumor.
    Counter &polls;
    Counter &pollFailures;
};

} // namespace basilnotch
