// Tells the other instances of this one's unread prompts and of where shared prompts have been
// read, and passes on what others tell.
//
// On a small site every instance tells every other one. On a larger one each failure domain has a
// collector, chosen alike by all of its instances: an instance tells its collector, which tells the
// other collectors and the instances of its own failure domain. So an instance receives what one
// collector gathers, not a datagram for each request of each other instance.
#pragma once

#include "BacklogMessage.h"

#include "site/SiteView.h"

#include <decision/UpstreamPicker.h>
#include <runtime/DatagramSocket.h>
#include <telemetry/Metrics.h>

#include <memory>
#include <string>
#include <vector>

namespace basilnotch {

class FiberRuntime;

/// Where an instance sends notes.
struct GossipPeers
{
    bool isCollector = false;          ///< Of its own failure domain.
    std::vector<Endpoint> collectors;  ///< Of the other failure domains; set for a collector.
    std::vector<Endpoint> members;     ///< Of a collector's own failure domain, or of a small site.
    std::optional<Endpoint> collector; ///< Of the own failure domain; unset where there is none.
};

/// `self` and its peers as all instances work them out from `directory`.
GossipPeers gossipPeers(const std::string &self, const std::vector<DirectoryEntry> &directory);

/// Traffic thread only, but for start().
class BacklogGossip
{
public:
    /// All of these must outlive the exchange.
    BacklogGossip(FiberRuntime &runtime, const std::string &self, const Endpoint &listen,
                  EngineEstimates &engineEstimates, Metrics &metrics);

    /// Before the runtime runs.
    absl::Status start();
    /// The instances that are there have changed.
    void setDirectory(const std::vector<DirectoryEntry> &directory);
    /// This instance's backlog has changed.
    void onChanged();
    /// An engine has read a shared prompt of this instance.
    void onPromptRead(const PromptCacheUpdate &note);
    /// Tells again what others may have missed, forgets what is out of date. Call it now and then.
    void refresh();

private:
    void onDatagram(std::string_view datagram);
    void flushSoon(Duration pause);
    void flush();
    /// What is to be told at one stage.
    struct Pending
    {
        std::vector<BacklogUpdate> notes;
        std::vector<PromptCacheUpdate> cachedPrompts;

        void add(const Pending &more);
    };
    void send(BacklogStage stage, const Pending &pending, const std::vector<Endpoint> &receivers);

    FiberRuntime &runtime;
    const std::string self;
    EngineEstimates &engineEstimates;
    DatagramSocket socket;
    Counter &sent;
    Counter &received;
    Counter &malformed;
    GossipPeers peers;
    Pending own;           ///< Of this instance; its notes are taken from the backlog when sent.
    Pending forCollectors; ///< Heard of members, to be passed on.
    Pending forMembers;    ///< Heard of anybody else, to be passed on.
    bool flushing = false; ///< A flush is about to run.
};

} // namespace basilnotch
