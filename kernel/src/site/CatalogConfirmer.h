// Finds out whether the catalog in force is the newest one. An instance may learn of a change late,
// for whatever reason, and must not reject a request as wrong that a newer catalog allows.
#pragma once

#include "control/PeerMessenger.h"

#include <base/Clock.h>
#include <membership/Gossip.h>
#include <replica/Replica.h>
#include <runtime/FiberRuntime.h>
#include <telemetry/EventLog.h>
#include <telemetry/Metrics.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace basilnotch {

/// What the owner provides.
struct CatalogConfirmerOptions
{
    /// The record with the catalog; empty until one is known.
    std::function<std::optional<RecordKey>()> record;
    /// Whether the store answers this instance.
    std::function<bool()> hasStore;
    /// Asks the store for changes of that table. Blocks the calling fiber; calls onConfirmed().
    std::function<void()> askStore;
    /// Names of instances that watch the table for all, in an order that all instances share.
    std::function<std::vector<std::string>()> watchers;
    /// Applies a newer record from a peer.
    std::function<void(const Record &)> apply;
    /// Starts to fetch a version of the record that is too large for an answer; `holder` has it.
    std::function<void(const RecordKey &key, RecordVersion version, const std::string &holder)>
        fetch;
    /// Publishes what has been applied, from whomever. Called before each confirmation takes
    /// effect: a request must not be judged by an older catalog than the confirmed one.
    std::function<void()> publish;
};

/// A confirmation is the time at which the store had nothing newer than what is published here. It
/// comes from the store, or from a peer that has asked the store. Control thread only, except where
/// noted.
class CatalogConfirmer
{
public:
    CatalogConfirmer(FiberRuntime &runtime, Gossip &gossip, PeerMessenger &peers,
                     const Replica &replica, CatalogConfirmerOptions options, const Clock &clock,
                     EventLog &log, Metrics &metrics);

    /// Every catalog that the store acknowledged before this is published; empty until the first
    /// confirmation. Thread-safe.
    std::optional<TimePoint> confirmedAt() const;
    void onConfirmed(TimePoint asOf);
    /// Tries to get a confirmation that is not older than `notBefore`: from the store or from
    /// peers, for a bounded time. Fibers that ask at the same time share one attempt. Blocks the
    /// calling fiber. Returns at once when there is nobody to ask.
    bool confirm(TimePoint notBefore);

private:
    /// Asks one source and blocks the calling fiber until its answer.
    using Source = std::function<void()>;

    /// Sources in the order in which they are asked.
    std::vector<Source> sources();
    void attempt(const std::vector<Source> &sources);
    bool isConfirmed(TimePoint notBefore) const;
    void askPeer(const Member &member);
    /// Waits until the replica has `version`, which `holder` has; false when it does not come.
    bool awaitVersion(const RecordKey &key, RecordVersion version, const std::string &holder);
    /// Answers a peer from the store alone.
    std::string handlePeer(const std::string &body);

    FiberRuntime &runtime;
    Gossip &gossip;
    PeerMessenger &peers;
    const Replica &replica;
    const CatalogConfirmerOptions options;
    const Clock &clock;
    EventLog &log;
    Counter &attempts;
    Counter &failures;
    std::atomic<TimePoint> confirmed{TimePoint::min()};
    bool attempting = false;
    bool askingStore = false; ///< For a peer.
    int awaited = 0;          ///< Versions that are being fetched.
    TimePoint retryAt{};      ///< Until then, confirm() makes no attempt.
};

} // namespace basilnotch
