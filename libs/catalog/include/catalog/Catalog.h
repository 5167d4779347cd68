// What operators have put in force: routes, services, workspaces and bounds on requests, as one
// immutable value with its version.
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace basilnotch {

/// What may be repeated.
enum class RouteKind {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each attempt of a caller.
    Streaming,     ///< Answered by events; idempotent only when it may be resumed.
};

/// One of the services that a route is divided among.
struct RouteTarget
{
    std::string service;
    double weight = 1; ///< Relative to the other targets of the route.
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Invariant: begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout{}; ///< The longest that a caller is kept waiting.
    Duration goal{};    ///< An answer within this time is worth most.
    int priority = 0;   ///< 0 is the most urgent.
    int maxAttempts = 1;
    bool isPublic = false;   ///< Needs no key.
    bool canResume = false;  ///< A stream may go on at another upstream.
    bool hasPrompts = false; ///< Requests name the parts of their prompt.
    Duration gapTarget{};    ///< Longest pause between events of a stream that is still on time.
    std::vector<RouteTarget> targets;      ///< Invariant: not empty.
    std::vector<std::string> modelsBySize; ///< Smallest first; empty when the caller names one.

    /// True when a second run of a request does no harm.
    bool mayRunAgain() const
    {
        return this->kind == RouteKind::Idempotent
            || (this->kind == RouteKind::Streaming && this->canResume);
    }
};

/// Model engines of a service, when it has any.
struct EngineTraits
{
    int slots = 0;
    std::int64_t cacheTokens = 0;
    std::int64_t cacheBytesPerToken = 0;
    double linkMegabits = 0;
    int tokensPerEvent = 1;
    std::map<std::string, double> costByModel; ///< For 1,000 tokens made.
};

struct Service
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; ///< That one upstream takes from all instances together; 0: no bound.
    /// Requests a second that an upstream stands from all instances while it warms up; 0: any.
    double coldPerSecond = 0;
    Duration coldStart{}; ///< How long it warms up after a start.
    std::optional<EngineTraits> engine;
};

struct CatalogWorkspace
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Goes before the priority of the route.
};

/// What a caller may send and how long it may take.
struct RequestBounds
{
    int headerBytes = 16 * 1024;
    int bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// The parts that a Catalog is made of.
struct CatalogParts
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<CatalogWorkspace> workspaces;
    RequestBounds bounds;
};

/// Immutable; safe to share between threads.
///
///     const Catalog catalog(std::move(parts));
///     if (const Route *route = catalog.match("api.example", "/plans/7")) { ... }
class Catalog
{
public:
    explicit Catalog(CatalogParts parts);
    Catalog(const Catalog &) = delete;
    Catalog &operator=(const Catalog &) = delete;

    /// The route of `host` with the longest prefix that begins `path`; null when there is none. A
    /// port in `host` does not count.
    const Route *match(std::string_view host, std::string_view path) const;
    /// The workspace that holds `key`; null when nobody does.
    const CatalogWorkspace *workspaceOf(std::string_view key) const;
    /// The workspace of that name; null when there is none.
    const CatalogWorkspace *workspace(std::string_view name) const;
    const Service *service(std::string_view name) const;
    /// False when callers need no key at all.
    bool hasWorkspaces() const { return !this->parts.workspaces.empty(); }
    std::int64_t version() const { return this->parts.version; }
    const RequestBounds &bounds() const { return this->parts.bounds; }
    const std::vector<Route> &routes() const { return this->parts.routes; }
    const std::vector<Service> &services() const { return this->parts.services; }

private:
    using PrefixTable = std::unordered_map<std::string, const Route *>;

    const CatalogParts parts;
    std::map<std::string, PrefixTable, std::less<>> byHost; ///< Host in lower case -> prefix.
    std::unordered_map<std::string, const CatalogWorkspace *> byKey;
    std::map<std::string, const Service *, std::less<>> byService;
};

} // namespace basilnotch
