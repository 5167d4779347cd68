// The control thread of a site: watches the store, exchanges gossip with other instances, and
// publishes the resulting state as a SiteView.
#pragma once

#include "CatalogConfirmer.h"
#include "DomainRecords.h"
#include "PromptPartGossip.h"
#include "RecordGossip.h"
#include "RolloutController.h"
#include "SiteView.h"
#include "TableWatcher.h"

#include <kernel/Site.h>
#include <replica/Replica.h>
#include <runtime/FiberEvent.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>
#include <telemetry/EventLog.h>
#include <telemetry/Metrics.h>
#include <upstreams/Presence.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace basilnotch {

/// How long a crash of an upstream during a request is remembered.
inline constexpr Duration kCrashRetention = std::chrono::minutes(2);

/// Callbacks for the traffic thread, invoked on the control thread.
struct SiteListener
{
    std::function<void()> viewChanged;
    /// Another instance reports that `upstream` crashed while it ran the request with this
    /// fingerprint.
    std::function<void(const std::string &fingerprint, const std::string &upstream)> crash;
    /// Another instance reports a crash or an answer of requests with a prompt part.
    PromptPartGossip::ReportHandler promptPart;
};

/// How old this instance's knowledge of the site is.
struct SiteKnowledge
{
    /// Since the store confirmed that no newer configuration exists; empty if it never did.
    std::optional<Duration> sinceConfirmed;
    Duration sinceHeard{}; ///< Since a message of another instance.
    Duration running{};    ///< Since the start of the process.
};

/// Owns the control thread. Public methods may be called from any thread unless they say otherwise.
class SiteControl
{
public:
    SiteControl(SiteSettings settings, const SiteAdapter &adapter, const Clock &clock,
                EventLog &log, Metrics &metrics);
    ~SiteControl();
    SiteControl(const SiteControl &) = delete;
    SiteControl &operator=(const SiteControl &) = delete;

