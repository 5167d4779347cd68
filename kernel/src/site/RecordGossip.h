// Distributes the store's records between instances, so that an instance which the store refuses
// still learns of changes. Gossip carries small records whole and only the version of large ones;
// an instance fetches a large record from its peers, see docs/design/configuration-spread.md.
#pragma once

#include "control/PeerMessenger.h"

#include <base/Clock.h>
#include <membership/Gossip.h>
#include <replica/RecordFetch.h>
#include <replica/RecordSource.h>
#include <replica/Replica.h>
#include <runtime/FiberEvent.h>
#include <telemetry/EventLog.h>
#include <telemetry/Metrics.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
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

    /// Fetches `version` or a later one from the peers, unless it is known or a fetch of the record
    /// is under way, which then goes on to that version. `holder`, if not empty, has it.
    void fetch(const RecordKey &key, RecordVersion version, const std::string &holder = {});
    /// Sets how a record is read from the store, for a fetch that makes no progress. It blocks the
    /// calling fiber.
    void onStalled(std::function<void(const RecordKey &key)> read)
    {
        this->readStore = std::move(read);
    }

private:
    /// A fetch under way, shared by the fibers of its calls; they may outlive it.
    struct Fetch
    {
        explicit Fetch(RecordFetch fetch)
            : fetch(std::move(fetch))
        { }

        RecordFetch fetch;
        TimePoint beganAt{};
        FiberEvent changed; ///< Set at the end of each call.
    };

    /// One fiber for each fetch, until the record is known.
    void run(const std::shared_ptr<Fetch> &fetch);
    /// Asks one peer; a fiber waits for its answer.
    void ask(const std::shared_ptr<Fetch> &fetch, RecordAsk ask);
    void askStore(const std::shared_ptr<Fetch> &fetch);
    /// The peers to ask, in this order.
    std::vector<std::string> fetchCandidates(const RecordKey &key);
    /// Logs if `peer` has completed an encoding that is wrong; `before` is the count before it.
    void logRejected(const Fetch &fetch, int before, const std::string &peer);
    /// Logs and counts the end of a fetch.
    void onFetchEnded(const Fetch &fetch);
    std::string handleFetch(const std::string &text);
    /// Returns a whole record, as instances of earlier releases ask for it.
    std::string handleWholeFetch(const std::string &name) const;

    FiberRuntime &runtime;
    Gossip &gossip;
    PeerMessenger &peers;
    const Replica &replica;
    const RecordHandler onRecord;
    const Clock &clock;
    EventLog &log;
    RecordSource source;
    Counter &fetches;
    Counter &failedFetches;
    Counter &fetchedBytes;
    Counter &rejectedFetches;
    Counter &servedBytes;
    Counter &refusedBusy;
    std::mt19937_64 random;
    std::function<void(const RecordKey &key)> readStore;
    std::map<RecordKey, std::shared_ptr<Fetch>> fetching;
    std::deque<std::pair<RecordKey, TimePoint>> recent; ///< Announced lately, oldest first.
    std::uint64_t processedDigest = 0; ///< Digest of the gossip that was processed last.
};

} // namespace basilnotch
