// All instances ask the same one first, which asks the store for all, so that the number of calls
// to the store does not grow with the number of instances.
#include "CatalogConfirmer.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <memory>

namespace basilnotch {

namespace {

constexpr Duration kAttemptTimeout = milliseconds(500);
/// After this the next source is asked as well.
constexpr Duration kNextSourceDelay = milliseconds(120);
constexpr Duration kPeerTimeout = milliseconds(400);
constexpr Duration kPollInterval = milliseconds(5);
/// A peer answers from a confirmation that is not older, so that the instances that ask it at the
/// same time cost one call to the store.
constexpr Duration kMaxSharedAge = milliseconds(500);
constexpr std::size_t kMaxPeers = 3;
/// After a failed attempt. Requests that come meanwhile are rejected at once.
constexpr Duration kRetryDelay = milliseconds(250);

/// Fields of a reply, one a line: age of the confirmation in milliseconds, version, and the value
/// if the asker's version is older. An empty reply is no confirmation.
constexpr char kFieldSeparator = '\n';

} // namespace

CatalogConfirmer::CatalogConfirmer(FiberRuntime &runtime, Gossip &gossip, PeerMessenger &peers,
                                   const Replica &replica, CatalogConfirmerOptions options,
                                   const Clock &clock, EventLog &log, Metrics &metrics)
    : runtime(runtime)
    , gossip(gossip)
    , peers(peers)
    , replica(replica)
    , options(std::move(options))
    , clock(clock)
    , log(log)
    , attempts(metrics.counter("catalog_confirmations_total"))
    , failures(metrics.counter("catalog_confirmations_failed_total"))
{
    this->peers.setHandler(PeerMessageKind::ConfirmCatalog,
                           [this](const std::string &body) { return this->handlePeer(body); });
}

std::optional<TimePoint> CatalogConfirmer::confirmedAt() const
{
    const TimePoint at = this->confirmed.load();
    return at == TimePoint::min() ? std::nullopt : std::optional(at);
}

void CatalogConfirmer::onConfirmed(TimePoint asOf)
{
    this->options.publish();
    this->confirmed.store(std::max(asOf, this->confirmed.load()));
}

bool CatalogConfirmer::isConfirmed(TimePoint notBefore) const
{
    return this->confirmed.load() >= notBefore;
}

bool CatalogConfirmer::confirm(TimePoint notBefore)
{
    if (this->isConfirmed(notBefore)) {
        return true;
    }
    if (!this->attempting) {
        if (this->clock.now() < this->retryAt) {
            return false;
        }
        this->attempting = true;
        this->runtime.spawn([this] {
            this->attempt(this->sources());
            this->attempting = false;
        });
    }
    const TimePoint until = this->clock.now() + kAttemptTimeout;
    while (this->attempting && !this->isConfirmed(notBefore) && this->clock.now() < until) {
        this->runtime.sleepFor(kPollInterval);
    }
    return this->isConfirmed(notBefore);
}

std::vector<CatalogConfirmer::Source> CatalogConfirmer::sources()
{
    std::vector<Source> sources;
    if (!this->options.record()) {
        return sources;
    }
    const std::vector<std::string> names = this->options.watchers();
    const std::string &self = this->gossip.self().name;
    for (const std::string &name : names) {
        const std::optional<Member> member = this->gossip.member(name);
        if (member && name != self && sources.size() < kMaxPeers) {
            sources.emplace_back([this, member] { this->askPeer(*member); });
        }
    }
    if (this->options.hasStore()) {
        const bool isFirst = sources.empty() || names.front() == self;
        sources.insert(sources.begin() + (isFirst ? 0 : 1), this->options.askStore);
    }
    return sources;
}

void CatalogConfirmer::attempt(const std::vector<Source> &sources)
{
    const TimePoint beganAt = this->clock.now();
    const auto pending = std::make_shared<std::size_t>(0);
    const auto wait = [&](Duration limit) {
        const TimePoint until = this->clock.now() + limit;
        while (*pending > 0 && !this->isConfirmed(beganAt - kMaxSharedAge)
               && this->clock.now() < until) {
            this->runtime.sleepFor(kPollInterval);
        }
        return this->isConfirmed(beganAt - kMaxSharedAge);
    };
    bool isDone = false;
    for (std::size_t index = 0; index < sources.size() && !isDone; ++index) {
        ++*pending;
        this->runtime.spawn([source = sources[index], pending] {
            source();
            --*pending;
        });
        isDone = wait(kNextSourceDelay);
    }
    isDone = isDone || wait(kAttemptTimeout - (this->clock.now() - beganAt));
    this->attempts.add();
    if (!isDone) {
        this->retryAt = this->clock.now() + kRetryDelay;
        this->failures.add();
        this->log.write(LogKind::State, "configuration not confirmed",
                        {{"asked", static_cast<std::int64_t>(sources.size())},
                         {"tookMs", wholeMillis(this->clock.now() - beganAt)}});
    }
}

void CatalogConfirmer::askPeer(const Member &member)
{
    const std::optional<RecordKey> key = this->options.record();
    if (!key) {
        return;
    }
    const Record *known = this->replica.find(*key);
    const RecordVersion version = known ? known->version : 0;
    const TimePoint askedAt = this->clock.now();
    const auto reply = this->peers.call(member.peers, PeerMessageKind::ConfirmCatalog,
                                        absl::StrCat(version), kPeerTimeout);
    if (!reply.ok()) {
        return;
    }
    const std::vector<std::string> fields =
        absl::StrSplit(*reply, absl::MaxSplits(kFieldSeparator, 2));
    std::int64_t ageMs = 0;
    Record record{*key, {}, 0, false};
    if (fields.size() != 3 || !absl::SimpleAtoi(fields[0], &ageMs) || ageMs < 0
        || !absl::SimpleAtoi(fields[1], &record.version)) {
        return;
    }
    if (record.version > version) {
        record.value = fields[2];
        this->options.apply(record);
    }
    this->onConfirmed(askedAt - milliseconds(ageMs));
}

std::string CatalogConfirmer::handlePeer(const std::string &body)
{
    RecordVersion asked = 0;
    const std::optional<RecordKey> key = this->options.record();
    if (!absl::SimpleAtoi(body, &asked) || !key || !this->options.hasStore()) {
        return {};
    }
    const TimePoint notBefore = this->clock.now() - kMaxSharedAge;
    while (this->askingStore && !this->isConfirmed(notBefore)) {
        this->runtime.sleepFor(kPollInterval);
    }
    if (!this->isConfirmed(notBefore)) {
        this->askingStore = true;
        this->options.askStore();
        this->askingStore = false;
    }
    const Record *known = this->replica.find(*key);
    if (!this->isConfirmed(notBefore) || !known || known->deleted) {
        return {};
    }
    const auto age = this->clock.now() - this->confirmed.load() + milliseconds(1); // Rounded up.
    const bool isNewer = known->version > asked;
    return absl::StrCat(wholeMillis(age), "\n", known->version, "\n",
                        isNewer ? known->value : std::string());
}

} // namespace basilnotch
