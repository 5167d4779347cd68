// One fiber copies new receipts to a peer at once, because callers wait for the copies. Another one
// flushes batches to the table at intervals, several per write, because the table is slower.
#include "ReceiptWriter.h"

#include "PeerMessenger.h"
#include "PeerPayloads.h"

#include <runtime/FiberRuntime.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace basilnotch {

namespace {

constexpr std::size_t kMaxBatchesPerWrite = 32;
constexpr Duration kCopyTimeout = milliseconds(400);
constexpr Duration kCopyRetryDelay = milliseconds(20); // After a failed copy.

} // namespace

ReceiptWriter::ReceiptWriter(FiberRuntime &runtime, const Settings &settings,
                             std::string incarnation, TableService &table, PeerMessenger &peers,
                             Metrics &metrics)
    : runtime(runtime)
    , settings(settings)
    , table(table)
    , peers(peers)
    , book(std::move(incarnation), static_cast<std::size_t>(settings.limits.openReceipts))
    , peerCopies(static_cast<std::size_t>(settings.limits.heldPeerBatches))
    , opened(metrics.counter("receipts_opened_total"))
    , refused(metrics.counter("receipts_refused_total"))
    , batchesFlushed(metrics.counter("receipt_batches_flushed_total"))
    , flushFailures(metrics.counter("receipt_flush_failures_total"))
    , waiting(metrics.counter("receipts_waiting"))
{
    peers.setHandler(PeerMessageKind::StoreReceiptCopies, [this](std::string body) -> std::string {
        const auto batches = decodeBatches(body);
        bool allStored = batches.ok();
        for (std::size_t index = 0; allStored && index < batches->size(); ++index) {
            allStored = this->peerCopies.hold((*batches)[index]);
        }
        return allStored ? "ok" : "full";
    });
    peers.setHandler(PeerMessageKind::ReleaseReceiptCopies,
                     [this](std::string body) -> std::string {
                         const std::size_t separator = body.rfind(' ');
                         std::uint64_t number = 0;
                         if (separator != std::string::npos
                             && absl::SimpleAtoi(body.substr(separator + 1), &number)) {
                             this->peerCopies.release(body.substr(0, separator), number);
                         }
                         return "ok";
                     });
}

void ReceiptWriter::open(Receipt receipt, std::shared_ptr<ReceiptGate> gate)
{
    const auto position = this->book.append(std::move(receipt));
    if (!position) {
        this->refused.add();
        gate->resolve(ReceiptGate::State::Rejected);
        return;
    }
    this->opened.add();
    this->pendingGates.push_back({*position, std::move(gate)});
    this->receiptsAdded.set();
}

void ReceiptWriter::close(Receipt receipt)
{
    this->book.append(std::move(receipt));
    this->receiptsAdded.set();
}

void ReceiptWriter::resolveDurableGates()
{
    const ReceiptBook::Position safe = this->book.safePosition();
    while (!this->pendingGates.empty() && this->pendingGates.front().position <= safe) {
        this->pendingGates.front().gate->resolve(ReceiptGate::State::Durable);
        this->pendingGates.pop_front();
    }
    this->waiting.set(static_cast<std::int64_t>(this->book.waiting()));
}

void ReceiptWriter::copyNewReceipts()
{
    const std::optional<Member> peer = this->peers.receiptCopyPeer();
    if (!peer) {
        this->runtime.sleepFor(kCopyRetryDelay);
        return;
    }
    if (peer->incarnation != this->copyHolder) {
        this->copyHolder = peer->incarnation;
        this->copyHolderEndpoint = peer->peers;
        this->book.restartCopies();
    }
    const std::vector<ReceiptBatch> parts = this->book.takeUncopied();
    const ReceiptBook::Position position = this->book.copyCursor();
    if (parts.empty()) {
        return;
    }
    const auto reply = this->peers.call(peer->peers, PeerMessageKind::StoreReceiptCopies,
                                        encodeBatches(parts), kCopyTimeout);
    if (reply.ok() && *reply == "ok") {
        this->book.copied(position);
        this->resolveDurableGates();
        return;
    }
    this->book.restartCopies();
    this->runtime.sleepFor(kCopyRetryDelay);
    this->receiptsAdded.set();
}

void ReceiptWriter::copyLoop()
{
    while (true) {
        this->receiptsAdded.waitFor(seconds(1));
        this->receiptsAdded.reset();
        this->copyNewReceipts();
    }
}

void ReceiptWriter::releaseCopies(std::uint64_t number)
{
    if (this->copyHolder.empty()) {
        return;
    }
    const std::string body = absl::StrCat(this->book.incarnation(), " ", number);
    this->runtime.spawn([this, peer = this->copyHolderEndpoint, body] {
        (void)this->peers.call(peer, PeerMessageKind::ReleaseReceiptCopies, body, kCopyTimeout);
    });
}

bool ReceiptWriter::flushBatches()
{
    this->book.seal();
    const std::vector<ReceiptBatch> batches = this->book.sealed(kMaxBatchesPerWrite);
    if (batches.empty()) {
        return true;
    }
    std::vector<TableWrite> writes;
    for (const ReceiptBatch &batch : batches) {
        writes.push_back({batch.key(), encodeReceipts(batch.receipts), 0});
    }
    const auto results = this->table.write(writes);
    if (!results.ok()) {
        this->flushFailures.add();
        return false;
    }
    for (std::size_t index = 0; index < batches.size(); ++index) {
        const TableWriteResult &result = (*results)[index];
        const auto stored = result.applied
            ? absl::StatusOr<std::vector<Receipt>>(batches[index].receipts)
            : decodeReceipts(result.row.value);
        this->book.flushed(batches[index].number, stored.ok() ? *stored : std::vector<Receipt>());
        this->batchesFlushed.add();
    }
    this->resolveDurableGates();
    this->releaseCopies(batches.back().number);
    return true;
}

void ReceiptWriter::flushLoop()
{
    while (true) {
        this->runtime.sleepFor(this->settings.timing.receiptFlush);
        this->flushBatches();
    }
}

void ReceiptWriter::start()
{
    this->runtime.spawn([this] { this->copyLoop(); });
    this->runtime.spawn([this] { this->flushLoop(); });
}

bool ReceiptWriter::drain(Duration timeout)
{
    Duration waited{};
    while (this->book.waiting() > 0 && waited < timeout) {
        this->flushBatches();
        this->runtime.sleepFor(milliseconds(50));
        waited += milliseconds(50);
    }
    return this->book.waiting() == 0;
}

} // namespace basilnotch
