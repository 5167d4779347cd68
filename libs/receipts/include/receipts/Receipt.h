// What is charged for one request, and the batch that carries it to the table.
#pragma once

#include <base/Failure.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// How a receipt stands. The order is the order of precedence: of two records of one request the
/// later one in this list counts, so records may arrive twice and in any order.
enum class ReceiptState {
    Open,      ///< Durable before the caller sees the first byte.
    Abandoned, ///< Closed by another instance after the owner's death.
    Cancelled, ///< The caller left; charged for what was delivered.
    Finished,  ///< The caller has the whole answer.
};

struct Receipt
{
    std::string requestId;
    std::string workspace;
    std::string model; ///< Or the service.
    std::string version;
    ReceiptState state = ReceiptState::Open;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< Delivered to the caller.
    double amount = 0;             ///< In the customer's currency.

    friend bool operator==(const Receipt &, const Receipt &) = default;
};

std::string_view receiptStateName(ReceiptState state);

/// Receipts that go to the table as one row. The key names the batch, never its content, so a write
/// whose answer was lost is repeated under the same key and takes effect once.
struct ReceiptBatch
{
    std::string incarnation;
    std::uint64_t number = 0;
    std::vector<Receipt> receipts;

    std::string key() const;
};

/// Prefix of the rows of `incarnation`.
std::string receiptPrefix(std::string_view incarnation);
/// Row under which another instance closes what an incarnation left open; `round` tells several
/// closings apart, when the incarnation came back in between.
std::string finalReceiptKey(std::string_view incarnation, std::uint64_t round);

std::string encodeReceipts(const std::vector<Receipt> &receipts);
absl::StatusOr<std::vector<Receipt>> decodeReceipts(std::string_view text);

} // namespace basilnotch
