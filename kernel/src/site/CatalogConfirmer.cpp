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

/// A larger value is fetched, so that a watcher doesn't send it to the whole fleet.
constexpr std::size_t kMaxInlineBytes = 4096;
constexpr std::size_t kLargeRecordBytes = 64 * 1024;
/// A value that comes later still confirms what the watcher has told.
constexpr Duration kFetchTimeout = seconds(2);

/// Fields of a request, one a line: the asker's version, and kCanFetch if it can fetch the value.
/// Fields of a reply: age of the confirmation in milliseconds, version, and the value if the
/// asker's version is older, unless the asker has to fetch it. An empty reply is no confirmation.
constexpr char kFieldSeparator = '\n';
constexpr char kCanFetch[] = "f";

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
        const Record *known = this->replica.find(*this->options.record());
        // The store sends a changed record whole, so a large one is read from it last.
        const bool isLarge = known && known->value.size() > kLargeRecordBytes;
        const std::size_t index = isFirst ? 0 : isLarge ? sources.size() : 1;
        sources.insert(sources.begin() + static_cast<std::ptrdiff_t>(index),
                       this->options.askStore);
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
    // A version that is being fetched comes from the other sources no sooner.
    for (std::size_t index = 0; index < sources.size() && !isDone && this->awaited == 0; ++index) {
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
                                        absl::StrCat(version, "\n", kCanFetch), kPeerTimeout);
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
    if (record.version > version && !fields[2].empty()) {
        record.value = fields[2];
        this->options.apply(record);
    }
    if (this->awaitVersion(*key, record.version, member.name)) {
        this->onConfirmed(askedAt - milliseconds(ageMs));
    }
}

bool CatalogConfirmer::awaitVersion(const RecordKey &key, RecordVersion version,
                                    const std::string &holder)
{
    const auto isKnown = [&] {
        const Record *known = this->replica.find(key);
        return known && known->version >= version;
    };
    if (!isKnown()) {
        this->options.fetch(key, version, holder);
    }
    ++this->awaited;
    const TimePoint until = this->clock.now() + kFetchTimeout;
    while (!isKnown() && this->clock.now() < until) {
        this->runtime.sleepFor(kPollInterval);
    }
    --this->awaited;
    return isKnown();
}

std::string CatalogConfirmer::handlePeer(const std::string &body)
{
    RecordVersion asked = 0;
    const std::vector<std::string> fields = absl::StrSplit(body, kFieldSeparator);
    const bool canFetch = fields.size() > 1 && fields[1] == kCanFetch;
    const std::optional<RecordKey> key = this->options.record();
    if (!absl::SimpleAtoi(fields[0], &asked) || !key || !this->options.hasStore()) {
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
    const bool isSent =
        known->version > asked && (!canFetch || known->value.size() <= kMaxInlineBytes);
    return absl::StrCat(wholeMillis(age), "\n", known->version, "\n",
                        isSent ? known->value : std::string());
}

} // namespace basilnotch
