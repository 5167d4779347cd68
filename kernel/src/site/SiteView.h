// What the control thread of a site knows, as one immutable value that the traffic thread reads for
// each request.
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

/// Up to so many instances, each tells each other, watches the store and is named to callers; on a
/// larger site a few do so for all.
inline constexpr std::size_t kMaxSmallSiteInstances = 16;

/// A roll-out with its start by this instance's clock.
struct ActiveRollout
{
    RolloutState state;
    TimePoint startedAt;
    bool held = false; ///< Found bad, here or elsewhere; the new version gets nothing more.
};

/// An instance that callers may use.
struct DirectoryEntry
{
    std::string name;
    Endpoint callers;
    Endpoint peers; ///< Where other instances reach it.
    std::string failureDomain;
    int capacity = 0; ///< Thousandths of a processor; 0 when it does not say.
};

/// When a process that was told to stop does what.
struct ShutdownTimes
{
    TimePoint streamsAcceptedUntil; ///< Streams that come later could not be finished.
    TimePoint exitsAt;              ///< It ends then, whatever is under way.
};

struct SiteView
{
    std::shared_ptr<const Catalog> catalog; ///< Null until a configuration is known.
    std::shared_ptr<const UpstreamList> upstreams = std::make_shared<UpstreamList>();
    std::map<std::string, ActiveRollout, std::less<>> rollouts; ///< By service.
    /// Instances that take work; while there is none, those that are leaving.
    std::vector<DirectoryEntry> directory;
    int liveInstances = 1;             ///< This one included.
    std::optional<ShutdownTimes> stop; ///< Set once this process has been told to stop.
    /// Nobody takes work any more, and this instance is one of those that go on until they end.
    bool isLastResort = false;
    SiteBounds bounds;

    bool acceptsRequests() const { return this->catalog && !this->stop; }
};

} // namespace basilnotch
