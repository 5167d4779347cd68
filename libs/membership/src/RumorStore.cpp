// The send queue holds ids by (kind, sends); an id whose rumor has been replaced since then stands
// there twice, and the stale entry is skipped by its send count.
#include <membership/RumorStore.h>

#include <base/Hash.h>

#include <algorithm>
#include <utility>

namespace basilnotch {

namespace {

constexpr std::size_t kRumorOverheadBytes = 12; // Codec framing of one rumor.
/// Hearing a known rumor from so many peers stands for all its sends: by then most instances know
/// it. One peer that tells it often says nothing of the others.
constexpr int kPeersToStop = 6;
/// Each instance sends a refreshed rumor so often: together they reach every instance several
/// times.
constexpr int kRefreshSends = 4;

std::uint64_t rumorHash(const Rumor &rumor)
{
    if (!isRepaired(rumor.id.kind)) {
        return 0;
    }
    const std::uint64_t named = hash64(rumor.id.name, static_cast<std::uint64_t>(rumor.id.kind));
    return hash64(rumor.payload, named ^ (rumor.version * 0x9e3779b97f4a7c15ULL));
}

std::size_t wireBytes(const Rumor &rumor)
{
    return rumor.id.name.size() + rumor.payload.size() + kRumorOverheadBytes;
}

} // namespace

bool RumorStore::merge(const Rumor &rumor)
{
    if (!this->adopt(rumor)) {
        return false;
    }
    this->queue[{static_cast<int>(rumor.id.kind), 0}].push_back(rumor.id);
    return true;
}

bool RumorStore::adopt(const Rumor &rumor)
{
    auto found = this->entries.find(rumor.id);
    if (found == this->entries.end()) {
        if (this->entries.size() >= this->maxEntries) {
            ++this->refusedCount;
            return false;
        }
        found = this->entries.emplace(rumor.id, Entry{rumor}).first;
    } else if (rumor.isNewerThan(found->second.rumor)) {
        this->digestValue ^= rumorHash(found->second.rumor);
        found->second = Entry{rumor};
    } else {
        return false;
    }
    this->digestValue ^= rumorHash(rumor);
    return true;
}

const Rumor *RumorStore::find(const RumorId &id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second.rumor;
}

void RumorStore::forEach(RumorKind kind, const std::function<void(const Rumor &)> &visit) const
{
    for (auto item = this->entries.lower_bound({kind, ""});
         item != this->entries.end() && item->first.kind == kind; ++item) {
        visit(item->second.rumor);
    }
}

void RumorStore::forget(RumorKind kind, const std::function<bool(const Rumor &)> &isOver)
{
    for (auto item = this->entries.lower_bound({kind, ""});
         item != this->entries.end() && item->first.kind == kind;) {
        item = isOver(item->second.rumor) ? this->entries.erase(item) : std::next(item);
    }
}

std::uint64_t RumorStore::bitOf(std::string_view peer) const
{
    constexpr std::uint64_t kBits = 64;
    return std::uint64_t{1} << (hash64(peer, this->salt) % kBits);
}

std::vector<Rumor> RumorStore::takeForSending(std::string_view peer, std::size_t maxBytes,
                                              int maxSends)
{
    const std::uint64_t peerBit = this->bitOf(peer);
    std::vector<Rumor> taken;
    std::vector<RumorId> queuedAgain;
    std::size_t bytes = 0;
    for (auto slot = this->queue.begin(); slot != this->queue.end() && bytes < maxBytes;) {
        auto &[key, ids] = *slot;
        while (!ids.empty() && bytes < maxBytes) {
            RumorId id = std::move(ids.back());
            ids.pop_back();
            const auto found = this->entries.find(id);
            if (found == this->entries.end() || found->second.sends != key.second) {
                continue; // Forgotten, or replaced since: the newer one has its own place.
            }
            Entry &entry = found->second;
            if ((entry.heardFrom & peerBit) == 0) {
                ++entry.sends;
                bytes += wireBytes(entry.rumor);
                taken.push_back(entry.rumor);
            }
            queuedAgain.push_back(std::move(id));
        }
        slot = ids.empty() ? this->queue.erase(slot) : std::next(slot);
    }
    for (const RumorId &id : queuedAgain) {
        const int sends = this->entries.at(id).sends;
        if (sends < maxSends) {
            this->queue[{static_cast<int>(id.kind), sends}].push_back(id);
        }
    }
    return taken;
}

void RumorStore::onHeard(const Rumor &rumor, std::string_view peer, int maxSends)
{
    const auto found = this->entries.find(rumor.id);
    if (found == this->entries.end()) {
        return;
    }
    Entry &entry = found->second;
    if (rumor.version < entry.rumor.version) {
        entry.heardFrom &= ~this->bitOf(peer);
        this->queueAgain(entry, 1, maxSends);
        return;
    }
    const std::uint64_t before = entry.heardFrom;
    entry.heardFrom |= this->bitOf(peer);
    const bool isFirstTeller = before == 0; // From whom this instance may have it.
    if (isFirstTeller || entry.heardFrom == before || entry.sends >= maxSends) {
        return;
    }
    entry.sends += std::max(1, maxSends / kPeersToStop);
    if (entry.sends < maxSends) {
        this->queue[{static_cast<int>(rumor.id.kind), entry.sends}].push_back(rumor.id);
    }
}

void RumorStore::sendAgain(const RumorId &id, int maxSends)
{
    const auto found = this->entries.find(id);
    if (found != this->entries.end()) {
        found->second.heardFrom = 0;
        this->queueAgain(found->second, kRefreshSends, maxSends);
    }
}

void RumorStore::queueAgain(Entry &entry, int sends, int maxSends)
{
    if (entry.sends >= maxSends) {
        entry.sends = std::max(0, maxSends - sends);
        this->queue[{static_cast<int>(entry.rumor.id.kind), entry.sends}].push_back(entry.rumor.id);
    }
}

bool RumorStore::isToldBy(const RumorId &id, std::string_view peer) const
{
    const auto found = this->entries.find(id);
    return found != this->entries.end() && (found->second.heardFrom & this->bitOf(peer)) != 0;
}

std::vector<Rumor> RumorStore::repaired() const
{
    std::vector<Rumor> all;
    for (const auto &[id, entry] : this->entries) {
        if (isRepaired(id.kind) || isToldAtStart(id.kind)) {
            all.push_back(entry.rumor);
        }
    }
    return all;
}

} // namespace basilnotch
