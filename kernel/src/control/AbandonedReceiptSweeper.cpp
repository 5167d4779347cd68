// A row incarnation/NAME stands for every process that may still owe receipts; the sweep that
// closes one marks the row, so the list of open ones stays short.
#include "AbandonedReceiptSweeper.h"

#include <base/Hash.h>
#include <receipts/Billing.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr std::string_view kPrefix = "incarnation/";
constexpr int kPage = 500; // Rows of one list call.

} // namespace

AbandonedReceiptSweeper::AbandonedReceiptSweeper(Gossip &gossip, PeerCopies &copies,
                                                 TableService &table, const Clock &clock,
                                                 Duration abandonAfter, Metrics &metrics)
    : gossip(gossip)
    , copies(copies)
    , table(table)
    , clock(clock)
    , abandonAfter(abandonAfter)
    , closed(metrics.counter("receipts_abandoned_total"))
{ }

absl::Status AbandonedReceiptSweeper::markOpen(const std::string &incarnation)
{
    const std::string key = std::string(kPrefix) + incarnation;
    const auto written = this->table.writeOne({key, "open", 0});
    if (written.ok() && !written->applied && written->row.value != "open") {
        // Closed while this process was paused or cut off: what it opens from now on counts again.
        return this->table.writeOne({key, "open", written->row.version}).status();
    }
    return written.status();
}

std::set<std::string> AbandonedReceiptSweeper::liveIncarnations() const
{
    std::set<std::string> live;
    for (const Member &member : readMembers(this->gossip.store())) {
        if (member.state != MemberState::Unknown) {
            live.insert(member.incarnation);
        }
    }
    return live;
}

bool AbandonedReceiptSweeper::isGone(const std::string &incarnation)
{
    const auto since = this->missingSince.try_emplace(incarnation, this->clock.now()).first->second;
    return this->clock.now() - since >= this->abandonAfter;
}

bool AbandonedReceiptSweeper::flushCopies(const std::string &incarnation)
{
    std::vector<TableWrite> writes;
    for (const ReceiptBatch &batch : this->copies.copiesOf(incarnation)) {
        writes.push_back({batch.key(), encodeReceipts(batch.receipts), 0});
    }
    if (writes.empty()) {
        return true;
    }
    const auto results = this->table.write(writes);
    if (!results.ok()) {
        return false;
    }
    // A batch that its owner had flushed already holds at least what our copy holds. What was not
    // in the table before may have come after a closing: then another one is due.
    (void)this->markOpen(incarnation);
    this->copies.release(incarnation, ~std::uint64_t{0});
    return true;
}

void AbandonedReceiptSweeper::close(const std::string &incarnation, std::uint64_t rowVersion)
{
    std::vector<Receipt> records;
    std::string after;
    while (true) {
        const auto rows = this->table.list(receiptPrefix(incarnation), after, kPage);
        if (!rows.ok()) {
            return;
        }
        for (const TableRow &row : *rows) {
            const auto receipts = decodeReceipts(row.value);
            if (receipts.ok()) {
                records.insert(records.end(), receipts->begin(), receipts->end());
            }
        }
        if (rows->size() < static_cast<std::size_t>(kPage)) {
            break;
        }
        after = rows->back().key;
    }
    const std::vector<Receipt> closing = closeAbandoned(records);
    if (!closing.empty()) {
        const auto written = this->table.writeOne(
            {finalReceiptKey(incarnation, rowVersion), encodeReceipts(closing), 0});
        if (!written.ok()) {
            return;
        }
        this->closed.add(written->applied ? static_cast<std::int64_t>(closing.size()) : 0);
    }
    (void)this->table.writeOne({std::string(kPrefix) + incarnation, "closed", rowVersion});
}

void AbandonedReceiptSweeper::sweep()
{
    const std::set<std::string> live = this->liveIncarnations();
    for (const std::string &incarnation : this->copies.incarnations()) {
        if (!live.contains(incarnation) && this->isGone(incarnation)) {
            this->flushCopies(incarnation);
        }
    }
    std::vector<std::string> names(live.begin(), live.end());
    const std::string &self = this->gossip.self().incarnation;
    if (names.empty() || names[rendezvousOwner("sweeper", names)] != self) {
        return;
    }
    const auto rows = this->table.list(kPrefix, "", kPage);
    if (!rows.ok()) {
        return;
    }
    for (const TableRow &row : *rows) {
        const std::string incarnation = row.key.substr(kPrefix.size());
        if (row.value != "open" || live.contains(incarnation)) {
            this->missingSince.erase(incarnation);
        } else if (this->isGone(incarnation)
                   && this->clock.now() - this->missingSince[incarnation]
                       >= 2 * this->abandonAfter) {
            // Twice as long: the holder of the copies flushes them first.
            this->close(incarnation, row.version);
        }
    }
}

} // namespace basilnotch
