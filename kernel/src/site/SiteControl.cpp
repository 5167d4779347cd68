// Every belief that changes here is told in one log line with what caused it.
#include "SiteControl.h"

#include "StoreAccess.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace basilnotch {

namespace {

namespace json = boost::json;

constexpr std::size_t kIncarnationBytes = 6;
constexpr char kMemberPrefix[] = "member/";
constexpr char kNameSeparator = '\x1f'; // Between the two names of a rumor.
/// A few rounds reach every instance well within the time that a change may take.
constexpr Duration kGossipInterval = milliseconds(250);
constexpr Duration kTickInterval = milliseconds(200);
/// Members that hear of news at once; each of them does the same.
constexpr int kNewsFanOut = 3;
constexpr Duration kNewsPause = milliseconds(10); // News that come together go together.
/// Instances that watch a table for all: a third of them may be turned away at one time.
constexpr std::size_t kWatchersOfSmallSite = 4;
constexpr std::size_t kWatchersOfLargeSite = 8;
/// Two rounds of gossip: a starting instance hears who else is there before it decides what falls
/// to it. What changes meanwhile is read then; it must not take much of the time that changes may.
constexpr Duration kSettleTime = milliseconds(500);
/// Instances of a large site whose addresses stand in the store, for those that start and whose
/// seeds are all gone: most of them may be lost at one time.
constexpr std::size_t kAnnounced = 12;
/// Where all instances stop at once, one of so many goes on until it must end, and the others end
/// as soon as they are done, so that they are back the sooner.
constexpr std::size_t kLastResortPart = 3;
constexpr char kLastResort[] = "last resort"; // What the instances are ranked for.
constexpr std::size_t kMostCrashes = 10'000;  // Remembered, so that each is told once.

Settings peerPart(const SiteSettings &site)
{
    Settings settings;
    settings.name = site.instance;
    settings.failureDomain = site.failureDomain;
    settings.peerListen = site.peers;
    settings.peerAddress = site.peers;
    return settings;
}

Member memberOf(const SiteSettings &site, const std::string &incarnation)
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

SiteControl::SiteControl(SiteSettings given, const SiteAdapter &adapter, const Clock &clock,
                         EventLog &log, Metrics &metrics)
    : settings(std::move(given))
    , adapter(adapter)
    , clock(clock)
    , log(log)
    , metrics(metrics)
    , startedAt(clock.now())
    , ownIncarnation(absl::StrCat(this->settings.instance, "-", randomHex(kIncarnationBytes)))
    , peerSettings(peerPart(this->settings))
    , client(this->runtime)
    , store(adapter.makeStore(this->client))
    , tables(allTables(adapter.recordCodec()))
    , presence({}, clock)
    , gossip(memberOf(this->settings, this->ownIncarnation), firstMemberVersion(clock), {}, clock,
             hash64(this->ownIncarnation))
    , peers(this->runtime, this->peerSettings, this->gossip, metrics)
    , relay(this->runtime, this->gossip, this->peers, this->replica,
            [this](const Record &record) { return this->takeRecord(record, "peer"); })
    , rollouts(this->runtime, *this->store, adapter.recordCodec(), this->gossip, this->peers, clock,
               log)
    , feed(
          this->runtime, *this->store, this->tables, {},
          {[this](const std::string &table, const RecordPage &page) { this->onTable(table, page); },
           [this](const std::string &, const RecordPage &page) { this->onChanges(page); },
           [this](bool answers) { this->onStoreAccess(answers); }},
          clock, log, metrics, hash64(this->ownIncarnation, 1))
{
    this->addSeeds();
    this->peers.onRumors([this] { this->onRumors(); });
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
    this->feed.start();
    this->every(kGossipInterval, [this] { this->peers.gossipRound(); });
    this->every(kTickInterval, [this] { this->tick(); });
    this->publish();
    this->thread = std::thread([this] { this->runtime.run(); });
    return absl::OkStatus();
}

void SiteControl::every(Duration interval, std::function<void()> work)
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

void SiteControl::takeDuties()
{
    if (!this->hasSettled()) {
        return;
    }
    const std::vector<std::string> candidates = instancesWithStore(this->gossip);
    this->chooseWatches(candidates);
    this->announceIfChosen(candidates);
}

void SiteControl::announceIfChosen(const std::vector<std::string> &candidates)
{
    if (this->announced || !this->feed.storeAnswers()) {
        return;
    }
    const bool isChosen = candidates.size() <= kMaxSmallSiteInstances
        || rendezvousRank(kMemberPrefix, this->settings.instance, candidates) < kAnnounced;
    if (isChosen) {
        this->announced = true; // One try at a time; announceSelf() says how it went.
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
        return; // As an earlier process of this instance wrote it.
    }
    const auto written = this->store->commit({}, {{key, value}});
    if (!written.ok()) {
        const std::string why = describe(written.status());
        this->log.write(LogKind::State, "instance not announced", {{"why", why}});
    }
    this->announced = written.ok();
}

void SiteControl::onStoreAccess(bool answers)
{
    if (answers) {
        this->presence.onStoreReturned();
    }
    // Above the word of an earlier process of this name, whatever its clock said.
    const RumorId id{RumorKind::StoreAccess, this->settings.instance};
    const Rumor *before = this->gossip.store().find(id);
    this->gossip.tell({id, before ? before->version + 1 : 1, answers ? "1" : "0"});
    this->takeDuties();
}

void SiteControl::chooseWatches(const std::vector<std::string> &candidates)
{
    const std::size_t count = candidates.size();
    for (const std::string &table : this->tables) {
        const std::size_t before = rendezvousRank(table, this->settings.instance, candidates);
        const std::size_t most =
            count > kMaxSmallSiteInstances ? kWatchersOfLargeSite : kWatchersOfSmallSite;
        const bool all = count <= kMaxSmallSiteInstances && table != kInternalTable;
        this->feed.setWatching(table, all || before < most);
    }
}

void SiteControl::onTable(const std::string &table, const RecordPage &page)
{
    this->takeNews(this->replica.mergeTable(table, page), "store");
}

void SiteControl::onChanges(const RecordPage &page)
{
    std::vector<Record> changed;
    for (const Record &record : page.records) {
        if (this->replica.merge(record)) {
            changed.push_back(record);
        }
    }
    this->takeNews(changed, "store");
}

bool SiteControl::takeRecord(const Record &record, std::string_view from)
{
    if (!this->replica.merge(record)) {
        return false;
    }
    this->takeNews({record}, from);
    return true;
}

void SiteControl::takeNews(const std::vector<Record> &changed, std::string_view from)
{
    if (changed.empty()) {
        return;
    }
    for (const Record &record : changed) {
        this->applyFact(record, from);
        this->relay.tell(record);
    }
    this->publish();
    this->spreadNews();
}

void SiteControl::spreadNews()
{
    if (std::exchange(this->spreading, true)) {
        return;
    }
    this->runtime.spawn([this] {
        this->runtime.sleepFor(kNewsPause);
        this->spreading = false;
        for (int number = 0; number < kNewsFanOut; ++number) {
            this->peers.gossipRound();
        }
    });
}

void SiteControl::takeOwnRecord(const Record &record)
{
    if (!absl::StartsWith(record.key.name, kMemberPrefix)) {
        this->rollouts.onOwnRecord(record);
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

void SiteControl::applyFact(const Record &record, std::string_view from)
{
    if (record.key.table == kInternalTable) {
        this->takeOwnRecord(record);
        return;
    }
    absl::StatusOr<SiteUpdate> fact = this->adapter.recordCodec().decode(record);
    const auto version = static_cast<std::int64_t>(record.version);
    if (!fact.ok()) {
        const std::string why = describe(fact.status());
        this->log.write(LogKind::State, "record unreadable",
                        {{"record", record.key.name}, {"version", version}, {"why", why}});
        // An upstream that can no longer be read is not one that may be used.
        this->presence.onRemoved(record.key.name);
        return;
    }
    if (auto *known = std::get_if<CatalogUpdate>(&*fact)) {
        this->catalog = std::move(known->catalog);
        this->log.write(
            LogKind::State, "configuration in force",
            {{"configuration", this->catalog->version()}, {"record", version}, {"from", from}});
    } else if (auto *present = std::get_if<UpstreamUpdate>(&*fact)) {
        this->log.write(LogKind::State, "upstream",
                        {{"upstream", present->upstream.id},
                         {"service", present->upstream.service},
                         {"version", present->upstream.softwareVersion},
                         {"ready", present->upstream.state == UpstreamState::Ready},
                         {"from", from}});
        this->presence.onRegistered(std::move(present->upstream));
    } else if (const auto *gone = std::get_if<UpstreamRemoval>(&*fact)) {
        this->log.write(LogKind::State, "upstream gone", {{"upstream", gone->id}, {"from", from}});
        this->presence.onRemoved(gone->id);
    } else if (const auto *rollout = std::get_if<RolloutUpdate>(&*fact)) {
        this->rollouts.onOrder(rollout->order, record.version);
    }
}

void SiteControl::onRumors()
{
    this->relay.takeRumors();
    this->takeCrashes();
    if (this->gossip.store().digest() != this->seenRumors) {
        this->publish();
    }
}

void SiteControl::takeCrashes()
{
    this->gossip.store().forEach(RumorKind::Crash, [&](const Rumor &rumor) {
        const std::size_t at = rumor.id.name.find(kNameSeparator);
        const bool isNews = this->knownCrashes.size() < kMostCrashes && at != std::string::npos
            && this->knownCrashes.emplace(rumor.id.name, this->clock.now()).second;
        if (isNews && this->listener.crash) {
            this->listener.crash(rumor.id.name.substr(0, at), rumor.id.name.substr(at + 1));
        }
    });
}

void SiteControl::forgetOld()
{
    const TimePoint oldest = this->clock.now() - kCrashRetention;
    std::erase_if(this->knownCrashes, [&](const auto &item) { return item.second < oldest; });
    this->gossip.store().forget(RumorKind::Crash, [&](const Rumor &rumor) {
        return !this->knownCrashes.contains(rumor.id.name);
    });
    this->gossip.store().forget(RumorKind::CrashedUpstream, [&](const Rumor &rumor) {
        return !this->rollouts.isUnderWay(rumor);
    });
}

void SiteControl::tick()
{
    this->forgetOld();
    const std::shared_ptr<const SiteView> current = this->published.get();
    this->rollouts.tick(this->feed.storeTime(), *current->upstreams);
    this->takeDuties();
    const bool expired = this->presence.expire();
    if (expired || this->rollouts.revision() != this->seenRollouts) {
        this->publish();
    }
}

void SiteControl::publish()
{
    auto next = std::make_shared<SiteView>();
    next->catalog = this->catalog;
    next->upstreams = std::make_shared<const UpstreamList>(this->presence.list());
    next->rollouts = this->rollouts.rollouts(this->feed.storeTime());
    next->stop = this->stop;
    next->bounds = this->settings.bounds;
    this->listMembers(*next);
    this->seenRumors = this->gossip.store().digest();
    this->seenRollouts = this->rollouts.revision();
    this->metrics.counter("members_reachable").set(next->liveInstances);
    this->metrics.counter("configuration_version")
        .set(this->catalog ? this->catalog->version() : 0);
    this->published.set(std::move(next));
    if (this->listener.viewChanged) {
        this->listener.viewChanged();
    }
}

void SiteControl::listMembers(SiteView &next)
{
    std::vector<DirectoryEntry> leaving;
    std::vector<std::string> leavingNames;
    for (const Member &member : readMembers(this->gossip.store())) {
        const auto seen = this->seenMembers.find(member.name);
        if (seen == this->seenMembers.end() || seen->second != member.state) {
            this->seenMembers[member.name] = member.state;
            this->log.write(LogKind::State, "instance",
                            {{"peer", member.name},
                             {"state", stateName(member.state)},
                             {"incarnation", member.incarnation}});
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
            < std::max<std::size_t>(1, leavingNames.size() / kLastResortPart);
    next.directory = std::move(leaving);
}

void SiteControl::onAnswer(AnswerReport report)
{
    this->runtime.post([this, report = std::move(report)] { this->rollouts.onAnswer(report); });
}

void SiteControl::onCrash(std::string fingerprint, std::string upstream)
{
    this->runtime.post(
        [this, name = absl::StrCat(fingerprint, std::string(1, kNameSeparator), upstream)] {
            this->knownCrashes.emplace(name, this->clock.now());
            this->gossip.tell({{RumorKind::Crash, name}, 1, ""});
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
        this->settings.seeds = next.seeds;
        this->addSeeds();
        this->publish();
    });
}

} // namespace basilnotch
