// Interfaces that plug-ins implement, with the context that each factory receives.
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

/// Input of a routing policy's factory; the interface is RoutingPolicy in decision/Router.h.
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

/// Input of a platform adapter's factory; the interface is Platform in platform/TableService.h.
struct PlatformContext
{
    HttpClient *client = nullptr;
    PlatformSettings settings;
};
using PlatformRegistry = Registry<Platform, PlatformContext>;
using PlatformRegistration = Registration<Platform, PlatformContext>;

/// A change of an upstream's prefix cache.
struct CacheEvent
{
    std::uint64_t prefixHash = 0;
    int tokens = 0; ///< Cached tokens of the prefix; 0 when it was evicted.
};

/// The answer of an upstream to a poll of its load.
struct PolledLoad
{
    LoadReport report;
    int loading = 0;                     ///< Number of versions whose weights are being loaded.
    std::vector<CacheEvent> cacheEvents; ///< As reported with this poll.
};

/// An order to an engine to hold exactly the versions in `wanted`.
struct UpstreamOrder
{
    std::uint64_t fence = 0; ///< Fencing number; an engine refuses one lower than it has seen.
    std::vector<ModelVersion> wanted;
};

/// Protocol of one kind of upstream. Called on the control thread; pollLoad() and order() block the
/// calling fiber.
class UpstreamAdapter
{
public:
    virtual ~UpstreamAdapter() = default;
    virtual absl::StatusOr<PolledLoad> pollLoad(const UpstreamSettings &upstream) = 0;
    /// kFailedPrecondition when the upstream has seen a higher fencing number.
    virtual absl::Status order(const UpstreamSettings &upstream, const UpstreamOrder &order) = 0;
    /// Whether upstreams of this kind support order().
    virtual bool takesOrders() const = 0;
};
struct UpstreamAdapterContext
{
    HttpClient *client = nullptr;
    const Clock *clock = nullptr;
};
using UpstreamAdapterRegistry = Registry<UpstreamAdapter, UpstreamAdapterContext>;
using UpstreamAdapterRegistration = Registration<UpstreamAdapter, UpstreamAdapterContext>;

/// The properties of a request that admission limits check.
struct AdmissionRequest
{
    std::string workspace;
    std::string fingerprint;
    double expectedTokens = 0;
    const Rules *rules = nullptr;
};

/// The error response for a request that a limit refuses.
struct AdmissionRefusal
{
    int status = 429; ///< HTTP status.
    std::string type;
    std::string message;
    Duration retryAfter{};
};

/// A limit that is checked before a request is queued. Used by one traffic thread only.
class AdmissionLimit
{
public:
    virtual ~AdmissionLimit() = default;
    /// Empty when the request is admitted.
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
