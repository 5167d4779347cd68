// All rumors that an instance knows, and which of them to pass on next.
#pragma once

#include <membership/Rumor.h>

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace basilnotch {

/// A join-semilattice: merge is commutative, associative and idempotent. Control thread only.
class RumorStore
{
public:
    /// Takes `rumor` if it is news; true when it was. `maxEntries` bounds the store: a new id
    /// beyond it is refused and counted.
    bool merge(const Rumor &rumor);
    const Rumor *find(const RumorId &id) const;
    void forEach(RumorKind kind, const std::function<void(const Rumor &)> &visit) const;
    /// Forgets rumors of a kind that `isOver` names. Only for kinds that are not repaired: a peer
    /// would bring the others back.
    void forget(RumorKind kind, const std::function<bool(const Rumor &)> &isOver);
    /// Up to `maxBytes` of rumors that have been sent fewer than `maxSends` times, urgent kinds and
    /// less often sent ones first. Counts them as sent.
    std::vector<Rumor> takeForSending(std::size_t maxBytes, int maxSends);
    /// A peer has told a rumor that was known: it is on its way everywhere and needs fewer sends.
    void onHeardAgain(const Rumor &rumor, int maxSends);
    /// All rumors of the repaired kinds.
    std::vector<Rumor> repaired() const;
    /// Equal on two stores that hold equal rumors of the repaired kinds.
    std::uint64_t digest() const { return this->digestValue; }
    std::size_t size() const { return this->entries.size(); }
    std::int64_t refused() const { return this->refusedCount; }

    std::size_t maxEntries = 100'000;

private:
    struct Entry
    {
        Rumor rumor;
        int sends = 0;
    };
    using Entries = std::map<RumorId, Entry>;

    Entries entries;
    std::map<std::pair<int, int>, std::vector<RumorId>> queue; ///< (kind, sends) -> ids to send.
    std::uint64_t digestValue = 0; ///< Invariant: XOR over the repaired rumors' hashes.
    std::int64_t refusedCount = 0;
};

} // namespace basilnotch
