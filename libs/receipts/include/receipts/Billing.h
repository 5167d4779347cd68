// The bill: one receipt for each request, however often and in whatever order its records stand in
// the table.
#pragma once

#include <receipts/Receipt.h>

#include <map>
#include <string>
#include <vector>

namespace basilnotch {

/// Receipts by request id.
class Bill
{
public:
    /// Takes one record; commutative, associative and idempotent.
    void add(const Receipt &receipt);
    const std::map<std::string, Receipt, std::less<>> &receipts() const { return this->byRequest; }
    /// Receipts that are still open.
    std::vector<Receipt> open() const;

private:
    std::map<std::string, Receipt, std::less<>> byRequest;
};

/// Closing records for what `records`, all the rows of one dead incarnation, left open. Charged:
/// what is known to have been delivered, which is nothing unless a record says so.
std::vector<Receipt> closeAbandoned(const std::vector<Receipt> &records);

} // namespace basilnotch
