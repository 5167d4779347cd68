// Copies receipts to a peer and writes them to the table, and signals when an opening receipt is
// durable, so that the first byte of the answer may be sent.
#pragma once

#include <membership/Gossip.h>
#include <platform/TableService.h>
#include <receipts/PeerCopies.h>
#include <receipts/ReceiptBook.h>
#include <runtime/FiberEvent.h>
#include <settings/Settings.h>
#include <telemetry/Metrics.h>

#include <atomic>
#include <memory>
#include <optional>

namespace basilnotch {

class FiberRuntime;
class PeerMessenger;

/// Reports to a traffic thread whether an opening receipt is durable. Thread-safe.
struct ReceiptGate
{
    enum class State {
        Pending,
        Durable, ///< In the table, or copied to a peer.
        Rejected ///< Too many receipts are waiting.
    };

    std::atomic<State> state{State::Pending};
    FiberEvent changed;

    void resolve(State next)
    {
        this->state.store(next);
        this->changed.set();
    }
};

/// Control thread only.
class ReceiptWriter
{
public:
    ReceiptWriter(FiberRuntime &runtime, const Settings &settings, std::string incarnation,
                  TableService &table, PeerMessenger &peers, Metrics &metrics);

    /// Adds an opening receipt; `gate` resolves when it is durable or rejected.
    void open(Receipt receipt, std::shared_ptr<ReceiptGate> gate);
    /// Adds a closing receipt; never rejected.
    void close(Receipt receipt);
    /// Starts the fibers that copy and flush receipts.
    void start();
    /// Flushes waiting receipts; true if all are in the table before `timeout`. Blocks the calling
    /// fiber.
    bool drain(Duration timeout);
    /// Copies that this instance stores for its peers.
    PeerCopies &copies() { return this->peerCopies; }

private:
    struct PendingGate
    {
        ReceiptBook::Position position = 0;
        std::shared_ptr<ReceiptGate> gate;
    };

    void copyLoop();
    void flushLoop();
    bool flushBatches();
    void copyNewReceipts();
    void resolveDurableGates();
    void releaseCopies(std::uint64_t number);

    FiberRuntime &runtime;
    const Settings &settings;
    TableService &table;
    PeerMessenger &peers;
    ReceiptBook book;
    PeerCopies peerCopies;
    std::deque<PendingGate> pendingGates; ///< Ordered by position.
    FiberEvent receiptsAdded;
    std::string copyHolder; ///< Incarnation that stores the copies.
    Endpoint copyHolderEndpoint;
    Counter &opened;
    Counter &refused;
    Counter &batchesFlushed;
    Counter &flushFailures;
    Counter &waiting;
};

} // namespace basilnotch
