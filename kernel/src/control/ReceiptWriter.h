// Moves receipts: to the peer's copy, to the table, and opens the gate before the first byte.
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

/// The traffic side's view of an opening receipt.
struct ReceiptGate
{
    enum class State { Pending, Durable, Rejected };

    std::atomic<State> state{State::Pending};
    FiberEvent changed;

    void settle(State next)
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

    /// Adds an opening receipt; `gate` settles when it is safe or refused.
    void open(Receipt receipt, std::shared_ptr<ReceiptGate> gate);
    void close(Receipt receipt);
    /// Fibers that copy and flush; they end after stop().
    void start();
    /// Flushes what waits; true when all of it is in the table before `timeout`.
    bool drain(Duration timeout);
    PeerCopies &copies() { return this->held; }

private:
    struct WaitingGate
    {
        ReceiptBook::Position position = 0;
        std::shared_ptr<ReceiptGate> gate;
    };

    void copyLoop();
    void flushLoop();
    bool flushOnce();
    void copyOnce();
    void openGates();
    void releaseCopies(std::uint64_t number);

    FiberRuntime &runtime;
    const Settings &settings;
    TableService &table;
    PeerMessenger &peers;
    ReceiptBook book;
    PeerCopies held;
    std::deque<WaitingGate> gates; ///< In order of position.
    FiberEvent work;
    std::string copyPeer; ///< Incarnation that holds the copies.
    Endpoint copyEndpoint;
    Counter &opened;
    Counter &refused;
    Counter &batchesFlushed;
    Counter &flushFailures;
    Counter &waiting;
};

} // namespace basilnotch
