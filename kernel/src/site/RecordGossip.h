// Distributes the store's records between instances, so that an instance which the store refuses
// still learns of changes. Gossip carries small records whole and only the version of large ones;
// an instance fetches a large record from a peer.
#pragma once

#include "control/PeerMessenger.h"

#include <base/Clock.h>
#include <membership/Gossip.h>
#include <replica/Replica.h>
#include <runtime/FiberEvent.h>
#include <telemetry/EventLog.h>
#include <telemetry/Metrics.h>

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace basilnotch {

/// Control thread only.
class RecordGossip
{
public:
    /// Handles a record from a peer. Returns true when it is newer than the known one.
    using RecordHandler = std::function<bool(const Record &record)>;

    RecordGossip(FiberRuntime &runtime, Gossip &gossip, PeerMessenger &peers,
                 const Replica &replica, RecordHandler onRecord, const Clock &clock, EventLog &log,
                 Metrics &metrics);

    /// Publishes a new record, from the store or from a peer, to the peers.
    void announce(const Record &record);
    /// Sends the records that have changed lately, and the one of `always`, to the peers again, so
    /// that an instance that has missed a change need not wait for a repair.
    void refresh(const std::optional<RecordKey> &always);
    /// Handles the records in gossip that are newer than those in the replica.
    void processRumors();

private:
    /// A fetch under way, shared by the fibers of its calls.
    struct Fetch
    {
        RecordKey key;
        RecordVersion version = 0; ///< Least version that is wanted.
        TimePoint beganAt{};
        int asked = 0;       ///< Peers.
        int pending = 0;     ///< Of these: calls under way.
        int unreachable = 0; ///< Of these: no answer in time.
        FiberEvent answered; ///< Set at the end of each call.
    };

    void fetch(const RecordKey &key, RecordVersion version);
    /// The peers to ask, in this order.
    std::vector<Member> fetchCandidates(const RecordKey &key);
    /// The replica has the record, from whomever.
    bool isKnown(const Fetch &fetch) const;
    /// Asks one peer and waits for its answer.
    void ask(Fetch &fetch, const Member &member);
    /// Logs and counts the end of a fetch.
    void onFetchEnded(const Fetch &fetch);
    std::string handleFetch(const std::string &name) const;

    FiberRuntime &runtime;
    Gossip &gossip;
    PeerMessenger &peers;
    const Replica &replica;
    const RecordHandler onRecord;
    const Clock &clock;
    EventLog &log;
    Counter &fetches;
    Counter &failedFetches;
    std::mt19937_64 random;
    std::set<RecordKey> fetching;
    std::deque<std::pair<RecordKey, TimePoint>> recent; ///< Announced lately, oldest first.
    std::uint64_t processedDigest = 0; ///< Digest of the gossip that was processed last.
};

} // namespace basilnotch
