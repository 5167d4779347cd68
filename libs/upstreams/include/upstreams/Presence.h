// Which registered upstreams count as there, while their registrations come and go: an outage of
// the store lets registrations lapse although their owners live.
#pragma once

#include <base/Clock.h>
#include <upstreams/UpstreamList.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilnotch {

struct PresenceOptions
{
    /// After the store's return, a registration that lapsed meanwhile has this long to come back.
    Duration returnGrace = std::chrono::milliseconds(2000);
    /// No request may reach an upstream this long after its registration has gone for good.
    Duration drain = std::chrono::milliseconds(2000);
    /// Part of `drain` for learning of the removal, and for a request that is being sent.
    Duration drainMargin = std::chrono::milliseconds(400);
};

/// Control thread only.
class Presence
{
public:
    Presence(PresenceOptions options, const Clock &clock);

    /// The store answers again after it did not.
    void onStoreReturned();
    void onRegistered(UpstreamRecord record);
    /// The registration is gone. Right after an outage the upstream is kept for a while; returns
    /// whether it is.
    bool onRemoved(const std::string &id);
    /// Drops upstreams whose time is over; true when the list has changed by it.
    bool expire();
    /// The registration can't be used any more. Nothing is kept.
    void drop(const std::string &id);
    /// When expire() is to be called next; empty when no upstream is kept without a registration.
    std::optional<TimePoint> nextExpiry() const;
    /// Everything that counts as there.
    std::vector<UpstreamRef> list() const;

private:
    struct Entry
    {
        UpstreamRef record;
        std::optional<TimePoint> dropAt; ///< Set while its registration is missing.
    };

    const PresenceOptions options;
    const Clock &clock;
    std::optional<TimePoint> storeReturnedAt;
    std::map<std::string, Entry> entries;
};

} // namespace basilnotch
