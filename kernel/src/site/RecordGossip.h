// Passes records of the store on between instances, so that one which the store turns away still
// hears of changes. Small records travel inside the gossip; of large ones only the version does,
// and whoever lacks them asks a peer.
#pragma once

#include "control/PeerMessenger.h"

#include <membership/Gossip.h>
#include <replica/Replica.h>

#include <functional>
#include <set>

namespace basilnotch {

/// Control thread only.
class RecordGossip
{
public:
    /// A record from a peer; returns true when it was newer than what was known.
    using Take = std::function<bool(const Record &record)>;

    RecordGossip(FiberRuntime &runtime, Gossip &gossip, PeerMessenger &peers,
                 const Replica &replica, Take take);

    /// Tells peers of a record that has come from the store.
    void tell(const Record &record);
    /// Looks through the gossip for records that are newer than ours.
    void takeRumors();

private:
    void fetch(const RecordKey &key, RecordVersion version);
    std::string answerFetch(const std::string &name) const;

    FiberRuntime &runtime;
    Gossip &gossip;
    PeerMessenger &peers;
    const Replica &replica;
    const Take take;
    std::set<RecordKey> fetching;
    std::uint64_t seenDigest = 0; ///< Of the gossip that was last looked through.
};

} // namespace basilnotch
