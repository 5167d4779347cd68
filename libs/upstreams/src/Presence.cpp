// A removal counts at once in quiet times, and only after a grace when the store was away. The
// grace ends before an upstream that has left for good must get no requests.
#include <upstreams/Presence.h>

#include <algorithm>
#include <iterator>

namespace basilnotch {

namespace {

/// Which of two registrations of one id is the later one; unordered if they do not tell.
std::partial_ordering compareAge(const UpstreamRecord &left, const UpstreamRecord &right)
{
    if (left.bornMs != right.bornMs && left.bornMs != 0 && right.bornMs != 0) {
        return left.bornMs <=> right.bornMs;
    }
    if (left.bornMs != right.bornMs || !left.reportSequence || !right.reportSequence) {
        return std::partial_ordering::unordered;
    }
    return *left.reportSequence <=> *right.reportSequence;
}

} // namespace

Presence::Presence(PresenceOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

void Presence::onStoreReturned()
{
    this->storeReturnedAt = this->clock.now();
}

RegistrationKind Presence::onRegistered(UpstreamRecord record, std::uint64_t storeEpoch)
{
    record.heardAt = this->clock.now();
    if (this->isCopyOfDeparted(record, storeEpoch)) {
        Departed &known = this->departed.at(record.id);
        known.copy = std::make_shared<const UpstreamRecord>(std::move(record));
        known.copyEpoch = storeEpoch;
        known.copyAt = this->clock.now();
        return RegistrationKind::Copy;
    }
    const auto found = this->entries.find(record.id);
    if (found != this->entries.end() && storeEpoch > found->second.storeEpoch) {
        const std::partial_ordering age = compareAge(record, *found->second.record);
        if (age < 0) {
            return RegistrationKind::Copy;
        }
        record.heardAt = found->second.record->heardAt;
        if (age == 0 && record == *found->second.record) {
            found->second.storeEpoch = storeEpoch;
            found->second.dropAt.reset();
            return RegistrationKind::Known;
        }
        record.heardAt = this->clock.now();
    }
    this->departed.erase(record.id);
    Entry &entry = this->entries[record.id];
    entry.storeEpoch = storeEpoch;
    entry.record = std::make_shared<const UpstreamRecord>(std::move(record));
    entry.dropAt.reset();
    return RegistrationKind::New;
}

bool Presence::isCopyOfDeparted(const UpstreamRecord &record, std::uint64_t storeEpoch) const
{
    const auto found = this->departed.find(record.id);
    return found != this->departed.end() && storeEpoch > found->second.storeEpoch
        && compareAge(record, *found->second.record) <= 0;
}

Presence::Entries::iterator Presence::depart(Entries::iterator entry)
{
    this->departed[entry->first] = {
        entry->second.record, entry->second.storeEpoch, this->clock.now(), nullptr, 0, {}};
    this->forgetDeparted();
    return this->entries.erase(entry);
}

void Presence::forgetDeparted()
{
    const TimePoint oldest = this->clock.now() - this->options.departedRetention;
    std::erase_if(this->departed, [oldest](const auto &item) {
        return !item.second.copy && item.second.departedAt < oldest;
    });
    if (this->departed.size() > this->options.maxDeparted) {
        this->departed.erase(std::min_element(
            this->departed.begin(), this->departed.end(), [](const auto &left, const auto &right) {
                return left.second.departedAt < right.second.departedAt;
            }));
    }
}

bool Presence::onRemoved(const std::string &id)
{
    const auto left = this->departed.find(id);
    if (left != this->departed.end()) {
        left->second.copy = nullptr;
    }
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return false;
    }
    const bool mayHaveLapsed = this->storeReturnedAt
        && this->clock.now() < *this->storeReturnedAt + this->options.returnGrace;
    const bool wasLeaving = found->second.record->state == UpstreamState::Draining;
    if (!mayHaveLapsed || wasLeaving) {
        this->depart(found);
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
    this->departed.erase(id);
}

bool Presence::expire()
{
    const TimePoint now = this->clock.now();
    bool hasChanged = false;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const bool isOver = entry->second.dropAt && *entry->second.dropAt <= now;
        hasChanged = hasChanged || isOver;
        entry = isOver ? this->depart(entry) : std::next(entry);
    }
    for (auto left = this->departed.begin(); left != this->departed.end();) {
        const Departed &known = left->second;
        const bool isOver = known.copy && known.copyAt + this->options.copyLifetime <= now;
        if (isOver) {
            this->entries[left->first] = {known.copy, std::nullopt, known.copyEpoch};
            hasChanged = true;
        }
        left = isOver ? this->departed.erase(left) : std::next(left);
    }
    return hasChanged;
}

std::optional<TimePoint> Presence::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, entry] : this->entries) {
        if (entry.dropAt && (!next || *entry.dropAt < *next)) {
            next = entry.dropAt;
        }
    }
    for (const auto &[id, known] : this->departed) {
        const TimePoint dueAt = known.copyAt + this->options.copyLifetime;
        if (known.copy && (!next || dueAt < *next)) {
            next = dueAt;
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
