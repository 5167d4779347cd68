// Closes the receipts of instances that have stopped without doing so. The copies held for such an
// instance are written to the table under its own batch keys; its open receipts are then closed
// once.
#pragma once

#include <base/Clock.h>
#include <membership/Gossip.h>
#include <platform/TableService.h>
#include <receipts/PeerCopies.h>
#include <telemetry/Metrics.h>

#include <map>
#include <set>
#include <string>

namespace basilnotch {

/// Control thread only; sweep() blocks the calling fiber.
class AbandonedReceiptSweeper
{
public:
    AbandonedReceiptSweeper(Gossip &gossip, PeerCopies &copies, TableService &table,
                            const Clock &clock, Duration abandonAfter, Metrics &metrics);

    /// Records in the table that `incarnation` may leave open receipts, so that they are closed
    /// even if all instances fail. Each instance repeats the call for its own incarnation, because
    /// a process that was paused may have been marked as closed meanwhile. Blocks the calling
    /// fiber.
    absl::Status markOpen(const std::string &incarnation);
    /// Flushes the copies of absent incarnations. One live instance also closes their receipts.
    void sweep();

private:
    bool isAbandoned(const std::string &incarnation);
    bool flushCopies(const std::string &incarnation);
    void closeOpenReceipts(const std::string &incarnation, std::uint64_t rowVersion);
    std::set<std::string> liveIncarnations() const;

    Gossip &gossip;
    PeerCopies &copies;
    TableService &table;
    const Clock &clock;
    const Duration abandonAfter;
    std::map<std::string, TimePoint>
        missingSince; ///< When each absent incarnation was first missed.
    Counter &closedReceipts;
};

} // namespace basilnotch