    /// Must be called before start().
    void setListener(SiteListener listener) { this->listener = std::move(listener); }
    /// Listens for peers and starts the thread. Returns an error when it cannot listen.
    absl::Status start();
    /// The latest published view; never null.
    std::shared_ptr<const SiteView> view() const { return this->published.get(); }
    SiteKnowledge knowledge() const;
    /// Whether the store has confirmed lately that the catalog is the newest one. A view that is
    /// read afterwards has that catalog.
    bool isCatalogConfirmed() const;
    /// The same after trying to get a confirmation. Blocks the calling fiber, at most for some
    /// tenths of a second.
    bool confirmCatalog();
    /// Identifies this process among all processes of the instance.
    const std::string &incarnation() const { return this->ownIncarnation; }
    /// Counts an answer for the roll-out of its service.
    void onAnswer(AnswerReport report);
    /// Tells the other instances that an upstream crashed while it ran a request.
    void onCrash(std::string fingerprint, std::string upstream);
    /// Tells the other instances of crashes or answers of requests with prompt parts.
    void onPromptParts(std::vector<PromptPartReport> reports);
    /// Tells the peers that this instance is stopping, and publishes `times` in the view.
    void leave(ShutdownTimes times);
    /// Applies changed bounds and seeds; other settings take effect at the next start.
    void applySettings(SiteSettings settings);

private:
    void run();
    /// Calls `work` from a new fiber, with a pause of `interval` between calls.
    void runEvery(Duration interval, std::function<void()> work);
    /// Takes notice of the epoch of a record, from whomever.
    void noteEpoch(RecordVersion version);
    /// Applies records that the replica has just merged, and announces them to the peers. `from` is
    /// the source, for the log.
    void applyChanges(const std::vector<Record> &changed, std::string_view from);
    void addSeeds();
    /// Merges a record into the replica and applies it; returns false when it is not newer.
    bool mergeRecord(const Record &record, std::string_view from);
    void applyRecord(const Record &record, std::string_view from);
    void applyCatalog(CatalogUpdate update, const Record &record, std::string_view from);
    void applyUpstream(UpstreamUpdate update, const Record &record, std::string_view from);
    void applyInternalRecord(const Record &record);
    void onTableSnapshot(const std::string &table, const RecordPage &page);
    void onChanges(const RecordPage &page);
    /// Every change of `table` before `asOf` has been applied.
    void onTableCurrent(const std::string &table, TimePoint asOf);
    void onRumors();
    /// Starts a round of gossip now instead of at the next interval.
    void scheduleGossip();
    /// Reports crashes that other instances have seen, and what they know of prompt parts, to the
    /// listener, each one once.
    void processCrashRumors();
    /// Removes rumors of crashes that are too old or belong to no roll-out in progress.
    void dropExpiredRumors();
    /// True once this instance has had time to learn of the others.
    bool hasSettled() const;
    /// Writes this instance's address into the store if the instance is selected for that.
    void announceIfSelected(const std::vector<std::string> &candidates);
    void announceSelf();
    void onStoreAccess(bool isAvailable);
    CatalogConfirmerOptions confirmerOptions();
    DomainRecordsOptions domainOptions();
    /// Logs fields of a record whose figures were out of range.
    void logClamped(const Record &record, const std::vector<std::string> &fields);
    void onDomainUpdate(const DomainUpdate &update, const Record &record, std::string_view from);
    void logDomain(const DomainUpdate &update, RecordVersion version, std::string_view from);
    /// Logs when operators have taken the last upstream out of service, or the first one back.
    void logServiceState(const UpstreamList &upstreams);
    /// Names of some instances that watch the table of the catalog. The same on all instances, so
    /// that one call to the store answers most of them.
    std::vector<std::string> catalogWatchers() const;
    /// Publishes a view now if one is about to be published.
    void publishPending();
    /// Selects the tables that this instance watches itself.
    void selectWatchedTables(const std::vector<std::string> &candidates);
    /// Once hasSettled(), calls selectWatchedTables() and announceIfSelected() with the instances
    /// that can reach the store as candidates.
    void updateAssignments();
    /// Drops the upstreams that are kept without a registration, each at its time.
    void scheduleExpiry();
    void tick();
    /// Measures and logs how late the tick at hand is.
    void recordDelay();
    /// Publishes a view now.
    void publish();
    /// Publishes a view with the changes made so far as soon as kPublishInterval allows.
    void publishSoon();
    /// Sets the members of `next` that depend on the state of the other instances.
    void fillDirectory(SiteView &next);

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
    const std::vector<std::string> tables; ///< All watched tables; kInternalTable is last.
    Replica replica;
    Presence presence;
    Gossip gossip;
    PeerMessenger peers;
    RecordGossip recordGossip;
    DomainRecords domains;
    PromptPartGossip promptParts;
    RolloutController rollouts;
    TableWatcher tableWatcher;
    CatalogConfirmer catalogConfirmer;
    std::shared_ptr<const Catalog> catalog;
    std::optional<RecordKey> catalogRecord;     ///< Key of the record with the catalog.
    RecordVersion catalogVersion = 0;           ///< Of the record that is in force.
    std::optional<StoreEpoch> storeEpoch;       ///< The newest one heard of.
    std::atomic<TimePoint> peerHeardAt{};       ///< As of the latest tick.
    std::uint64_t publishedGossipDigest = 0;    ///< Gossip digest of the published view.
    std::uint64_t publishedRolloutRevision = 0; ///< Roll-out revision of the published view.
    std::map<std::string, MemberState> loggedMemberStates;
    std::map<std::string, TimePoint> knownCrashes; ///< By rumor name; when first seen.
    bool isAllOutOfService = false;                ///< As logged; see logServiceState().
    bool announced = false;            ///< The address is in the store or is being written.
    bool gossipScheduled = false;      ///< A round of gossip is about to start.
    bool publishScheduled = false;     ///< A view is about to be published.
    bool expiryScheduled = false;      ///< A fiber waits to drop upstreams.
    FiberEvent expiryChanged;          ///< Wakes that fiber.
    TimePoint publishedAt{};           ///< Of the latest view.
    std::optional<TimePoint> tickedAt; ///< Of the latest tick; empty before the first.
    std::optional<ShutdownTimes> stop; ///< Set once this instance is leaving.
    std::thread thread;
};

} // namespace basilnotch
