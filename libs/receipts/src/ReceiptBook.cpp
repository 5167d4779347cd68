// Positions are consecutive over all batches, so that one number says how far the peer's copy and
// the table reach.
#include <receipts/ReceiptBook.h>

#include <algorithm>

namespace basilnotch {

ReceiptBook::ReceiptBook(std::string incarnation, std::size_t capacity)
    : name(std::move(incarnation))
    , capacity(capacity)
{ }

std::optional<ReceiptBook::Position> ReceiptBook::append(Receipt receipt)
{
    if (receipt.state == ReceiptState::Open && this->waitingCount >= this->capacity) {
        return std::nullopt;
    }
    this->push(std::move(receipt));
    return this->lastPosition;
}

void ReceiptBook::push(Receipt receipt)
{
    this->filling.push_back(std::move(receipt));
    ++this->lastPosition;
    ++this->waitingCount;
}

std::vector<ReceiptBatch> ReceiptBook::takeUncopied()
{
    std::vector<ReceiptBatch> parts;
    const auto take = [&](std::uint64_t number, const std::vector<Receipt> &receipts,
                          Position end) {
        const Position start = end - receipts.size();
        const Position from = std::max(start, this->handedOut);
        if (from < end) {
            const auto skipped = static_cast<std::ptrdiff_t>(from - start);
            parts.push_back({this->name, number, {receipts.begin() + skipped, receipts.end()}});
        }
    };
    for (const PendingBatch &pendingBatch : this->pending) {
        take(pendingBatch.batch.number, pendingBatch.batch.receipts, pendingBatch.end);
    }
    take(this->nextNumber, this->filling, this->lastPosition);
    this->handedOut = this->lastPosition;
    return parts;
}

void ReceiptBook::copied(Position position)
{
    this->copiedUpTo = std::max(this->copiedUpTo, position);
}

void ReceiptBook::seal()
{
    if (this->filling.empty()) {
        return;
    }
    this->pending.push_back(
        {{this->name, this->nextNumber, std::move(this->filling)}, this->lastPosition});
    this->filling.clear();
    ++this->nextNumber;
}

std::vector<ReceiptBatch> ReceiptBook::sealed(std::size_t limit) const
{
    std::vector<ReceiptBatch> batches;
    for (const PendingBatch &item : this->pending) {
        if (batches.size() >= limit) {
            break;
        }
        batches.push_back(item.batch);
    }
    return batches;
}

void ReceiptBook::flushed(std::uint64_t number, const std::vector<Receipt> &stored)
{
    const auto found =
        std::find_if(this->pending.begin(), this->pending.end(),
                     [&](const PendingBatch &item) { return item.batch.number == number; });
    if (found == this->pending.end()) {
        return;
    }
    const std::vector<Receipt> ours = std::move(found->batch.receipts);
    this->waitingCount -= ours.size();
    this->pending.erase(found);
    if (ours == stored) {
        return; // The usual case; the search below is for a peer's earlier flush.
    }
    for (const Receipt &receipt : ours) {
        if (std::find(stored.begin(), stored.end(), receipt) == stored.end()) {
            this->push(receipt);
        }
    }
}

ReceiptBook::Position ReceiptBook::tablePosition() const
{
    if (this->pending.empty()) {
        return this->lastPosition - this->filling.size();
    }
    const PendingBatch &oldest = this->pending.front();
    return oldest.end - oldest.batch.receipts.size();
}

ReceiptBook::Position ReceiptBook::safePosition() const
{
    return std::max(this->tablePosition(), this->copiedUpTo);
}

void ReceiptBook::restartCopies()
{
    this->handedOut = this->tablePosition();
}

} // namespace basilnotch
