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
    /// `salt` differs between instances, so that two peers that one of them cannot tell apart are
    /// told apart by the others.
    explicit RumorStore(std::uint64_t salt = 0)
        : salt(salt)
    { }
    /// Takes `rumor` if it is news; true when it was. `maxEntries` bounds the store: a new id
    /// beyond it is refused and counted.
    bool merge(const Rumor &rumor);
    /// Like merge(), but does not pass the rumor on.
    bool adopt(const Rumor &rumor);
    const Rumor *find(const RumorId &id) const;
    void forEach(RumorKind kind, const std::function<void(const Rumor &)> &visit) const;
    /// Forgets rumors of a kind that `isOver` names. Only for kinds that are not repaired: a peer
    /// would bring the others back.
    void forget(RumorKind kind, const std::function<bool(const Rumor &)> &isOver);
    /// Up to `maxBytes` of rumors that `peer` has not told itself and that have been sent fewer
    /// than `maxSends` times, urgent kinds and less often sent ones first. Counts them as sent.
    std::vector<Rumor> takeForSending(std::string_view peer, std::size_t maxBytes, int maxSends);
    /// `peer` has told a rumor. It is not sent there again; the more peers tell one that was known,
    /// the fewer sends it needs. A peer that tells an older version gets the known one.
    void onHeard(const Rumor &rumor, std::string_view peer, int maxSends);
    /// Sends a rumor also to peers that have told it, and a few times more if it has been sent
    /// `maxSends` times.
    void sendAgain(const RumorId &id, int maxSends);
    /// Whether `peer` has told this version of the rumor. Peers may share an answer.
    bool isToldBy(const RumorId &id, std::string_view peer) const;
    /// All rumors of the repaired kinds, and those told at a start.
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
        std::uint64_t heardFrom = 0; ///< Bits of the peers that have told it; see bitOf().
    };
    using Entries = std::map<RumorId, Entry>;

    /// Peers share bits: one that shares the bit of a peer that knows a rumor hears it from others.
    std::uint64_t bitOf(std::string_view peer) const;
    /// Puts a rumor whose sends are used up back into the queue for `sends` more.
    void queueAgain(Entry &entry, int sends, int maxSends);

    const std::uint64_t salt;
    Entries entries;
    std::map<std::pair<int, int>, std::vector<RumorId>> queue; ///< (kind, sends) -> ids to send.
    std::uint64_t digestValue = 0; ///< Invariant: XOR over the repaired rumors' hashes.
    std::int64_t refusedCount = 0;
};

} // namespace basilnotch
