// The first byte of a rumor's payload is a tag: the value follows, the record is deleted, or the
// value has to be fetched.
#include "RecordGossip.h"

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
constexpr std::size_t kMaxFetchAttempts = 12; // Few peers may have a new record yet.
constexpr Duration kFetchTimeout = milliseconds(400);
/// After this the next peer is asked as well. Above the usual time of an answer, so that a large
/// record is seldom sent twice.
constexpr Duration kNextPeerDelay = milliseconds(100);
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
    , fetches(metrics.counter("record_fetches_total"))
    , failedFetches(metrics.counter("record_fetches_failed_total"))
    , random(hash64(gossip.self().incarnation))
{
    this->peers.setHandler(PeerMessageKind::FetchRecord,
                           [this](std::string name) { return this->handleFetch(name); });
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

std::string RecordGossip::handleFetch(const std::string &name) const
{
    const Record *record = name.empty() ? nullptr : this->replica.find(parseRumorName(name));
    if (!record || record->deleted) {
        return {};
    }
    return absl::StrCat(record->version, "\n", record->value);
}

void RecordGossip::fetch(const RecordKey &key, RecordVersion version)
{
    if (!this->fetching.insert(key).second) {
        return;
    }
    auto fetch = std::make_shared<Fetch>();
    fetch->key = key;
    fetch->version = version;
    fetch->beganAt = this->clock.now();
    this->runtime.spawn([this, fetch] {
        for (const Member &member : this->fetchCandidates(fetch->key)) {
            // A member that is away must not hold up the others, so the next one is asked as well.
            ++fetch->asked;
            ++fetch->pending;
            this->runtime.spawn([this, fetch, member] { this->ask(*fetch, member); });
            (void)fetch->answered.waitFor(kNextPeerDelay);
            fetch->answered.reset();
            if (this->isKnown(*fetch)) {
                break;
            }
        }
        while (fetch->pending > 0 && !this->isKnown(*fetch)) {
            (void)fetch->answered.waitFor(kFetchTimeout);
            fetch->answered.reset();
        }
        this->onFetchEnded(*fetch);
        this->fetching.erase(fetch->key);
        // Gossip is processed again: the fetch may have failed, or a newer version may exist.
        this->processedDigest = 0;
    });
}

std::vector<Member> RecordGossip::fetchCandidates(const RecordKey &key)
{
    std::vector<Member> members = readMembers(this->gossip.store());
    std::erase_if(members, [this](const Member &member) {
        return member.name == this->gossip.self().name || member.state == MemberState::Unknown;
    });
    // A new order each time: members that have not got the record either would otherwise be asked
    // again and again.
    std::shuffle(members.begin(), members.end(), this->random);
    // Peers that have told of the record are reachable and may have it.
    const RumorId rumor{RumorKind::Record, rumorName(key)};
    std::stable_partition(members.begin(), members.end(), [&](const Member &member) {
        return this->gossip.store().isToldBy(rumor, member.name);
    });
    members.resize(std::min(members.size(), kMaxFetchAttempts));
    return members;
}

bool RecordGossip::isKnown(const Fetch &fetch) const
{
    const Record *known = this->replica.find(fetch.key);
    return known && known->version >= fetch.version;
}

void RecordGossip::ask(Fetch &fetch, const Member &member)
{
    const auto reply = this->peers.call(member.peers, PeerMessageKind::FetchRecord,
                                        rumorName(fetch.key), kFetchTimeout);
    --fetch.pending;
    fetch.unreachable += reply.ok() ? 0 : 1;
    const std::size_t line = reply.ok() ? reply->find('\n') : std::string::npos;
    if (line != std::string::npos) {
        Record record{fetch.key, reply->substr(line + 1), 0, false};
        if (absl::SimpleAtoi(reply->substr(0, line), &record.version)
            && record.version >= fetch.version) {
            this->onRecord(record);
        }
    }
    fetch.answered.set();
}

void RecordGossip::onFetchEnded(const Fetch &fetch)
{
    const bool found = this->isKnown(fetch);
    this->fetches.add();
    this->failedFetches.add(found ? 0 : 1);
    this->log.write(LogKind::State, found ? "record fetched" : "record not fetched",
                    {{"record", fetch.key.name},
                     {"version", static_cast<std::int64_t>(fetch.version)},
                     {"asked", std::int64_t{fetch.asked}},
                     {"unreachable", std::int64_t{fetch.unreachable}},
                     {"tookMs", wholeMillis(this->clock.now() - fetch.beganAt)}});
}

} // namespace basilnotch
