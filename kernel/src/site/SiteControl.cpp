// Each change of state is logged in one line together with its cause.
#include "SiteControl.h"

#include "StoreAccess.h"

#include <base/Hash.h>
#include <runtime/FiberEvent.h>
#include <runtime/FiberRuntime.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <algorithm>

namespace basilnotch {

namespace {

namespace json = boost::json;

constexpr std::size_t kIncarnationBytes = 6;
constexpr char kMemberPrefix[] = "member/";
// Between fingerprint and upstream in the name of a crash rumor.
constexpr char kRumorNameSeparator = '\x1f';
/// A few rounds reach every instance well within the time limit for a change to take effect.
constexpr Duration kGossipInterval = milliseconds(250);
constexpr Duration kTickInterval = milliseconds(200);
/// Less than the time within which changes must take effect, with time for a second refresh.
constexpr Duration kRefreshInterval = milliseconds(750);
/// A request is rejected as wrong only by a catalog that was the newest one so long ago, or later.
/// Less than the time within which changes must take effect.
constexpr Duration kMaxCatalogAge = milliseconds(1000);
/// Above the time of an attempt of CatalogConfirmer.
constexpr Duration kConfirmTimeout = milliseconds(600);
/// A control thread that is this late delays every change that peers or the store tell.
constexpr Duration kOverloadDelay = milliseconds(200);
/// Least time between two views. Both threads pay for each view as much as for the whole site, so
/// changes that arrive together share one.
constexpr Duration kPublishInterval = milliseconds(20);
/// Members that get a change at once; each of them passes it on the same way.
constexpr int kGossipFanOut = 3;
constexpr Duration kGossipBatchDelay = milliseconds(10); // Batches changes that arrive together.
/// Instances that watch a table for all. The store may refuse a third of them at the same time.
constexpr std::size_t kMaxTableWatchersSmallSite = 4;
constexpr std::size_t kMaxTableWatchersLargeSite = 8;
/// Without a message of any other instance. Some rounds of gossip.
constexpr Duration kIsolationTime = milliseconds(1000);
/// Two rounds of gossip: a starting instance learns of the others before it computes its own
/// assignments. Changes in this time are read afterwards, so it must be short against the time
/// limit for a change to take effect.
constexpr Duration kSettleTime = milliseconds(500);
/// Instances of a large site that write their addresses into the store, for starting instances
/// whose seeds are all gone. Most of these instances may be lost at the same time.
constexpr std::size_t kMaxAnnouncedInstances = 12;
/// When all instances stop at the same time, one in this many accepts requests until it must exit.
/// The others exit as soon as their requests are done, so that they restart sooner.
constexpr std::size_t kLastResortDivisor = 3;
constexpr char kLastResort[] = "last resort";    // Key of the rendezvous hash.
constexpr std::int64_t kUnstatedColdTime = -1;   // In the log.
constexpr std::size_t kMaxKnownCrashes = 10'000; // Remembered, so that each is reported once.

Settings makePeerSettings(const SiteSettings &site)
{
    Settings settings;
    settings.name = site.instance;
    settings.failureDomain = site.failureDomain;
    settings.peerListen = site.peers;
    settings.limits.memoryMb = site.memoryMb;
    settings.limits.maxDescriptors = site.maxDescriptors;
    settings.peerAddress = site.peers;
    return settings;
}

Member makeMember(const SiteSettings &site, const std::string &incarnation)
{
    return {site.instance,      incarnation,        site.callers,        site.peers,
            site.failureDomain, MemberState::Alive, site.processorMillis};
}

std::vector<std::string> allTables(const RecordCodec &recordCodec)
{
    std::vector<std::string> tables = recordCodec.watchedTables();
    tables.emplace_back(kInternalTable);
    return tables;
}

std::string_view stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

SiteControl::SiteControl(SiteSettings initialSettings, const SiteAdapter &adapter,
                         const Clock &clock, EventLog &log, Metrics &metrics)
    : settings(std::move(initialSettings))
    , adapter(adapter)
    , clock(clock)
    , log(log)
    , metrics(metrics)
    , startedAt(clock.now())
    , ownIncarnation(absl::StrCat(this->settings.instance, "-", randomHex(kIncarnationBytes)))
    , peerSettings(makePeerSettings(this->settings))
    , client(this->runtime)
    , store(adapter.makeStore(this->client))
    , tables(allTables(adapter.recordCodec()))
    , presence({.drain = this->settings.bounds.drain}, clock)
    , gossip(makeMember(this->settings, this->ownIncarnation), firstMemberVersion(clock), {}, clock,
             hash64(this->ownIncarnation))
    , peers(this->runtime, this->peerSettings, this->gossip, metrics)
    , recordGossip(
          this->runtime, this->gossip, this->peers, this->replica,
          [this](const Record &record) { return this->mergeRecord(record, "peer"); }, clock, log,
          metrics)
    , domains(this->runtime, this->gossip, this->peers, this->replica, this->domainOptions(), clock,
              log, metrics)
    , promptParts(this->gossip, clock, kCrashRetention)
    , rollouts(this->runtime, *this->store, adapter.recordCodec(), this->gossip, this->peers, clock,
               log)
    , tableWatcher(
          this->runtime, *this->store, this->tables, {},
          {[this](const std::string &table, const RecordPage &page) {
               this->onTableSnapshot(table, page);
           },
           [this](const std::string &, const RecordPage &page) { this->onChanges(page); },
           [this](const std::string &table, TimePoint asOf) { this->onTableCurrent(table, asOf); },
           [this](bool isAvailable) { this->onStoreAccess(isAvailable); }},
          clock, log, metrics, hash64(this->ownIncarnation, 1))
    , catalogConfirmer(this->runtime, this->gossip, this->peers, this->replica,
                       this->confirmerOptions(), clock, log, metrics)
{
    this->peerHeardAt.store(this->startedAt);
    this->addSeeds();
    this->peers.onRumors([this] { this->onRumors(); });
    this->recordGossip.onStalled([this](const RecordKey &key) {
        if (this->tableWatcher.isAvailable()) {
            this->tableWatcher.refresh(key.table);
        }
    });
}

SiteControl::~SiteControl()
{
    if (this->thread.joinable()) {
        this->thread.detach(); // The process ends by exit(); see SiteProcess.
    }
}

absl::Status SiteControl::start()
{
    const absl::Status bound = this->peers.start();
    if (!bound.ok()) {
        return bound;
    }
    this->tableWatcher.start();
    this->runEvery(kGossipInterval, [this] { this->peers.gossipRound(); });
    this->runEvery(kTickInterval, [this] { this->tick(); });
    this->runEvery(kRefreshInterval, [this] { this->recordGossip.refresh(this->catalogRecord); });
    this->publish();
    this->thread = std::thread([this] { this->runtime.run(); });
    return absl::OkStatus();
}

void SiteControl::runEvery(Duration interval, std::function<void()> work)
{
    this->runtime.post([this, interval, work = std::move(work)] {
        while (true) {
            work();
            this->runtime.sleepFor(interval);
        }
    });
}

void SiteControl::addSeeds()
{
    for (const Endpoint &seed : this->settings.seeds) {
        if (seed != this->settings.peers) {
            this->gossip.addSeed(seed.text(), seed);
        }
    }
}

bool SiteControl::hasSettled() const
{
    return this->clock.now() - this->startedAt >= kSettleTime;
}

void SiteControl::updateAssignments()
{
    if (!this->hasSettled()) {
        return;
    }
    const std::vector<std::string> candidates = instancesWithStoreAccess(this->gossip);
    this->selectWatchedTables(candidates);
    this->announceIfSelected(candidates);
}

void SiteControl::announceIfSelected(const std::vector<std::string> &candidates)
{
    if (this->announced || !this->tableWatcher.lastCallSucceeded()) {
        return;
    }
    const bool isSelected = candidates.size() <= kMaxSmallSiteInstances
        || rendezvousRank(kMemberPrefix, this->settings.instance, candidates)
            < kMaxAnnouncedInstances;
    if (isSelected) {
        // One attempt at a time; announceSelf() resets this after a failure.
        this->announced = true;
        this->runtime.spawn([this] { this->announceSelf(); });
    }
}

void SiteControl::announceSelf()
{
    const json::object body{{"peers", this->settings.peers.text()}};
    const std::string value = json::serialize(body);
    const RecordKey key{kInternalTable, kMemberPrefix + this->settings.instance};
    const Record *known = this->replica.find(key);
    if (known && !known->deleted && known->value == value) {
        return; // An earlier process of this instance has written the same value.
    }
    const auto written = this->store->commit({}, {{key, value}});
    if (!written.ok()) {
        const std::string why = describe(written.status());
        this->log.write(LogKind::State, "instance not announced", {{"why", why}});
    }
    this->announced = written.ok();
}

void SiteControl::onStoreAccess(bool isAvailable)
{
    if (isAvailable) {
        this->presence.onStoreReturned();
    }
    tellStoreAccess(this->gossip, isAvailable);
    this->updateAssignments();
}

void SiteControl::selectWatchedTables(const std::vector<std::string> &candidates)
{
    const std::size_t count = candidates.size();
    // An instance that hears nothing from the others must not rely on those that watch for it.
    const bool isIsolated = this->gossip.sinceHeard() >= kIsolationTime;
    for (const std::string &table : this->tables) {
        const std::size_t rank =
            isIsolated ? 0 : rendezvousRank(table, this->settings.instance, candidates);
        const std::size_t maxWatchers = count > kMaxSmallSiteInstances ? kMaxTableWatchersLargeSite
                                                                       : kMaxTableWatchersSmallSite;
        const bool all = count <= kMaxSmallSiteInstances && table != kInternalTable;
        // An instance that the store refuses is no candidate, but goes on watching such a table.
        const std::size_t watchers = all ? std::max(count, rank + 1)
                                         : std::max<std::size_t>(1, std::min(maxWatchers, count));
        this->tableWatcher.setWatchers(table, rank, watchers);
    }
}

void SiteControl::onTableSnapshot(const std::string &table, const RecordPage &page)
{
    if (!page.unreadable.empty()) {
        this->log.write(LogKind::State, "rows unreadable",
                        {{"table", table},
                         {"places", static_cast<std::int64_t>(page.unreadable.size())},
                         {"firstFrom", page.unreadable.front().first}});
    }
    this->applyChanges(this->replica.mergeTable(table, page), "store");
    this->domains.onTableRead(table);
}

void SiteControl::onChanges(const RecordPage &page)
{
    std::vector<Record> changed;
    for (const Record &record : page.records) {
        if (this->replica.merge(record)) {
            changed.push_back(*this->replica.find(record.key));
        }
    }
    this->applyChanges(changed, "store");
}

void SiteControl::onTableCurrent(const std::string &table, TimePoint asOf)
{
    if (this->catalogRecord && this->catalogRecord->table == table) {
        this->catalogConfirmer.onConfirmed(asOf);
    }
}

CatalogConfirmerOptions SiteControl::confirmerOptions()
{
    CatalogConfirmerOptions options;
    options.record = [this] { return this->catalogRecord; };
    options.hasStore = [this] { return this->tableWatcher.isAvailable(); };
    options.askStore = [this] {
        const std::string table = this->catalogRecord->table; // May be set anew during the call.
        this->tableWatcher.refresh(table);
    };
    options.watchers = [this] { return this->catalogWatchers(); };
    options.apply = [this](const Record &record) { this->mergeRecord(record, "peer"); };
    options.fetch = [this](const RecordKey &key, RecordVersion version, const std::string &holder) {
        this->recordGossip.fetch(key, version, holder);
    };
    options.publish = [this] { this->publishPending(); };
    return options;
}

DomainRecordsOptions SiteControl::domainOptions()
{
    DomainRecordsOptions options;
    for (const std::string &table : this->adapter.recordCodec().watchedTables()) {
        options.tables.insert(table);
    }
    options.longestWait = this->settings.bounds.outOfService;
    options.apply = [this](const Record &record) { this->mergeRecord(record, "peer"); };
    options.onInformed = [this] { this->publishSoon(); };
    return options;
}

std::vector<std::string> SiteControl::catalogWatchers() const
{
    constexpr std::size_t kMaxNames = 4; // One of them may be this instance.
    return rendezvousFirst(this->catalogRecord->table, instancesWithStoreAccess(this->gossip),
                           kMaxNames);
}

bool SiteControl::isCatalogConfirmed() const
{
    const std::optional<TimePoint> confirmedAt = this->catalogConfirmer.confirmedAt();
    return confirmedAt && this->clock.now() - *confirmedAt <= kMaxCatalogAge;
}

bool SiteControl::confirmCatalog()
{
    const FiberEvent done;
    this->runtime.post([this, done] {
        (void)this->catalogConfirmer.confirm(this->clock.now() - kMaxCatalogAge);
        done.set();
    });
    (void)done.waitFor(kConfirmTimeout);
    return this->isCatalogConfirmed();
}

SiteKnowledge SiteControl::knowledge() const
{
    const TimePoint now = this->clock.now();
    SiteKnowledge knowledge;
    if (const std::optional<TimePoint> confirmedAt = this->catalogConfirmer.confirmedAt()) {
        knowledge.sinceConfirmed = now - *confirmedAt;
    }
    knowledge.sinceHeard = now - this->peerHeardAt.load();
    knowledge.running = now - this->startedAt;
    return knowledge;
}

bool SiteControl::mergeRecord(const Record &record, std::string_view from)
{
    if (!this->replica.merge(record)) {
        return false;
    }
    this->applyChanges({*this->replica.find(record.key)}, from);
    return true;
}

void SiteControl::noteEpoch(RecordVersion version)
{
    const StoreEpoch epoch = epochOf(version);
    const std::optional<StoreEpoch> before = this->storeEpoch;
    if (before && epoch <= *before) {
        return;
    }
    this->storeEpoch = epoch;
    if (!before) {
        return;
    }
    this->log.write(LogKind::State, "store restored",
                    {{"epoch", static_cast<std::int64_t>(epoch)},
                     {"before", static_cast<std::int64_t>(*before)}});
    // What is missing in the copy may be written again, as after an outage.
    this->presence.onStoreReturned();
    this->announced = false;
    this->tableWatcher.renewWatches();
}

void SiteControl::applyChanges(const std::vector<Record> &changed, std::string_view from)
{
    if (changed.empty()) {
        return;
    }
    for (const Record &record : changed) {
        this->noteEpoch(record.version);
        this->applyRecord(record, from);
        this->recordGossip.announce(record);
    }
    this->publishSoon();
    this->scheduleGossip();
}

void SiteControl::scheduleGossip()
{
    if (std::exchange(this->gossipScheduled, true)) {
        return;
    }
    this->runtime.spawn([this] {
        this->runtime.sleepFor(kGossipBatchDelay);
        this->gossipScheduled = false;
        for (int number = 0; number < kGossipFanOut; ++number) {
            this->peers.gossipRound();
        }
    });
}

void SiteControl::applyInternalRecord(const Record &record)
{
    if (!absl::StartsWith(record.key.name, kMemberPrefix)) {
        this->rollouts.onInternalRecord(record);
        return;
    }
    if (record.deleted) {
        const bool isOwn = record.key.name == kMemberPrefix + this->settings.instance;
        this->announced = this->announced && !isOwn;
        return;
    }
    json::error_code error;
    const json::value document = json::parse(record.value, error);
    const json::value *address =
        !error && document.is_object() ? document.as_object().if_contains("peers") : nullptr;
    Endpoint peers;
    if (address && address->is_string()
        && parseEndpoint(std::string(address->as_string()), &peers)) {
        this->gossip.addSeed(record.key.name.substr(sizeof(kMemberPrefix) - 1), peers);
    }
}

void SiteControl::applyRecord(const Record &record, std::string_view from)
{
    if (record.key.table == kInternalTable) {
        this->applyInternalRecord(record);
        return;
    }
    absl::StatusOr<SiteUpdate> update = this->adapter.recordCodec().decode(record);
    const auto version = static_cast<std::int64_t>(record.version);
    if (!update.ok()) {
        const std::string why = describe(update.status());
        this->log.write(LogKind::State, "record unreadable",
                        {{"record", record.key.name}, {"version", version}, {"why", why}});
        // An upstream whose record is malformed must not be used.
        this->presence.drop(record.key.name);
        return;
    }
    if (auto *configured = std::get_if<CatalogUpdate>(&*update)) {
        this->applyCatalog(std::move(*configured), record, from);
    } else if (auto *registered = std::get_if<UpstreamUpdate>(&*update)) {
        this->applyUpstream(std::move(*registered), record, from);
    } else if (const auto *removed = std::get_if<UpstreamRemoval>(&*update)) {
        this->log.write(LogKind::State, "upstream gone",
                        {{"upstream", removed->id}, {"record", version}, {"from", from}});
        if (this->presence.onRemoved(removed->id)) {
            this->log.write(LogKind::State, "upstream kept", {{"upstream", removed->id}});
            this->scheduleExpiry();
        }
    } else if (const auto *rollout = std::get_if<RolloutUpdate>(&*update)) {
        this->rollouts.onOrder(rollout->order, record.version);
    } else if (const auto *domain = std::get_if<DomainUpdate>(&*update)) {
        this->onDomainUpdate(*domain, record, from);
    }
}

void SiteControl::applyCatalog(CatalogUpdate update, const Record &record, std::string_view from)
{
    this->catalogRecord = record.key;
    const auto version = static_cast<std::int64_t>(record.version);
    if (this->catalog && epochOf(record.version) > epochOf(this->catalogVersion)
        && update.catalog->version() < this->catalog->version()) {
        this->log.write(LogKind::State, "configuration of a restored store ignored",
                        {{"configuration", update.catalog->version()},
                         {"inForce", this->catalog->version()},
                         {"record", version},
                         {"from", from}});
        return;
    }
    this->logClamped(record, update.clampedFields);
    this->catalog = std::move(update.catalog);
    this->catalogVersion = record.version;
    this->log.write(
        LogKind::State, "configuration in force",
        {{"configuration", this->catalog->version()}, {"record", version}, {"from", from}});
}

void SiteControl::applyUpstream(UpstreamUpdate update, const Record &record, std::string_view from)
{
    const UpstreamRecord upstream = update.upstream;
    const auto version = static_cast<std::int64_t>(record.version);
    const RegistrationKind kind =
        this->presence.onRegistered(std::move(update.upstream), epochOf(record.version));
    if (kind == RegistrationKind::Copy) {
        this->log.write(LogKind::State, "upstream of a restored store ignored",
                        {{"upstream", upstream.id}, {"record", version}, {"from", from}});
        this->scheduleExpiry();
    }
    if (kind != RegistrationKind::New) {
        return;
    }
    this->log.write(
        LogKind::State, "upstream",
        {{"upstream", upstream.id},
         {"service", upstream.service},
         {"version", upstream.softwareVersion},
         {"ready", upstream.state == UpstreamState::Ready},
         {"coldMs", upstream.coldLeft ? wholeMillis(*upstream.coldLeft) : kUnstatedColdTime},
         {"record", version},
         {"from", from}});
    this->logClamped(record, update.clampedFields);
}

void SiteControl::logClamped(const Record &record, const std::vector<std::string> &fields)
{
    for (const std::string &field : fields) {
        this->log.write(LogKind::State, "figure out of range",
                        {{"record", record.key.name},
                         {"version", static_cast<std::int64_t>(record.version)},
                         {"field", field}});
    }
}

void SiteControl::onDomainUpdate(const DomainUpdate &update, const Record &record,
                                 std::string_view from)
{
    if (!this->domains.onRecord(record, update.failureDomain, update.isOutOfService)) {
        return;
    }
    this->logDomain(update, record.version, from);
}

void SiteControl::logDomain(const DomainUpdate &update, RecordVersion version,
                            std::string_view from)
{
    std::int64_t upstreams = 0;
    for (const UpstreamRef &upstream : this->presence.list()) {
        upstreams += upstream->failureDomain == update.failureDomain ? 1 : 0;
    }
    this->log.write(LogKind::State,
                    update.isOutOfService ? "failure domain out of service"
                                          : "failure domain back in service",
                    {{"failureDomain", update.failureDomain},
                     {"upstreams", upstreams},
                     {"record", static_cast<std::int64_t>(version)},
                     {"from", from}});
}

void SiteControl::logServiceState(const UpstreamList &upstreams)
{
    const std::size_t outOfService = upstreams.outOfServiceCount();
    this->metrics.counter("upstreams_out_of_service").set(static_cast<std::int64_t>(outOfService));
    const bool isAllOut = outOfService > 0 && outOfService == upstreams.size();
    if (isAllOut != std::exchange(this->isAllOutOfService, isAllOut)) {
        this->log.write(
            LogKind::State,
            isAllOut ? "all upstreams out of service" : "upstreams in service again",
            {{"upstreams", static_cast<std::int64_t>(upstreams.size())},
             {"failureDomains", static_cast<std::int64_t>(this->domains.outOfService().size())}});
    }
}

void SiteControl::onRumors()
{
    this->recordGossip.processRumors();
    this->processCrashRumors();
    if (this->gossip.store().digest() != this->publishedGossipDigest) {
        this->publishSoon();
    }
}

void SiteControl::processCrashRumors()
{
    this->gossip.store().forEach(RumorKind::Crash, [&](const Rumor &rumor) {
        const std::size_t at = rumor.id.name.find(kRumorNameSeparator);
        const bool isNew = this->knownCrashes.size() < kMaxKnownCrashes && at != std::string::npos
            && this->knownCrashes.emplace(rumor.id.name, this->clock.now()).second;
        if (isNew && this->listener.crash) {
            this->listener.crash(rumor.id.name.substr(0, at), rumor.id.name.substr(at + 1));
        }
    });
    const bool isNews = this->promptParts.processRumors([this](const PromptPartReport &report) {
        if (this->listener.promptPart) {
            this->listener.promptPart(report);
        }
    });
    if (isNews) {
        this->scheduleGossip();
    }
}

void SiteControl::dropExpiredRumors()
{
    const TimePoint oldest = this->clock.now() - kCrashRetention;
    std::erase_if(this->knownCrashes, [&](const auto &item) { return item.second < oldest; });
    this->promptParts.expire();
    this->gossip.store().forget(RumorKind::Crash, [&](const Rumor &rumor) {
        return !this->knownCrashes.contains(rumor.id.name) && !this->promptParts.isRelevant(rumor);
    });
    this->gossip.store().forget(RumorKind::CrashedUpstream, [&](const Rumor &rumor) {
        return !this->rollouts.isCrashRelevant(rumor);
    });
}

void SiteControl::recordDelay()
{
    const TimePoint now = this->clock.now();
    const Duration delay =
        this->tickedAt ? now - (*this->tickedAt + kTickInterval) : Duration::zero();
    this->tickedAt = now;
    this->metrics.histogram("control_loop_delay_seconds").record(delay);
    if (delay >= kOverloadDelay) {
        this->log.write(LogKind::State, "control thread behind", {{"delayMs", wholeMillis(delay)}});
    }
}

void SiteControl::tick()
{
    this->recordDelay();
    this->peerHeardAt.store(this->clock.now() - this->gossip.sinceHeard());
    this->dropExpiredRumors();
    const std::shared_ptr<const SiteView> current = this->published.get();
    if (!current->knowsDomains) {
        this->domains.tick();
    }
    for (const std::string &domain : this->domains.expire()) {
        this->logDomain({domain, false}, 0, "time");
        this->publishSoon();
    }
    this->rollouts.tick(this->tableWatcher.storeTime(), *current->upstreams);
    tellStoreAccess(this->gossip, this->tableWatcher.isAvailable());
    this->updateAssignments();
    if (this->rollouts.revision() != this->publishedRolloutRevision) {
        this->publishSoon();
    }
}

void SiteControl::scheduleExpiry()
{
    this->expiryChanged.set(); // It may be due sooner than the one that a fiber waits for.
    if (std::exchange(this->expiryScheduled, true)) {
        return;
    }
    this->runtime.spawn([this] {
        while (const std::optional<TimePoint> next = this->presence.nextExpiry()) {
            this->expiryChanged.reset();
            (void)this->expiryChanged.waitFor(
                std::max(Duration::zero(), *next - this->clock.now()));
            if (this->presence.expire()) {
                this->publishSoon();
            }
        }
        this->expiryScheduled = false;
    });
}

void SiteControl::publishSoon()
{
    if (std::exchange(this->publishScheduled, true)) {
        return;
    }
    this->runtime.spawn([this] {
        const Duration pause = this->publishedAt + kPublishInterval - this->clock.now();
        this->runtime.sleepFor(std::max(Duration::zero(), pause));
        this->publishPending();
    });
}

void SiteControl::publishPending()
{
    if (this->publishScheduled) {
        this->publish();
    }
}

void SiteControl::publish()
{
    this->publishScheduled = false;
    this->publishedAt = this->clock.now();
    this->metrics.counter("views_published_total").add();
    auto next = std::make_shared<SiteView>();
    next->catalog = this->catalog;
    next->knowsDomains = this->domains.isInformed();
    next->upstreams =
        std::make_shared<const UpstreamList>(this->presence.list(), this->domains.outOfService());
    this->logServiceState(*next->upstreams);
    next->rollouts = this->rollouts.rollouts(this->tableWatcher.storeTime());
    next->stop = this->stop;
    next->bounds = this->settings.bounds;
    next->hedging = this->settings.hedging;
    this->fillDirectory(*next);
    this->publishedGossipDigest = this->gossip.store().digest();
    this->publishedRolloutRevision = this->rollouts.revision();
    this->metrics.counter("members_reachable").set(next->liveInstances);
    this->metrics.counter("members_known").set(next->knownInstances);
    this->metrics.counter("configuration_version")
        .set(this->catalog ? this->catalog->version() : 0);
    this->published.set(std::move(next));
    if (this->listener.viewChanged) {
        this->listener.viewChanged();
    }
}

void SiteControl::fillDirectory(SiteView &next)
{
    std::vector<DirectoryEntry> leaving;
    std::vector<std::string> leavingNames;
    const std::vector<Member> members = readMembers(this->gossip.store());
    const bool isOnlySelf = members.size() <= 1;
    const bool hasOthers =
        std::any_of(this->settings.seeds.begin(), this->settings.seeds.end(),
                    [this](const Endpoint &seed) { return seed != this->settings.peers; });
    next.knownInstances =
        isOnlySelf && hasOthers ? 0 : std::max(1, static_cast<int>(members.size()));
    for (const Member &member : members) {
        const auto seen = this->loggedMemberStates.find(member.name);
        if (seen == this->loggedMemberStates.end() || seen->second != member.state) {
            this->loggedMemberStates[member.name] = member.state;
            this->log.write(LogKind::State, "instance",
                            {{"peer", member.name},
                             {"state", stateName(member.state)},
                             {"incarnation", member.incarnation}});
        }
        if (member.state != MemberState::Leaving) {
            next.members.push_back(member.name);
        }
        DirectoryEntry entry{member.name, member.callers, member.peers, member.failureDomain,
                             member.capacity};
        if (member.state == MemberState::Alive) {
            next.directory.push_back(std::move(entry));
        } else if (member.state == MemberState::Leaving) {
            leaving.push_back(std::move(entry));
            leavingNames.push_back(member.name);
        }
    }
    next.liveInstances = std::max(1, static_cast<int>(next.directory.size()));
    if (!next.directory.empty()) {
        return;
    }
    next.isLastResort = next.stop
        && rendezvousRank(kLastResort, this->settings.instance, leavingNames)
            < std::max<std::size_t>(1, leavingNames.size() / kLastResortDivisor);
    next.directory = std::move(leaving);
}

void SiteControl::onAnswer(AnswerReport report)
{
    this->runtime.post([this, report = std::move(report)] { this->rollouts.onAnswer(report); });
}

void SiteControl::onCrash(std::string fingerprint, std::string upstream)
{
    this->runtime.post(
        [this, name = absl::StrCat(fingerprint, std::string(1, kRumorNameSeparator), upstream)] {
            this->knownCrashes.emplace(name, this->clock.now());
            this->gossip.tell({{RumorKind::Crash, name}, 1, ""});
        });
}

void SiteControl::onPromptParts(std::vector<PromptPartReport> reports)
{
    this->runtime.post([this, reports = std::move(reports)] {
        for (const PromptPartReport &report : reports) {
            this->promptParts.announce(report);
        }
        this->scheduleGossip();
    });
}

void SiteControl::leave(ShutdownTimes times)
{
    this->runtime.post([this, times] {
        this->stop = times;
        this->gossip.leave();
        this->publish();
        this->peers.gossipRound();
    });
}

void SiteControl::applySettings(SiteSettings next)
{
    this->runtime.post([this, next = std::move(next)] {
        this->settings.bounds = next.bounds;
        this->settings.hedging = next.hedging;
        this->settings.seeds = next.seeds;
        this->addSeeds();
        this->publish();
    });
}

} // namespace basilnotch
