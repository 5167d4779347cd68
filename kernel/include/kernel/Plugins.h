// The interfaces that plug-ins implement and what each is made with.
#pragma once

#include <base/Clock.h>
#include <base/Failure.h>
#include <decision/Router.h>
#include <decision/WorkspaceBudgets.h>
#include <kernel/Registry.h>
#include <platform/TableService.h>
#include <rules/Rules.h>
#include <settings/Settings.h>

#include <optional>
#include <string>
#include <vector>

namespace basilnotch {

class HttpClient;
class RequestQuarantine;

/// Routing policies: see RoutingPolicy in decision/Router.h.
struct PolicyContext
{
    std::vector<UpstreamInfo> upstreams;
    std::string failureDomain;
    RouterOptions options;
    const Clock *clock = nullptr;
    std::uint64_t seed = 0;
};
using PolicyRegistry = Registry<RoutingPolicy, PolicyContext>;
using PolicyRegistration = Registration<RoutingPolicy, PolicyContext>;

/// Platform adapters.
struct PlatformContext
{
    HttpClient *client = nullptr;
    PlatformSettings settings;
};
using PlatformRegistry = Registry<Platform, PlatformContext>;
using PlatformRegistration = Registration<Platform, PlatformContext>;

/// A load report as polled, with what else the upstream had to say.
struct CacheEvent
{
    std::uint64_t prefixHash = 0;
    int tokens = 0; ///< 0: evicted.
};
struct PolledLoad
{
    LoadReport report;
    int loading = 0; ///< Versions whose weights are being loaded.
    std::vector<CacheEvent> cacheEvents;
};

/// An order to an engine: hold exactly these versions.
struct UpstreamOrder
{
    std::uint64_t fence = 0;
    std::vector<ModelVersion> wanted;
};

/// What differs between kinds of upstreams. Blocks the calling fiber of the control thread.
class UpstreamAdapter
{
public:
    virtual ~UpstreamAdapter() = default;
    virtual absl::StatusOr<PolledLoad> pollLoad(const UpstreamSettings &upstream) = 0;
    /// kFailedPrecondition when the upstream has seen a higher fencing number.
    virtual absl::Status order(const UpstreamSettings &upstream, const UpstreamOrder &order) = 0;
    virtual bool takesOrders() const = 0;
};
struct UpstreamAdapterContext
{
    HttpClient *client = nullptr;
    const Clock *clock = nullptr;
};
using UpstreamAdapterRegistry = Registry<UpstreamAdapter, UpstreamAdapterContext>;
using UpstreamAdapterRegistration = Registration<UpstreamAdapter, UpstreamAdapterContext>;

/// A request as admission limits see it.
struct AdmissionRequest
{
    std::string workspace;
    std::string fingerprint;
    double expectedTokens = 0;
    const Rules *rules = nullptr;
};

struct AdmissionRefusal
{
    int status = 429;
    std::string type;
    std::string message;
    Duration retryAfter{};
};

/// A limit that is asked before a request may queue. One traffic thread.
class AdmissionLimit
{
public:
    virtual ~AdmissionLimit() = default;
    virtual std::optional<AdmissionRefusal> check(const AdmissionRequest &request) = 0;
};
struct AdmissionContext
{
    WorkspaceBudgets *budgets = nullptr;
    RequestQuarantine *poison = nullptr;
};
using AdmissionRegistry = Registry<AdmissionLimit, AdmissionContext>;
using AdmissionRegistration = Registration<AdmissionLimit, AdmissionContext>;

} // namespace basilnotch
