// The control thread of a site: follows the store, gossips with other instances, and publishes what
// it knows as a SiteView.
#pragma once

#include "RecordGossip.h"
#include "RolloutController.h"
#include "SiteView.h"
#include "TableWatcher.h"

#include <kernel/Site.h>
#include <replica/Replica.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>
#include <telemetry/EventLog.h>
#include <telemetry/Metrics.h>
#include <upstreams/Presence.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace basilnotch {

/// How long it is remembered that an upstream crashed while it ran a request.
inline constexpr Duration kCrashRetention = std::chrono::minutes(2);

/// What the traffic thread needs to hear at once. Called on the control thread.
struct SiteListener
{
    std::function<void()> viewChanged;
    std::function<void(const std::string &fingerprint, const std::string &upstream)> crash;
};

/// Public methods may be called from any thread.
class SiteControl
{
public:
    SiteControl(SiteSettings settings, const SiteAdapter &adapter, const Clock &clock,
                EventLog &log, Metrics &metrics);
    ~SiteControl();
    SiteControl(const SiteControl &) = delete;
    SiteControl &operator=(const SiteControl &) = delete;

    /// Before start().
    void setListener(SiteListener listener) { this->listener = std::move(listener); }
    absl::Status start();
    std::shared_ptr<const SiteView> view() const { return this->published.get(); }
    /// Distinguishes this process from others of the same instance.
    const std::string &incarnation() const { return this->ownIncarnation; }
    void onAnswer(AnswerReport report);
    /// An upstream crashed while it ran a request; tells the other instances.
    void onCrash(std::string fingerprint, std::string upstream);
    /// Says to peers that this instance is about to stop.
    void leave(ShutdownTimes times);
    void applySettings(SiteSettings settings);

private:
    void run();
    void every(Duration interval, std::function<void()> work);
    /// Applies records that are newer than what was known, and passes them on.
    void takeNews(const std::vector<Record> &changed, std::string_view from);
    void addSeeds();
    bool takeRecord(const Record &record, std::string_view from);
    void applyFact(const Record &record, std::string_view from);
    void takeOwnRecord(const Record &record);
    void onTable(const std::string &table, const RecordPage &page);
    void onChanges(const RecordPage &page);
    void onRumors();
    /// Passes news on now, instead of with the next round of gossip.
    void spreadNews();
    void takeCrashes();
    /// Drops what is told once and no longer matters.
    void forgetOld();
    /// True once this instance has had time to hear of the others.
    bool hasSettled() const;
    /// Writes this instance's address into the store if it is one of those that should be there.
    void announceIfChosen(const std::vector<std::string> &candidates);
    void announceSelf();
    void onStoreAccess(bool answers);
    /// Decides which tables this instance watches itself.
    void chooseWatches(const std::vector<std::string> &candidates);
    /// Does both, among the instances that the store answers.
    void takeDuties();
    void tick();
    void publish();
    /// Fills in who takes work, by what peers say.
    void listMembers(SiteView &next);

    SiteSettings settings;
    const SiteAdapter &adapter;
    const Clock &clock;
    EventLog &log;
    Metrics &metrics;
    const TimePoint startedAt;
    const std::string ownIncarnation;
    Settings peerSettings; ///< The part of the settings that PeerMessenger reads.
    SiteListener listener;
    AtomicSharedValue<SiteView> published;

    FiberRuntime runtime;
    HttpClient client;
    std::unique_ptr<RecordStore> store;
    const std::vector<std::string> tables; ///< All that are followed, our own last.
    Replica replica;
    Presence presence;
    Gossip gossip;
    PeerMessenger peers;
    RecordGossip relay;
    RolloutController rollouts;
    TableWatcher feed;
    std::shared_ptr<const Catalog> catalog;
    std::uint64_t seenRumors = 0;   ///< Digest of the gossip when the view was last made.
    std::uint64_t seenRollouts = 0; ///< Revision of the roll-outs when the view was last made.
    std::map<std::string, MemberState> seenMembers;
    std::map<std::string, TimePoint> knownCrashes; ///< When they were first heard of.
    bool announced = false;
    bool spreading = false;            ///< News are about to be passed on.
    std::optional<ShutdownTimes> stop; ///< Set once this instance is leaving.
    std::thread thread;
};

} // namespace basilnotch
