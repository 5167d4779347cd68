// Exchanges the prefill backlog of engines, the locations of cached shared prompts and the load of
// upstreams with the other instances, by datagram.
//
// On a small site each instance sends its updates to all others. On a larger site all instances
// choose the same collector for each failure domain: an instance sends to its collector, which
// forwards to the other collectors and to the instances of its own failure domain. An instance thus
// receives the batches of one collector instead of one datagram per request of every other
// instance. Of the load, each sends the latest report of each upstream, in datagrams of their own
// and at most a fixed number a second, whatever the size of the site.
#pragma once

#include "BacklogMessage.h"

#include "site/SiteView.h"

#include <decision/UpstreamPicker.h>
#include <load/LoadReportBatch.h>
#include <runtime/DatagramSocket.h>
#include <telemetry/Metrics.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basilnotch {

class FiberRuntime;

/// Destinations of an instance's updates.
struct GossipPeers
{
    bool isCollector = false;          ///< This instance is the collector of its failure domain.
    std::vector<Endpoint> collectors;  ///< Of the other failure domains.
    std::vector<Endpoint> members;     ///< Others of the failure domain, or all of a small site.
    std::optional<Endpoint> collector; ///< Unset on the collector itself and on a small site.
};

/// Computes the destinations of `self` from `directory`. All instances with the same directory
/// choose the same collectors.
GossipPeers gossipPeers(const std::string &self, const std::vector<DirectoryEntry> &directory);

/// Used on the traffic thread only, except for start().
class BacklogGossip
{
public:
    /// `runtime`, `engineEstimates`, `clock` and `metrics` must outlive this object.
    BacklogGossip(FiberRuntime &runtime, const std::string &self, const Endpoint &listen,
                  EngineEstimates &engineEstimates, const Clock &clock, Metrics &metrics);

    /// Opens the socket. Call before the runtime runs; returns the socket's error if that fails.
    absl::Status start();
    /// Updates the destinations after a change of the live instances.
    void setDirectory(const std::vector<DirectoryEntry> &directory);
    /// Schedules a send after a change of this instance's backlog.
    void onLocalChange();
    /// Announces that an engine has prefilled a shared prompt of this instance.
    void onPromptPrefilled(const PromptCacheUpdate &update);
    /// Schedules a send after news of an upstream's load or health.
    void onLoadReported() { this->scheduleLoadFlush(); }
    /// Called when reports of other instances have arrived, and with them perhaps a free slot.
    void setLoadListener(std::function<void()> listener)
    {
        this->loadListener = std::move(listener);
    }
    /// Repeats backlog updates that other instances may have missed and drops expired estimates.
    /// Call periodically.
    void refresh();

private:
    void onDatagram(std::string_view datagram);
    bool applyUpdate(const BacklogUpdate &update);
    void onLoadReports(BacklogStage stage, const std::vector<PeerLoadReport> &reports);
    void onOthersEnded(BacklogStage stage, const std::vector<EndedRequests> &ended);
    void scheduleFlush(Duration delay);
    void flush();
    void scheduleLoadFlush();
    void flushLoad();
    /// News of load to be sent at one stage.
    struct LoadBatch
    {
        LoadReportBatch reports;
        std::vector<EndedRequests> ended;

        bool empty() const { return this->reports.empty() && this->ended.empty(); }
    };
    void sendLoad(BacklogStage stage, LoadBatch &pending, const std::vector<Endpoint> &receivers);
    /// Updates to be sent at one stage.
    struct UpdateBatch
    {
        std::vector<BacklogUpdate> backlogUpdates;
        std::vector<PromptCacheUpdate> cachedPrompts;

        void add(const UpdateBatch &more);
    };
    void send(BacklogStage stage, const UpdateBatch &pending,
              const std::vector<Endpoint> &receivers);

    FiberRuntime &runtime;
    const std::string self;
    EngineEstimates &engineEstimates;
    const Clock &clock;
    DatagramSocket socket;
    Counter &sent;
    Counter &received;
    Counter &malformed;
    Counter &loadReportsSent;
    Counter &loadReportsReceived;
    GossipPeers peers;
    UpdateBatch pendingLocal; ///< Updates of this instance; backlog updates are added when sending.
    UpdateBatch pendingForCollectors; ///< Received from members, to be forwarded.
    UpdateBatch pendingForMembers;    ///< Received from any instance, to be forwarded.
    bool isFlushScheduled = false;
    LoadBatch loadForCollector;  ///< Of this instance.
    LoadBatch loadForCollectors; ///< Of this instance, or received from members.
    LoadBatch loadForMembers;    ///< Of this instance, or received from any.
    bool isLoadFlushScheduled = false;
    // Scratch buffers of flushLoad().
    std::vector<PeerLoadReport> dueReports;
    std::vector<EndedRequests> dueEnded;
    std::function<void()> loadListener = [] {};
};

} // namespace basilnotch
