// The upstreams that take work, by service, as one immutable value.
#pragma once

#include <base/Clock.h>
#include <settings/Settings.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

enum class UpstreamState {
    Ready,
    Draining, ///< Finishes what it has and takes no new work.
};

/// One live process of a service, as it registered itself. The id changes with most restarts.
struct UpstreamRecord
{
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string failureDomain;
    std::string softwareVersion;
    int slots = 1;
    UpstreamState state = UpstreamState::Ready;
    std::int64_t bornMs = 0; ///< Unix milliseconds of its start; 0 when it does not say.
    /// Grows with each report of one life; empty when it does not say.
    std::optional<std::int64_t> reportSequence;
    /// How long it goes on warming up, as of its registration; empty when it does not say.
    std::optional<Duration> coldLeft;
    TimePoint heardAt{}; ///< When this process learned of the registration.

    /// Distinguishes two lives under one id.
    std::string incarnation() const { return this->id + "@" + std::to_string(this->bornMs); }
    friend bool operator==(const UpstreamRecord &, const UpstreamRecord &) = default;
};

using UpstreamRef = std::shared_ptr<const UpstreamRecord>;
/// Names of failure domains.
using DomainNames = std::set<std::string, std::less<>>;

/// Immutable; safe to share between threads.
class UpstreamList
{
public:
    UpstreamList() = default;
    /// Upstreams in one of the domains `outOfService` are in the list but never ready.
    explicit UpstreamList(std::vector<UpstreamRef> upstreams, const DomainNames &outOfService = {});

    /// Upstreams of `service` that may be sent to, in the order of their ids.
    const std::vector<UpstreamRef> &ready(std::string_view service) const;
    /// How many of them run `softwareVersion`.
    std::size_t readyOf(std::string_view service, std::string_view softwareVersion) const;
    /// Whether the upstream with that id may be sent to.
    bool isReady(std::string_view id) const;
    /// Whether the upstream with that id is in a failure domain that is out of service.
    bool isOutOfService(std::string_view id) const { return this->outOfServiceIds.contains(id); }
    /// Visits all upstreams, ready or not, in the order of their ids.
    void forEach(const std::function<void(const UpstreamRecord &)> &visit) const;
    /// Whether `service` has upstreams that only lack readiness because operators have taken their
    /// failure domains out of service.
    bool hasOutOfService(std::string_view service) const;
    /// Upstreams of all services in failure domains that are out of service.
    std::size_t outOfServiceCount() const { return this->outOfServiceIds.size(); }
    /// The upstream with that id; null when it has left.
    UpstreamRef find(std::string_view id) const;
    /// All of `service`, those that get no new work as well, in the order of their ids.
    std::vector<UpstreamRef> all(std::string_view service) const;
    std::size_t size() const { return this->byId.size(); }

private:
    std::map<std::string, std::vector<UpstreamRef>, std::less<>> byService;
    std::map<std::string, UpstreamRef, std::less<>> byId;
    std::set<std::string, std::less<>> outOfServiceIds;      ///< Of all services.
    std::set<std::string, std::less<>> outOfServiceServices; ///< That have one of them.
};

} // namespace basilnotch
