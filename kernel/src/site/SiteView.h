// An immutable snapshot of the control thread's state, which the traffic thread reads for each
// request.
#pragma once

#include "control/AtomicSharedValue.h"

#include <catalog/Catalog.h>
#include <decision/RolloutSchedule.h>
#include <settings/SiteSettings.h>
#include <upstreams/UpstreamList.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basilnotch {

/// Up to this number of instances, every instance sends to all others, watches the store and is
/// listed to callers; on a larger site a few instances do this for all.
inline constexpr std::size_t kMaxSmallSiteInstances = 16;

/// A roll-out, with its start time converted to this instance's clock.
struct ActiveRollout
{
    RolloutState state;
    TimePoint startedAt;
    bool held = false; ///< The new version gets no traffic; see RolloutController::rollouts().
};

/// An instance that callers may send requests to.
struct DirectoryEntry
{
    std::string name;
    Endpoint callers; ///< Address for callers.
    Endpoint peers;   ///< Address for other instances.
    std::string failureDomain;
    int capacity = 0; ///< In thousandths of a processor; 0 when unknown.
};

/// Deadlines of a process that has been told to stop.
struct ShutdownTimes
{
    TimePoint streamsAcceptedUntil; ///< Later streams could not finish before the exit.
    TimePoint exitsAt;              ///< The process exits, even with requests under way.
};

/// Everything that the traffic thread needs to route a request.
struct SiteView
{
    std::shared_ptr<const Catalog> catalog; ///< Null until a configuration is known.
    std::shared_ptr<const UpstreamList> upstreams = std::make_shared<UpstreamList>();
    std::map<std::string, ActiveRollout, std::less<>> rollouts; ///< By service.
    /// Instances that accept requests; if there are none, those that are leaving.
    std::vector<DirectoryEntry> directory;
    /// Names of all instances that have not left, also of those that nobody reaches.
    std::vector<std::string> members;
    int liveInstances = 1; ///< Includes this instance.
    /// All that may live, those that this instance can't reach or that are leaving included. Shares
    /// of bounds that must hold without talk are computed from it. 0: others are expected, and none
    /// has been heard of yet.
    int knownInstances = 1;
    std::optional<ShutdownTimes> stop; ///< Set once this process has been told to stop.
    /// All instances are stopping, and this one is among those that accept requests until they
    /// exit.
    bool isLastResort = false;
    SiteBounds bounds;
    HedgingSettings hedging;

    /// Whether this instance has learned since its start which failure domains are out of service.
    bool knowsDomains = false;

    bool hasConfiguration() const { return this->catalog && this->knowsDomains; }
    bool acceptsRequests() const { return this->hasConfiguration() && !this->stop; }
};

} // namespace basilnotch
