// Settings of an instance that takes its routes, services and upstreams from a platform's store:
// where it listens, whom it knows, and the bounds that its operators promise to callers.
#pragma once

#include <settings/Settings.h>

#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Bounds that hold for the whole system; their figures come from the operators.
struct SiteBounds
{
    Duration stopGrace = seconds(8);       ///< From SIGTERM until the process is killed.
    Duration configApply = seconds(2);     ///< A new configuration is in force after this.
    Duration drain = seconds(2);           ///< An upstream that leaves gets nothing after this.
    Duration contact = seconds(3);         ///< A disruption counts for this long after its end.
    Duration directoryTtlMax = seconds(5); ///< Callers keep a directory answer no longer.
    Duration sessionGap = seconds(5);      ///< Requests of a session follow each other within it.
    Duration rollback = seconds(5); ///< A bad version takes no work this long after it shows.
    double retryRatio = 0.5; ///< Repeated sends to a service for each first one, system-wide.
    Duration retryWindow = seconds(10); ///< That the ratio is counted over.
    double retrySlack = 20;     ///< Repeated sends in a window beyond the ratio, system-wide.
    double exposureShare = 0.1; ///< Of a service's requests, to a version that turns out bad.
    double exposureSlack = 10;  ///< Requests beyond that share.
};

/// Second sends of requests that are slower than usual.
struct HedgingSettings
{
    double extraShare = 0; ///< At most so many for each first send; 0: none.
};

struct SiteSettings
{
    std::string instance;
    std::string failureDomain;
    std::string region;
    Endpoint callers;   ///< Requests.
    Endpoint health;    ///< Readiness checks of the platform.
    Endpoint directory; ///< Callers ask here which instances to use.
    Endpoint peers;     ///< Other instances.
    Endpoint metrics;
    std::vector<Endpoint> seeds; ///< Instances that may be there; their peer port is ours.
    std::string adapter = "table-platform"; ///< Name of a registered site adapter.
    Endpoint store;
    int processorMillis = 0;   ///< Thousandths of a processor that the instance has; 0: unknown.
    int maxConnections = 2000; ///< Of callers, at most; fewer where memory or descriptors are few.
    int memoryMb = 0; ///< That the process may use, in millions of bytes; 0: the system's limit.
    int maxDescriptors = 0; ///< That the process may open; 0: the system's limit.
    HedgingSettings hedging;
    SiteBounds bounds;
};

struct ParsedSiteSettings
{
    SiteSettings settings;
    std::vector<SettingsFault> faults;
    bool ok() const { return this->faults.empty(); }
};

/// Reads JSON with comments; every unknown or missing key is a fault.
ParsedSiteSettings parseSiteSettings(std::string_view text);

} // namespace basilnotch
