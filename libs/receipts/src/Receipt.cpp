// Receipts as JSON rows: people and billing programs read them straight from the table.
#include <receipts/Receipt.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace basilnotch {

namespace {

constexpr std::array<std::string_view, 4> kStateNames{"open", "abandoned", "cancelled", "finished"};

ReceiptState stateOf(std::string_view name)
{
    for (std::size_t index = 0; index < kStateNames.size(); ++index) {
        if (kStateNames[index] == name) {
            return static_cast<ReceiptState>(index);
        }
    }
    return ReceiptState::Open;
}

/// Throws nlohmann::json::exception for what is no receipt.
Receipt decodeReceipt(const nlohmann::json &item)
{
    Receipt receipt;
    item.at("id").get_to(receipt.requestId);
    receipt.workspace = item.value("workspace", "");
    receipt.model = item.value("model", "");
    receipt.version = item.value("version", "");
    receipt.state = stateOf(item.value("state", ""));
    receipt.promptTokens = item.value("prompt", std::int64_t{0});
    receipt.outputTokens = item.value("output", std::int64_t{0});
    receipt.amount = item.value("amount", 0.0);
    return receipt;
}

} // namespace

std::string_view receiptStateName(ReceiptState state)
{
    return kStateNames[static_cast<std::size_t>(state)];
}

std::string receiptPrefix(std::string_view incarnation)
{
    return "receipts/" + std::string(incarnation) + "/";
}

std::string finalReceiptKey(std::string_view incarnation, std::uint64_t round)
{
    return absl::StrCat(receiptPrefix(incarnation), "final-", round);
}

std::string ReceiptBatch::key() const
{
    // Zero-padded, so that the table lists batches in order.
    return receiptPrefix(this->incarnation) + absl::StrFormat("%012d", this->number);
}

std::string encodeReceipts(const std::vector<Receipt> &receipts)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Receipt &receipt : receipts) {
        list.push_back({{"id", receipt.requestId},
                        {"workspace", receipt.workspace},
                        {"model", receipt.model},
                        {"version", receipt.version},
                        {"state", receiptStateName(receipt.state)},
                        {"prompt", receipt.promptTokens},
                        {"output", receipt.outputTokens},
                        {"amount", receipt.amount}});
    }
    return list.dump();
}

absl::StatusOr<std::vector<Receipt>> decodeReceipts(std::string_view text)
{
    const nlohmann::json list = nlohmann::json::parse(text, nullptr, false);
    if (!list.is_array()) {
        return failure(absl::StatusCode::kDataLoss, "read receipts", "table", "not a list");
    }
    std::vector<Receipt> receipts;
    try {
        for (const nlohmann::json &item : list) {
            receipts.push_back(decodeReceipt(item));
        }
    } catch (const nlohmann::json::exception &) {
        return failure(absl::StatusCode::kDataLoss, "read receipts", "table", "not a receipt");
    }
    return receipts;
}

} // namespace basilnotch
