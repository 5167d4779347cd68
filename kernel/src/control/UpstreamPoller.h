// Polls the load of the upstreams that fall to this instance and passes the reports on; the others'
// reports come by gossip.
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

/// Last known state of an upstream.
struct UpstreamStatus
{
    LoadReport report;
    int loading = 0;
    bool known = false;
};

/// Receives every new report, polled or told.
using LoadReportHandler =
    std::function<void(UpstreamIndex, const LoadReport &, const std::vector<CacheEvent> &)>;

/// Control thread only.
class UpstreamPoller
{
public:
    UpstreamPoller(FiberRuntime &runtime, const Settings &settings, Gossip &gossip,
                   HttpClient &client, const Clock &clock, Metrics &metrics,
                   LoadReportHandler sink);

    /// Starts a poll of each upstream that this instance is one of the pollers of.
    void pollRound();
    /// Takes reports that gossip brought.
    void applyRumors();
    const UpstreamStatus &view(UpstreamIndex upstream) const
    {
        return this->views[static_cast<std::size_t>(upstream)];
    }
    UpstreamAdapter &kind(UpstreamIndex upstream);

private:
    bool isMine(const UpstreamSettings &upstream, const std::vector<std::string> &names) const;
    void poll(UpstreamIndex upstream);
    void take(UpstreamIndex upstream, const LoadReport &report, int loading,
              const std::vector<CacheEvent> &events);

    FiberRuntime &runtime;
    const Settings &settings;
    Gossip &gossip;
    const Clock &clock;
    LoadReportHandler sink;
    std::map<std::string, std::unique_ptr<UpstreamAdapter>, std::less<>> kinds;
    std::vector<UpstreamStatus> views;
    std::vector<bool> polling;                ///< A poll is under way.
    std::vector<std::uint64_t> rumorVersions; ///< Of the last rumor taken in.
    Counter &polls;
    Counter &pollFailures;
};

} // namespace basilnotch
