// One instance's receipts on their way to the table: batches, the gate before the first byte, and
// the bound on what waits while the table is out. No sockets and no threads: the owner moves
// batches and reports what became of them.
#pragma once

#include <receipts/Receipt.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilnotch {

/// Used on the control thread only.
///
///     ReceiptBook book("a1-4f2e", 1000);
///     const auto place = book.append(receipt);   // nullopt: full, refuse the request
///     send(book.takeUncopied());                  // to the peer, then book.copied(place)
///     flush(book.sealed());                       // to the table, then book.flushed(number)
class ReceiptBook
{
public:
    /// Position of a record: everything up to it is safe once `safePosition() >= position`.
    using Position = std::uint64_t;

    ReceiptBook(std::string incarnation, std::size_t capacity);

    /// Adds a record; nothing when `capacity` records already wait. Closing records are always
    /// taken: their opening one has been counted, and a bill must not be lost.
    std::optional<Position> append(Receipt receipt);

    /// Records not yet handed to the peer, as parts of their batches.
    std::vector<ReceiptBatch> takeUncopied();
    /// The peer holds every record up to `position`.
    void copied(Position position);
    /// The peer is gone: everything that is not in the table has to be handed out again.
    void restartCopies();
    /// Position after the last record handed out by takeUncopied.
    Position copyCursor() const { return this->handedOut; }

    /// Ends the batch that is being filled, if it has records.
    void seal();
    /// Sealed batches that are not yet in the table, oldest first, at most `limit`.
    std::vector<ReceiptBatch> sealed(std::size_t limit) const;
    /// The row of batch `number` is in the table and holds `stored`. Records of ours that are not
    /// among them (a peer flushed an earlier part of the batch) are appended again.
    void flushed(std::uint64_t number, const std::vector<Receipt> &stored);

    /// Every record up to here is in the table or at the peer.
    Position safePosition() const;
    std::size_t waiting() const { return this->waitingCount; }
    const std::string &incarnation() const { return this->name; }

private:
    struct PendingBatch
    {
        ReceiptBatch batch;
        Position end = 0; ///< Position of its last record.
    };

    void push(Receipt receipt);
    Position tablePosition() const;

    const std::string name;
    const std::size_t capacity;
    std::uint64_t nextNumber = 1;
    Position lastPosition = 0;
    Position handedOut = 0;
    Position copiedUpTo = 0;
    std::size_t waitingCount = 0;     ///< Invariant: records in `pending` and `filling`.
    std::deque<PendingBatch> pending; ///< Sealed, oldest first.
    std::vector<Receipt> filling;
};

} // namespace basilnotch
