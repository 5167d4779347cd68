// Closes the receipts of instances that are gone: flushes the copies held for them under their own
// batch keys, then closes what they left open, once.
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

    /// Makes an incarnation known as one that may owe receipts, so that its end is noticed even if
    /// all instances die. Repeat it for the own one: a paused process finds itself closed.
    absl::Status markOpen(const std::string &incarnation);
    void sweep();

private:
    bool isGone(const std::string &incarnation);
    bool flushCopies(const std::string &incarnation);
    void close(const std::string &incarnation, std::uint64_t rowVersion);
    std::set<std::string> liveIncarnations() const;

    Gossip &gossip;
    PeerCopies &copies;
    TableService &table;
    const Clock &clock;
    const Duration abandonAfter;
    std::map<std::string, TimePoint> missingSince; ///< Incarnations that are not alive, since when.
    Counter &closed;
};

} // namespace basilnotch
