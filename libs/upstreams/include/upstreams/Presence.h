// Which registered upstreams count as there, while their registrations come and go: an outage of
// the store lets registrations lapse although their owners live, and a store that comes back from a
// copy has former registrations again.
#pragma once

#include <base/Clock.h>
#include <upstreams/UpstreamList.h>

#include <compare>
#include <cstddef>
#include <cstdint>
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
    /// The store removes the registration of an upstream that has ended within this time.
    Duration copyLifetime = std::chrono::seconds(10);
    /// How long upstreams that have left are remembered. Above the age of a copy.
    Duration departedRetention = std::chrono::minutes(2);
    std::size_t maxDeparted = 4096;
};

enum class RegistrationKind {
    New,   ///< In force now.
    Known, ///< The one that has been in force before the store was restored.
    Copy,  ///< From before what is known; not in force.
};

/// Control thread only.
class Presence
{
public:
    Presence(PresenceOptions options, const Clock &clock);

    /// The store answers again after it did not, or from a copy.
    void onStoreReturned();
    /// `storeEpoch` is that of the registration. In a later epoch than that of the last one for its
    /// id, a registration may be older than the known one; it is compared by start and sequence. A
    /// copy of one whose upstream has left comes into force once its removal is overdue.
    RegistrationKind onRegistered(UpstreamRecord record, std::uint64_t storeEpoch);
    /// The registration is gone. Right after an outage the upstream is kept for a while; returns
    /// whether it is.
    bool onRemoved(const std::string &id);
    /// Drops upstreams whose time is over and takes those whose copies have outlived theirs; true
    /// when the list has changed by it.
    bool expire();
    /// The registration can't be used any more. Nothing is kept.
    void drop(const std::string &id);
    /// When expire() is to be called next; empty when there is nothing to wait for.
    std::optional<TimePoint> nextExpiry() const;
    /// Everything that counts as there.
    std::vector<UpstreamRef> list() const;

private:
    struct Entry
    {
        UpstreamRef record;
        std::optional<TimePoint> dropAt; ///< Set while its registration is missing.
        std::uint64_t storeEpoch = 0;    ///< Of the latest registration that was no copy.
    };
    struct Departed
    {
        UpstreamRef record;
        std::uint64_t storeEpoch = 0;
        TimePoint departedAt{};
        UpstreamRef copy; ///< Null, or a registration that the store has again.
        std::uint64_t copyEpoch = 0;
        TimePoint copyAt{}; ///< When the store had it again.
    };
    using Entries = std::map<std::string, Entry>;

    Entries::iterator depart(Entries::iterator entry);
    void forgetDeparted();
    /// Whether `record` is from before what is known of an upstream that has left.
    bool isCopyOfDeparted(const UpstreamRecord &record, std::uint64_t storeEpoch) const;

    const PresenceOptions options;
    const Clock &clock;
    std::optional<TimePoint> storeReturnedAt;
    Entries entries;
    std::map<std::string, Departed> departed; ///< Invariant: without the ids of `entries`.
};

} // namespace basilnotch
