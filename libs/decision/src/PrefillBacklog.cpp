// Notes carry numbers of their instance, so that order on the way does not matter.
#include <decision/PrefillBacklog.h>

#include <base/Hash.h>

#include <algorithm>

namespace basilnotch {

PrefillBacklog::PrefillBacklog(PrefillBacklogOptions options, std::uint32_t instance,
                               const Clock &clock)
    : options(options)
    , instance(instance)
    , clock(clock)
{ }

std::uint32_t PrefillBacklog::engineKey(const UpstreamRecord &upstream)
{
    return static_cast<std::uint32_t>(
        hash64(upstream.id, static_cast<std::uint64_t>(upstream.bornMs)));
}

void PrefillBacklog::onSent(std::uint32_t upstream, Duration work)
{
    this->own[upstream].work += work;
}

void PrefillBacklog::onPrefilled(std::uint32_t upstream, Duration work)
{
    Duration &left = this->own[upstream].work;
    left = std::max(left - work, Duration::zero());
}

bool PrefillBacklog::applyUpdate(const BacklogUpdate &note)
{
    if (note.instance == this->instance) {
        return false;
    }
    std::vector<Foreign> &told = this->foreign[note.upstream];
    const auto known = std::find_if(told.begin(), told.end(), [&](const Foreign &entry) {
        return entry.instance == note.instance;
    });
    const TimePoint now = this->clock.now();
    if (known == told.end()) {
        told.push_back({note.instance, note.number, note.work, now});
        return true;
    }
    if (note.number <= known->number) {
        return false;
    }
    *known = {note.instance, note.number, note.work, now};
    return true;
}

bool PrefillBacklog::isDue(const Own &own, TimePoint now) const
{
    const bool isKnown = own.told > Duration::zero();
    if (own.work == Duration::zero()) {
        return isKnown;
    }
    const Duration change = own.work > own.told ? own.work - own.told : own.told - own.work;
    return change >= this->options.leastTold
        || (isKnown && now - own.toldAt >= this->options.refresh);
}

std::vector<BacklogUpdate> PrefillBacklog::takeUpdates()
{
    const TimePoint now = this->clock.now();
    std::vector<BacklogUpdate> news;
    for (auto &[upstream, own] : this->own) {
        if (this->isDue(own, now)) {
            own.told = own.work;
            own.toldAt = now;
            news.push_back({this->instance, upstream, ++this->lastNumber, own.work});
        }
    }
    std::erase_if(this->own, [](const auto &item) {
        return item.second.work == Duration::zero() && item.second.told == Duration::zero();
    });
    return news;
}

Duration PrefillBacklog::pendingWork(std::uint32_t upstream) const
{
    Duration sum{};
    if (const auto mine = this->own.find(upstream); mine != this->own.end()) {
        sum += mine->second.work;
    }
    const auto others = this->foreign.find(upstream);
    if (others != this->foreign.end()) {
        for (const Foreign &entry : others->second) {
            sum += entry.work;
        }
    }
    return sum;
}

void PrefillBacklog::expire()
{
    const TimePoint oldest = this->clock.now() - this->options.memory;
    for (auto &[upstream, told] : this->foreign) {
        std::erase_if(told, [&](const Foreign &entry) { return entry.heardAt < oldest; });
    }
    std::erase_if(this->foreign, [](const auto &item) { return item.second.empty(); });
}

} // namespace basilnotch
