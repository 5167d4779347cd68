// The table has a row incarnation/NAME for every process that may have open receipts. Closing the
// receipts marks the row as closed, so that later sweeps skip it.
#include "AbandonedReceiptSweeper.h"

#include <base/Hash.h>
#include <receipts/Billing.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr std::string_view kIncarnationPrefix = "incarnation/";
constexpr int kRowsPerPage = 500;

} // namespace

AbandonedReceiptSweeper::AbandonedReceiptSweeper(Gossip &gossip, PeerCopies &copies,
                                                 TableService &table, const Clock &clock,
                                                 Duration abandonAfter, Metrics &metrics)
    : gossip(gossip)
    , copies(copies)
    , table(table)
    , clock(clock)
    , abandonAfter(abandonAfter)
    , closedReceipts(metrics.counter("receipts_abandoned_total"))
{ }

absl::Status AbandonedReceiptSweeper::markOpen(const std::string &incarnation)
{
    const std::string key = std::string(kIncarnationPrefix) + incarnation;
    const auto written = this->table.writeOne({key, "open", 0});
    if (written.ok() && !written->applied && written->row.value != "open") {
        // Another instance closed this incarnation while this process was paused or partitioned.
        // Reopening the row lets later receipts be closed as well.
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

bool AbandonedReceiptSweeper::isAbandoned(const std::string &incarnation)
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
    // A batch that its owner has already flushed contains at least the records of this copy. Rows
    // that are new to the table may have arrived after the receipts were closed, so the incarnation
    // is marked open again.
    (void)this->markOpen(incarnation);
    this->copies.release(incarnation, ~std::uint64_t{0});
    return true;
}

void AbandonedReceiptSweeper::closeOpenReceipts(const std::string &incarnation,
                                                std::uint64_t rowVersion)
{
    std::vector<Receipt> records;
    std::string after;
    while (true) {
        const auto rows = this->table.list(receiptPrefix(incarnation), after, kRowsPerPage);
        if (!rows.ok()) {
            return;
        }
        for (const TableRow &row : *rows) {
            const auto receipts = decodeReceipts(row.value);
            if (receipts.ok()) {
                records.insert(records.end(), receipts->begin(), receipts->end());
            }
        }
        if (rows->size() < static_cast<std::size_t>(kRowsPerPage)) {
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
        this->closedReceipts.add(written->applied ? static_cast<std::int64_t>(closing.size()) : 0);
    }
    (void)this->table.writeOne(
        {std::string(kIncarnationPrefix) + incarnation, "closed", rowVersion});
}

void AbandonedReceiptSweeper::sweep()
{
    const std::set<std::string> live = this->liveIncarnations();
    for (const std::string &incarnation : this->copies.incarnations()) {
        if (!live.contains(incarnation) && this->isAbandoned(incarnation)) {
            this->flushCopies(incarnation);
        }
    }
    std::vector<std::string> names(live.begin(), live.end());
    const std::string &self = this->gossip.self().incarnation;
    if (names.empty() || names[rendezvousOwner("sweeper", names)] != self) {
        return;
    }
    const auto rows = this->table.list(kIncarnationPrefix, "", kRowsPerPage);
    if (!rows.ok()) {
        return;
    }
    for (const TableRow &row : *rows) {
        const std::string incarnation = row.key.substr(kIncarnationPrefix.size());
        if (row.value != "open" || live.contains(incarnation)) {
            this->missingSince.erase(incarnation);
        } else if (this->isAbandoned(incarnation)
                   && this->clock.now() - this->missingSince[incarnation]
                       >= 2 * this->abandonAfter) {
            // The delay is twice that of flushCopies(), so that the instance that holds the copies
            // flushes them first.
            this->closeOpenReceipts(incarnation, row.version);
        }
    }
}

} // namespace basilnotch
