// A reply to a peer is a JSON array of [table, name, value, version]; it is empty, without an
// array, when this instance is not informed itself.
#include "DomainRecords.h"

#include <base/Hash.h>

#include <boost/json.hpp>

#include <algorithm>

namespace basilnotch {

namespace {

namespace json = boost::json;

constexpr Duration kAskTimeout = milliseconds(400);
constexpr std::size_t kMaxAsked = 4; // In one round; the next tick starts another.
constexpr std::size_t kReplyFields = 4;

/// Reads one record of a reply; returns whether it is well-formed.
bool readRecord(const json::value &item, Record *record)
{
    const json::array *fields = item.if_array();
    if (!fields || fields->size() != kReplyFields || !(*fields)[0].is_string()
        || !(*fields)[1].is_string() || !(*fields)[2].is_string() || !(*fields)[3].is_number()) {
        return false;
    }
    record->key = {std::string((*fields)[0].as_string()), std::string((*fields)[1].as_string())};
    record->value = std::string((*fields)[2].as_string());
    json::error_code error;
    record->version = (*fields)[3].to_number<RecordVersion>(error);
    return !error;
}

} // namespace

DomainRecords::DomainRecords(FiberRuntime &runtime, Gossip &gossip, PeerMessenger &peers,
                             const Replica &replica, DomainRecordsOptions options,
                             const Clock &clock, EventLog &log, Metrics &metrics)
    : runtime(runtime)
    , gossip(gossip)
    , peers(peers)
    , replica(replica)
    , options(std::move(options))
    , clock(clock)
    , log(log)
    , outOfServiceGauge(metrics.counter("failure_domains_out_of_service"))
    , startedAt(clock.now())
    , random(hash64(gossip.self().incarnation, 1))
    , unread(this->options.tables)
{
    this->peers.setHandler(PeerMessageKind::FetchDomains,
                           [this](const std::string &) { return this->handlePeer(); });
}

bool DomainRecords::onRecord(const Record &record, const std::string &domain, bool isOutOfService)
{
    if (isOutOfService) {
        this->entries[domain] = {record.key, record.version, std::nullopt};
        const bool hasChanged = this->names.insert(domain).second;
        this->outOfServiceGauge.set(static_cast<std::int64_t>(this->names.size()));
        return hasChanged;
    }
    const auto found = this->entries.find(domain);
    if (found == this->entries.end()) {
        return false;
    }
    Entry &entry = found->second;
    if (epochOf(record.version) > epochOf(entry.version)) {
        if (!entry.returnAt) {
            entry.returnAt = this->clock.now() + this->options.returnGrace;
            this->log.write(
                LogKind::State, "failure domain kept out of service",
                {{"failureDomain", domain}, {"record", static_cast<std::int64_t>(record.version)}});
        }
        return false;
    }
    this->remove(domain);
    return true;
}

void DomainRecords::remove(const std::string &domain)
{
    this->names.erase(domain);
    this->entries.erase(domain);
    this->outOfServiceGauge.set(static_cast<std::int64_t>(this->names.size()));
}

std::vector<std::string> DomainRecords::expire()
{
    std::vector<std::string> returned;
    for (const auto &[domain, entry] : this->entries) {
        if (entry.returnAt && *entry.returnAt <= this->clock.now()) {
            returned.push_back(domain);
        }
    }
    for (const std::string &domain : returned) {
        this->remove(domain);
    }
    return returned;
}

void DomainRecords::onTableRead(const std::string &table)
{
    if (this->unread.erase(table) > 0 && this->unread.empty()) {
        this->setInformed("store");
    }
}

void DomainRecords::tick()
{
    if (this->informed) {
        return;
    }
    if (this->clock.now() - this->startedAt >= this->options.longestWait) {
        this->setInformed("time");
        return;
    }
    if (!std::exchange(this->asking, true)) {
        this->runtime.spawn([this] {
            this->askPeers();
            this->asking = false;
        });
    }
}

void DomainRecords::askPeers()
{
    std::vector<Member> members = readMembers(this->gossip.store());
    std::erase_if(members, [this](const Member &member) {
        return member.name == this->gossip.self().name || member.state != MemberState::Alive;
    });
    std::shuffle(members.begin(), members.end(), this->random);
    members.resize(std::min(members.size(), kMaxAsked));
    for (const Member &member : members) {
        const auto reply =
            this->peers.call(member.peers, PeerMessageKind::FetchDomains, "", kAskTimeout);
        if (this->informed) {
            return;
        }
        if (reply.ok() && this->takeReply(*reply)) {
            this->setInformed(member.name);
            return;
        }
    }
}

bool DomainRecords::takeReply(const std::string &reply)
{
    json::error_code error;
    const json::value document = json::parse(reply, error);
    const json::array *items = error ? nullptr : document.if_array();
    if (!items) {
        return false;
    }
    std::vector<Record> records(items->size());
    for (std::size_t index = 0; index < items->size(); ++index) {
        if (!readRecord((*items)[index], &records[index])) {
            return false;
        }
    }
    for (const Record &record : records) {
        this->options.apply(record);
    }
    return true;
}

std::string DomainRecords::handlePeer() const
{
    if (!this->informed) {
        return {};
    }
    json::array items;
    for (const auto &[domain, entry] : this->entries) {
        const Record *record = this->replica.find(entry.key);
        if (record && !record->deleted) {
            items.push_back(
                json::array{entry.key.table, entry.key.name, record->value, record->version});
        }
    }
    return json::serialize(items);
}

void DomainRecords::setInformed(std::string_view by)
{
    if (!std::exchange(this->informed, true)) {
        this->log.write(LogKind::State, "failure domains known",
                        {{"by", by},
                         {"outOfService", static_cast<std::int64_t>(this->names.size())},
                         {"tookMs", wholeMillis(this->clock.now() - this->startedAt)}});
        this->options.onInformed();
    }
}

} // namespace basilnotch
