// The first byte of a rumor's payload says what follows: a value, a deletion, or that the value
// must be asked for.
#include "RecordGossip.h"

#include <runtime/FiberRuntime.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr char kHasValue = 'v';
constexpr char kDeleted = 'd';
constexpr char kAskFor = 'f';
constexpr char kSeparator = '\x1f';      // Between table and name; neither contains it.
constexpr std::size_t kMostInline = 700; // Some of these fit one gossip message.
constexpr int kFetchTries = 12;          // Peers that are asked; few may have a new record yet.
constexpr Duration kFetchTimeout = milliseconds(400);

std::string rumorName(const RecordKey &key)
{
    return absl::StrCat(key.table, std::string(1, kSeparator), key.name);
}

RecordKey readName(const std::string &name)
{
    const std::size_t at = std::min(name.find(kSeparator), name.size() - 1);
    return {name.substr(0, at), name.substr(at + 1)};
}

std::string payloadOf(const Record &record)
{
    if (record.deleted) {
        return std::string(1, kDeleted);
    }
    return record.value.size() <= kMostInline ? kHasValue + record.value : std::string(1, kAskFor);
}

} // namespace

RecordGossip::RecordGossip(FiberRuntime &runtime, Gossip &gossip, PeerMessenger &peers,
                           const Replica &replica, Take take)
    : runtime(runtime)
    , gossip(gossip)
    , peers(peers)
    , replica(replica)
    , take(std::move(take))
{
    this->peers.handle(PeerMessageKind::FetchRecord,
                       [this](std::string name) { return this->answerFetch(name); });
}

void RecordGossip::tell(const Record &record)
{
    this->gossip.tell(
        {{RumorKind::Record, rumorName(record.key)}, record.version, payloadOf(record)});
}

void RecordGossip::takeRumors()
{
    if (this->gossip.store().digest() == this->seenDigest) {
        return;
    }
    this->seenDigest = this->gossip.store().digest();
    std::vector<Record> newer;
    this->gossip.store().forEach(RumorKind::Record, [&](const Rumor &rumor) {
        if (rumor.id.name.empty() || rumor.payload.empty()) {
            return;
        }
        const RecordKey key = readName(rumor.id.name);
        const Record *known = this->replica.find(key);
        if (known && known->version >= rumor.version) {
            return;
        }
        if (rumor.payload.front() == kAskFor) {
            this->fetch(key, rumor.version);
        } else {
            newer.push_back(
                {key, rumor.payload.substr(1), rumor.version, rumor.payload.front() == kDeleted});
        }
    });
    for (const Record &record : newer) {
        this->take(record);
    }
}

std::string RecordGossip::answerFetch(const std::string &name) const
{
    const Record *record = name.empty() ? nullptr : this->replica.find(readName(name));
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
    this->runtime.spawn([this, key, version] {
        std::vector<Member> members = readMembers(this->gossip.store());
        std::erase_if(members, [this](const Member &member) {
            return member.name == this->gossip.self().name || member.state == MemberState::Unknown;
        });
        for (int number = 0; number < kFetchTries && !members.empty(); ++number) {
            const std::size_t which = (std::hash<std::string>()(this->gossip.self().name)
                                       + static_cast<std::size_t>(number))
                % members.size();
            const auto reply = this->peers.call(members[which].peers, PeerMessageKind::FetchRecord,
                                                rumorName(key), kFetchTimeout);
            const std::size_t line = reply.ok() ? reply->find('\n') : std::string::npos;
            if (line == std::string::npos) {
                continue;
            }
            Record record{key, reply->substr(line + 1), 0, false};
            const bool readable = absl::SimpleAtoi(reply->substr(0, line), &record.version);
            if (readable && record.version >= version) {
                this->take(record);
                break;
            }
        }
        this->fetching.erase(key);
        this->seenDigest = 0; // Look again: it may have failed, or a newer one may be there.
    });
}

} // namespace basilnotch
