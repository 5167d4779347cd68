// Records by which operators take failure domains out of service. A change spreads like that of any
// record; beyond that, an instance that has just started must not send anything before it knows
// them.
#pragma once

#include "control/PeerMessenger.h"

#include <base/Clock.h>
#include <membership/Gossip.h>
#include <replica/Replica.h>
#include <runtime/FiberRuntime.h>
#include <telemetry/EventLog.h>
#include <telemetry/Metrics.h>
#include <upstreams/UpstreamList.h>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace basilnotch {

/// What the owner provides.
struct DomainRecordsOptions
{
    /// Tables of the store that may hold such records; once all have been read, none is unknown.
    std::set<std::string> tables;
    /// Without the store and an informed peer, an instance counts as informed after this time: by
    /// then gossip has brought what the peers know.
    Duration longestWait = std::chrono::seconds(5);
    /// A store that comes back from a copy may lack a record until it is written again.
    Duration returnGrace = std::chrono::seconds(2);
    /// Applies a record from a peer if it is newer than the known one.
    std::function<void(const Record &)> apply;
    /// This instance has become informed; see DomainRecords::isInformed().
    std::function<void()> onInformed;
};

/// Control thread only.
class DomainRecords
{
public:
    DomainRecords(FiberRuntime &runtime, Gossip &gossip, PeerMessenger &peers,
                  const Replica &replica, DomainRecordsOptions options, const Clock &clock,
                  EventLog &log, Metrics &metrics);

    /// `record` puts a failure domain out of service, or back. Returns whether that is a change. A
    /// deletion by a restored store takes effect after returnGrace; see expire().
    bool onRecord(const Record &record, const std::string &domain, bool isOutOfService);
    /// Returns domains to service whose records have not been written again in time.
    std::vector<std::string> expire();
    const DomainNames &outOfService() const { return this->names; }
    void onTableRead(const std::string &table);
    /// Whether this instance knows every record that was acknowledged before its start.
    bool isInformed() const { return this->informed; }
    /// Until this instance is informed, asks peers. Call it at short intervals.
    void tick();

private:
    struct Entry
    {
        RecordKey key;
        RecordVersion version = 0;         ///< Of the record that has put it out of service.
        std::optional<TimePoint> returnAt; ///< Set while a restored store lacks the record.
    };

    void remove(const std::string &domain);
    /// Asks a few peers, one after the other, until one of them is informed.
    void askPeers();
    /// Applies a peer's reply; false when the peer is not informed either.
    bool takeReply(const std::string &reply);
    std::string handlePeer() const;
    void setInformed(std::string_view by);

    FiberRuntime &runtime;
    Gossip &gossip;
    PeerMessenger &peers;
    const Replica &replica;
    const DomainRecordsOptions options;
    const Clock &clock;
    EventLog &log;
    Counter &outOfServiceGauge;
    const TimePoint startedAt;
    std::mt19937_64 random;
    DomainNames names;                    ///< Out of service.
    std::map<std::string, Entry> entries; ///< By name. Invariant: has exactly `names`.
    std::set<std::string> unread;         ///< Of options.tables.
    bool informed = false;
    bool asking = false; ///< askPeers() is under way.
};

} // namespace basilnotch
