// Copies of other instances' unflushed receipts. They are dropped when their owner says that the
// batch is in the table, and flushed under the owner's key when the owner falls silent.
#pragma once

#include <receipts/Receipt.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Used on the control thread only. Bounded by `capacity` receipts.
class PeerCopies
{
public:
    explicit PeerCopies(std::size_t capacity);

    /// Adds records to the copy of their batch; false when there is no room. A record that is
    /// already held is not added again.
    bool hold(const ReceiptBatch &part);
    /// Batches of `incarnation` up to `number` are in the table.
    void release(std::string_view incarnation, std::uint64_t number);
    /// The copies of `incarnation`, in order.
    std::vector<ReceiptBatch> copiesOf(std::string_view incarnation) const;
    std::vector<std::string> incarnations() const;
    std::size_t size() const { return this->held; }

private:
    /// The copy of one batch.
    struct Copy
    {
        std::vector<Receipt> receipts;
        std::set<std::pair<std::string, ReceiptState>> known; ///< Invariant: one for each receipt.
    };
    using Batches = std::map<std::uint64_t, Copy>;

    const std::size_t capacity;
    std::size_t held = 0; ///< Invariant: number of receipts in `copies`.
    std::map<std::string, Batches, std::less<>> copies;
};

} // namespace basilnotch
