// A removal counts at once in quiet times, and only after a grace when the store was away. The
// grace ends before an upstream that has left for good must get no requests.
#include <upstreams/Presence.h>

#include <algorithm>

namespace basilnotch {

Presence::Presence(PresenceOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

void Presence::onStoreReturned()
{
    this->storeReturnedAt = this->clock.now();
}

void Presence::onRegistered(UpstreamRecord record)
{
    record.heardAt = this->clock.now();
    Entry &entry = this->entries[record.id];
    entry.record = std::make_shared<const UpstreamRecord>(std::move(record));
    entry.dropAt.reset();
}

bool Presence::onRemoved(const std::string &id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return false;
    }
    const bool mayHaveLapsed = this->storeReturnedAt
        && this->clock.now() < *this->storeReturnedAt + this->options.returnGrace;
    const bool wasLeaving = found->second.record->state == UpstreamState::Draining;
    if (!mayHaveLapsed || wasLeaving) {
        this->entries.erase(found);
        return false;
    }
    if (!found->second.dropAt) {
        // The upstream may have left for good instead.
        const Duration longest = this->options.drain - this->options.drainMargin;
        found->second.dropAt = std::min(*this->storeReturnedAt + this->options.returnGrace,
                                        this->clock.now() + longest);
    }
    return true;
}

void Presence::drop(const std::string &id)
{
    this->entries.erase(id);
}

bool Presence::expire()
{
    const TimePoint now = this->clock.now();
    return std::erase_if(
               this->entries,
               [now](const auto &item) { return item.second.dropAt && *item.second.dropAt <= now; })
        > 0;
}

std::optional<TimePoint> Presence::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, entry] : this->entries) {
        if (entry.dropAt && (!next || *entry.dropAt < *next)) {
            next = entry.dropAt;
        }
    }
    return next;
}

std::vector<UpstreamRef> Presence::list() const
{
    std::vector<UpstreamRef> all;
    all.reserve(this->entries.size());
    for (const auto &[id, entry] : this->entries) {
        all.push_back(entry.record);
    }
    return all;
}

} // namespace basilnotch
