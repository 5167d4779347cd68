// Precedence by state, then by tokens, makes the merge a maximum and so order-free.
#include <receipts/Billing.h>

#include <tuple>

namespace basilnotch {

namespace {

auto rank(const Receipt &receipt)
{
    return std::tie(receipt.state, receipt.outputTokens, receipt.promptTokens, receipt.amount,
                    receipt.model, receipt.version, receipt.workspace);
}

} // namespace

void Bill::add(const Receipt &receipt)
{
    const auto [place, isNew] = this->byRequest.try_emplace(receipt.requestId, receipt);
    if (!isNew && rank(place->second) < rank(receipt)) {
        place->second = receipt;
    }
}

std::vector<Receipt> Bill::open() const
{
    std::vector<Receipt> result;
    for (const auto &[id, receipt] : this->byRequest) {
        if (receipt.state == ReceiptState::Open) {
            result.push_back(receipt);
        }
    }
    return result;
}

std::vector<Receipt> closeAbandoned(const std::vector<Receipt> &records)
{
    Bill bill;
    for (const Receipt &record : records) {
        bill.add(record);
    }
    std::vector<Receipt> closing = bill.open();
    for (Receipt &receipt : closing) {
        receipt.state = ReceiptState::Abandoned;
    }
    return closing;
}

} // namespace basilnotch
