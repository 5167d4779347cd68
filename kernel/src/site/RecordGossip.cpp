// The first byte of a rumor's payload is a tag: the value follows, the record is deleted, or the
// value has to be fetched.
#include "RecordGossip.h"

#include "StoreAccess.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>

namespace basilnotch {

namespace {

constexpr char kHasValue = 'v';
constexpr char kDeleted = 'd';
constexpr char kValueOmitted = 'f';
constexpr char kRumorNameSeparator = '\x1f';  // Between table and record name; neither contains it.
constexpr std::size_t kMaxInlineBytes = 700;  // A gossip message has room for more than one.
constexpr std::size_t kMaxCandidates = 12;    // Few peers may have a new record yet.
constexpr std::size_t kMaxWatchers = 8;       // Of a table.
constexpr Duration kCallTimeout = seconds(2); ///< An answer that comes later is lost.
/// Above the interval of repairs, which bring what has been missed before.
constexpr Duration kRefreshTime = seconds(6);
constexpr std::size_t kMaxRefreshed = 16; ///< A burst of registrations would fill the messages.

std::string rumorName(const RecordKey &key)
{
    return absl::StrCat(key.table, std::string(1, kRumorNameSeparator), key.name);
}

RecordKey parseRumorName(const std::string &name)
{
    const std::size_t at = std::min(name.find(kRumorNameSeparator), name.size() - 1);
    return {name.substr(0, at), name.substr(at + 1)};
}

std::string encodePayload(const Record &record)
{
    if (record.deleted) {
        return std::string(1, kDeleted);
    }
    return record.value.size() <= kMaxInlineBytes ? kHasValue + record.value
                                                  : std::string(1, kValueOmitted);
}

} // namespace

RecordGossip::RecordGossip(FiberRuntime &runtime, Gossip &gossip, PeerMessenger &peers,
                           const Replica &replica, RecordHandler onRecord, const Clock &clock,
                           EventLog &log, Metrics &metrics)
    : runtime(runtime)
    , gossip(gossip)
    , peers(peers)
    , replica(replica)
    , onRecord(std::move(onRecord))
    , clock(clock)
    , log(log)
    , source(replica, {}, clock)
    , fetches(metrics.counter("record_fetches_total"))
    , failedFetches(metrics.counter("record_fetches_failed_total"))
    , fetchedBytes(metrics.counter("record_fetch_bytes_total"))
    , rejectedFetches(metrics.counter("record_fetches_rejected_total"))
    , servedBytes(metrics.counter("record_served_bytes_total"))
    , refusedBusy(metrics.counter("record_requests_busy_total"))
    , random(hash64(gossip.self().incarnation))
{
    this->peers.setHandler(PeerMessageKind::FetchRecordPart,
                           [this](const std::string &text) { return this->handleFetch(text); });
    this->peers.setHandler(PeerMessageKind::FetchRecord, [this](const std::string &name) {
        return this->handleWholeFetch(name);
    });
}

void RecordGossip::announce(const Record &record)
{
    this->gossip.tell(
        {{RumorKind::Record, rumorName(record.key)}, record.version, encodePayload(record)});
    this->recent.emplace_back(record.key, this->clock.now());
    if (this->recent.size() > kMaxRefreshed) {
        this->recent.pop_front();
    }
}

void RecordGossip::refresh(const std::optional<RecordKey> &always)
{
    const TimePoint oldest = this->clock.now() - kRefreshTime;
    while (!this->recent.empty() && this->recent.front().second < oldest) {
        this->recent.pop_front();
    }
    for (const auto &[key, announcedAt] : this->recent) {
        this->gossip.refresh({RumorKind::Record, rumorName(key)});
    }
    if (always) {
        this->gossip.refresh({RumorKind::Record, rumorName(*always)});
    }
}

void RecordGossip::processRumors()
{
    if (this->gossip.store().digest() == this->processedDigest) {
        return;
    }
    this->processedDigest = this->gossip.store().digest();
    std::vector<Record> newer;
    this->gossip.store().forEach(RumorKind::Record, [&](const Rumor &rumor) {
        if (rumor.id.name.empty() || rumor.payload.empty()) {
            return;
        }
        const RecordKey key = parseRumorName(rumor.id.name);
        const Record *known = this->replica.find(key);
        if (known && known->version >= rumor.version) {
            return;
        }
        if (rumor.payload.front() == kValueOmitted) {
            this->fetch(key, rumor.version);
        } else {
            newer.push_back(
                {key, rumor.payload.substr(1), rumor.version, rumor.payload.front() == kDeleted});
        }
    });
    for (const Record &record : newer) {
        this->onRecord(record);
    }
}

std::string RecordGossip::handleFetch(const std::string &text)
{
    const auto request = decodeRequest(text);
    if (!request.ok()) {
        const std::string why = describe(request.status());
        this->log.write(LogKind::State, "record request unreadable", {{"why", why}});
        return {};
    }
    const std::int64_t before = this->source.bytesSent();
    const RecordReply reply = this->source.answer(*request);
    this->servedBytes.add(this->source.bytesSent() - before);
    this->refusedBusy.add(reply.kind == RecordReplyKind::Busy ? 1 : 0);
    return encodeReply(reply);
}

std::string RecordGossip::handleWholeFetch(const std::string &name) const
{
    const Record *record = name.empty() ? nullptr : this->replica.find(parseRumorName(name));
    if (!record || record->deleted) {
        return {};
    }
    return absl::StrCat(record->version, "\n", record->value);
}

void RecordGossip::fetch(const RecordKey &key, RecordVersion version, const std::string &holder)
{
    const Record *known = this->replica.find(key);
    if (known && known->version >= version) {
        return;
    }
    const auto underWay = this->fetching.find(key);
    if (underWay != this->fetching.end()) {
        underWay->second->fetch.raise(version);
        return;
    }
    auto fetch = std::make_shared<Fetch>(RecordFetch(
        key, version, this->gossip.self().name, this->replica,
        [this, key] { return this->fetchCandidates(key); }, {}, this->clock, this->random()));
    fetch->beganAt = this->clock.now();
    if (!holder.empty()) {
        fetch->fetch.prefer(holder);
    }
    this->fetching.emplace(key, fetch);
    this->runtime.spawn([this, key, fetch] {
        this->run(fetch);
        this->fetching.erase(key);
        // Gossip is processed again: a newer version may exist.
        this->processedDigest = 0;
    });
}

void RecordGossip::run(const std::shared_ptr<Fetch> &fetch)
{
    while (true) {
        if (const std::optional<Record> record = fetch->fetch.takeRecord()) {
            this->onRecord(*record);
        }
        if (fetch->fetch.isDone()) {
            break;
        }
        RecordFetchStep step = fetch->fetch.next();
        for (RecordAsk &ask : step.asks) {
            this->ask(fetch, std::move(ask));
        }
        if (step.asksStore) {
            this->askStore(fetch);
        }
        (void)fetch->changed.waitFor(
            std::max(Duration(milliseconds(1)), step.wakeAt - this->clock.now()));
        fetch->changed.reset();
    }
    this->onFetchEnded(*fetch);
}

void RecordGossip::ask(const std::shared_ptr<Fetch> &fetch, RecordAsk ask)
{
    this->runtime.spawn([this, fetch, ask = std::move(ask)] {
        const std::optional<Member> member = this->gossip.member(ask.peer);
        const auto text = member ? this->peers.call(member->peers, PeerMessageKind::FetchRecordPart,
                                                    encodeRequest(ask.request), kCallTimeout)
                                 : absl::StatusOr<std::string>(absl::NotFoundError("member"));
        auto reply = text.ok() ? decodeReply(*text) : absl::StatusOr<RecordReply>(text.status());
        if (reply.ok()) {
            const int rejected = fetch->fetch.rejected();
            fetch->fetch.onReply(ask.peer, *std::move(reply));
            this->logRejected(*fetch, rejected, ask.peer);
        } else {
            fetch->fetch.onFailure(ask.peer);
        }
        fetch->changed.set();
    });
}

void RecordGossip::logRejected(const Fetch &fetch, int before, const std::string &peer)
{
    if (fetch.fetch.rejected() > before) {
        this->log.write(LogKind::State, "record encoding rejected",
                        {{"record", fetch.fetch.recordKey().name}, {"peer", peer}});
    }
}

void RecordGossip::askStore(const std::shared_ptr<Fetch> &fetch)
{
    const RecordKey &key = fetch->fetch.recordKey();
    this->log.write(LogKind::State, "record not fetched",
                    {{"record", key.name},
                     {"version", static_cast<std::int64_t>(fetch->fetch.wantedVersion())},
                     {"asked", std::int64_t{fetch->fetch.asked()}},
                     {"unreachable", std::int64_t{fetch->fetch.unreachable()}},
                     {"busy", std::int64_t{fetch->fetch.busy()}},
                     {"tookMs", wholeMillis(this->clock.now() - fetch->beganAt)}});
    this->failedFetches.add();
    if (this->readStore) {
        this->runtime.spawn([this, fetch] {
            this->readStore(fetch->fetch.recordKey());
            fetch->changed.set();
        });
    }
}

std::vector<std::string> RecordGossip::fetchCandidates(const RecordKey &key)
{
    std::vector<std::string> names;
    for (const Member &member : readMembers(this->gossip.store())) {
        if (member.name != this->gossip.self().name && member.state != MemberState::Unknown) {
            names.push_back(member.name);
        }
    }
    // A new order each time: members that have not got the record either would otherwise be asked
    // again and again.
    std::shuffle(names.begin(), names.end(), this->random);
    // Peers that have told of the record are reachable. Those that watch its table get it first.
    const RumorId rumor{RumorKind::Record, rumorName(key)};
    const auto told = std::stable_partition(names.begin(), names.end(), [&](const auto &name) {
        return this->gossip.store().isToldBy(rumor, name);
    });
    std::vector<std::string> watchers =
        rendezvousFirst(key.table, instancesWithStoreAccess(this->gossip), kMaxWatchers);
    std::shuffle(watchers.begin(), watchers.end(), this->random);
    std::vector<std::string> candidates;
    const auto add = [&](const std::string &name) {
        if (candidates.size() < kMaxCandidates
            && std::find(candidates.begin(), candidates.end(), name) == candidates.end()) {
            candidates.push_back(name);
        }
    };
    auto next = names.begin();
    for (const std::string &watcher : watchers) {
        if (next != told) {
            add(*next++);
        }
        if (std::find(names.begin(), names.end(), watcher) != names.end()) {
            add(watcher);
        }
    }
    std::for_each(next, names.end(), add);
    return candidates;
}

void RecordGossip::onFetchEnded(const Fetch &fetch)
{
    const RecordFetch &state = fetch.fetch;
    this->fetches.add();
    this->fetchedBytes.add(static_cast<std::int64_t>(state.bytesReceived()));
    this->rejectedFetches.add(state.rejected());
    this->log.write(LogKind::State, "record fetched",
                    {{"record", state.recordKey().name},
                     {"version", static_cast<std::int64_t>(state.wantedVersion())},
                     {"bytes", static_cast<std::int64_t>(state.bytesReceived())},
                     {"asked", std::int64_t{state.asked()}},
                     {"unreachable", std::int64_t{state.unreachable()}},
                     {"busy", std::int64_t{state.busy()}},
                     {"tookMs", wholeMillis(this->clock.now() - fetch.beganAt)}});
}

} // namespace basilnotch
