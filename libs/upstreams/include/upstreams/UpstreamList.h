// The upstreams that take work, by service, as one immutable value.
#pragma once

#include <base/Clock.h>
#include <settings/Settings.h>

#include <cstdint>
#include <map>
#include <memory>
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

    /// Distinguishes two lives under one id.
    std::string incarnation() const { return this->id + "@" + std::to_string(this->bornMs); }
    friend bool operator==(const UpstreamRecord &, const UpstreamRecord &) = default;
};

using UpstreamRef = std::shared_ptr<const UpstreamRecord>;

/// Immutable; safe to share between threads.
class UpstreamList
{
public:
    UpstreamList() = default;
    explicit UpstreamList(std::vector<UpstreamRef> upstreams);

    /// Ready upstreams of `service`, in the order of their ids.
    const std::vector<UpstreamRef> &ready(std::string_view service) const;
    /// How many of them run `softwareVersion`.
    std::size_t readyOf(std::string_view service, std::string_view softwareVersion) const;
    /// The upstream with that id; null when it has left.
    UpstreamRef find(std::string_view id) const;
    /// All of `service`, those that get no new work as well, in the order of their ids.
    std::vector<UpstreamRef> all(std::string_view service) const;
    std::size_t size() const { return this->byId.size(); }

private:
    std::map<std::string, std::vector<UpstreamRef>, std::less<>> byService;
    std::map<std::string, UpstreamRef, std::less<>> byId;
};

} // namespace basilnotch
