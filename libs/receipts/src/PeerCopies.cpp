// A map of maps, small: owners flush several times a second.
#include <receipts/PeerCopies.h>

namespace basilnotch {

PeerCopies::PeerCopies(std::size_t capacity)
    : capacity(capacity)
{ }

bool PeerCopies::hold(const ReceiptBatch &part)
{
    if (this->held + part.receipts.size() > this->capacity) {
        return false;
    }
    Copy &copy = this->copies[part.incarnation][part.number];
    for (const Receipt &receipt : part.receipts) {
        if (copy.known.emplace(receipt.requestId, receipt.state).second) {
            copy.receipts.push_back(receipt);
            ++this->held;
        }
    }
    return true;
}

void PeerCopies::release(std::string_view incarnation, std::uint64_t number)
{
    const auto found = this->copies.find(incarnation);
    if (found == this->copies.end()) {
        return;
    }
    Batches &batches = found->second;
    while (!batches.empty() && batches.begin()->first <= number) {
        this->held -= batches.begin()->second.receipts.size();
        batches.erase(batches.begin());
    }
    if (batches.empty()) {
        this->copies.erase(found);
    }
}

std::vector<ReceiptBatch> PeerCopies::copiesOf(std::string_view incarnation) const
{
    std::vector<ReceiptBatch> result;
    const auto found = this->copies.find(incarnation);
    if (found != this->copies.end()) {
        for (const auto &[number, copy] : found->second) {
            result.push_back({found->first, number, copy.receipts});
        }
    }
    return result;
}

std::vector<std::string> PeerCopies::incarnations() const
{
    std::vector<std::string> names;
    for (const auto &[incarnation, batches] : this->copies) {
        names.push_back(incarnation);
    }
    return names;
}

} // namespace basilnotch
