// Two states: while no instance sends, candidates are asked one after the other and the first that
// offers becomes the source; then parts come from the source, one at a time.
#include <replica/RecordFetch.h>

#include <base/Hash.h>
#include <replica/RecordDelta.h>

#include <algorithm>
#include <utility>

namespace basilnotch {

namespace {

constexpr std::size_t kMaxValueBytes = 16 * 1024 * 1024;
constexpr int kMaxDoublings = 6;
constexpr int kMaxStoreDoublings = 4;
constexpr int kStallFactor = 4;

} // namespace

RecordFetch::RecordFetch(RecordKey key, RecordVersion wanted, std::string self,
                         const Replica &replica, Candidates candidates, RecordFetchOptions options,
                         const Clock &clock, std::uint64_t seed)
    : key(std::move(key))
    , wanted(wanted)
    , self(std::move(self))
    , replica(replica)
    , candidates(std::move(candidates))
    , options(options)
    , clock(clock)
    , random(seed)
    , progressAt(clock.now())
    , storeAt(clock.now())
{
    this->onProgress();
}

void RecordFetch::raise(RecordVersion version)
{
    this->wanted = std::max(this->wanted, version);
}

void RecordFetch::prefer(const std::string &peer)
{
    std::erase(this->queue, peer);
    this->queue.push_front(peer);
    this->searchAt = this->clock.now();
}

bool RecordFetch::isDone() const
{
    const Record *known = this->replica.find(this->key);
    return known && known->version >= this->wanted;
}

std::optional<Record> RecordFetch::takeRecord()
{
    return std::exchange(this->finished, std::nullopt);
}

RecordFetchStep RecordFetch::next()
{
    RecordFetchStep step;
    const TimePoint now = this->clock.now();
    if (now >= this->storeAt) {
        ++this->storeAsks;
        this->storeAt = now
            + this->jittered(this->options.storeDelay
                             * (1 << std::min(this->storeAsks, kMaxStoreDoublings)));
        step.asksStore = true;
    }
    step.wakeAt = this->storeAt;
    if (!this->stepTransfer(step)) {
        this->stepSearch(step);
    }
    return step;
}

bool RecordFetch::stepTransfer(RecordFetchStep &step)
{
    const TimePoint now = this->clock.now();
    if (this->source.empty()) {
        return false;
    }
    const Duration stall = std::clamp(this->slowestPart * kStallFactor, this->options.stallTime,
                                      this->options.maxStallTime);
    auto call = this->pending.find(this->source);
    if (call == this->pending.end() && now >= this->sourceAt) {
        step.asks.push_back(this->ask(this->source, this->options.partBytes));
        call = this->pending.find(this->source);
    }
    const TimePoint until = call == this->pending.end() ? this->sourceAt : call->second + stall;
    if (now - this->progressAt >= this->options.maxStallTime || until <= now) {
        this->source.clear();
        return false;
    }
    step.wakeAt = std::min(step.wakeAt, until);
    return true;
}

void RecordFetch::stepSearch(RecordFetchStep &step)
{
    const TimePoint now = this->clock.now();
    const TimePoint nextAt =
        this->pending.empty() ? now : this->askedAt + this->options.nextPeerDelay;
    const TimePoint due = std::max(nextAt, this->searchAt);
    if (now < due) {
        step.wakeAt = std::min(step.wakeAt, due);
        return;
    }
    // An instance that is away must not hold up the others until its call fails.
    const auto awaited =
        std::count_if(this->pending.begin(), this->pending.end(), [&](const auto &call) {
            return now - call.second < this->options.stallTime;
        });
    if (static_cast<std::size_t>(awaited) >= this->options.maxOffers) {
        step.wakeAt = std::min(step.wakeAt, now + this->options.nextPeerDelay);
        return;
    }
    if (!std::exchange(this->hasRound, true)) {
        this->fillQueue();
    }
    const std::optional<std::string> peer = this->takeCandidate();
    if (!peer) {
        this->endRound(step);
        return;
    }
    step.asks.push_back(this->ask(*peer, this->options.offerBytes));
    this->askedAt = now;
    step.wakeAt = std::min(step.wakeAt, now + this->options.nextPeerDelay);
}

std::optional<std::string> RecordFetch::takeCandidate()
{
    const TimePoint now = this->clock.now();
    while (!this->queue.empty()) {
        std::string peer = std::move(this->queue.front());
        this->queue.pop_front();
        const auto busy = this->busyUntil.find(peer);
        if (!this->pending.contains(peer)
            && (busy == this->busyUntil.end() || busy->second <= now)) {
            return peer;
        }
    }
    return std::nullopt;
}

void RecordFetch::endRound(RecordFetchStep &step)
{
    const TimePoint now = this->clock.now();
    TimePoint next = now
        + this->jittered(
            std::min(this->options.retryDelay * (1 << std::min(this->rounds, kMaxDoublings)),
                     this->options.maxRetryDelay));
    std::erase_if(this->busyUntil, [&](const auto &item) { return item.second <= now; });
    std::vector<std::string> waiting;
    for (const auto &[peer, until] : this->busyUntil) {
        next = std::min(next, until); // It has the record, so its answer is worth most.
        waiting.push_back(peer);
    }
    ++this->rounds;
    this->searchAt = next;
    this->queue.clear();
    std::shuffle(waiting.begin(), waiting.end(), this->random);
    this->queue.insert(this->queue.end(), waiting.begin(), waiting.end());
    this->fillQueue();
    step.wakeAt = std::min(step.wakeAt, next);
}

void RecordFetch::fillQueue()
{
    for (std::string &peer : this->candidates()) {
        const bool isQueued =
            std::find(this->queue.begin(), this->queue.end(), peer) != this->queue.end();
        if (peer != this->self && !isQueued && !this->busyUntil.contains(peer)) {
            this->queue.push_back(std::move(peer));
        }
    }
}

RecordAsk RecordFetch::ask(const std::string &peer, std::uint64_t maxBytes)
{
    ++this->askCount;
    this->pending[peer] = this->clock.now();
    RecordRequest request;
    request.key = this->key;
    request.asker = this->self;
    request.wanted = this->wanted;
    request.maxBytes = maxBytes;
    if (!this->wholeOnly) {
        request.states = this->replica.states(this->key);
    }
    if (!this->received.empty()) {
        request.encoding = this->encoding;
        request.offset = this->received.size();
        request.wanted = std::min(this->wanted, this->encoding.target.version);
    }
    return {peer, std::move(request)};
}

void RecordFetch::onFailure(const std::string &peer)
{
    ++this->failureCount;
    this->pending.erase(peer);
    if (peer == this->source) {
        this->source.clear();
    }
}

void RecordFetch::onReply(const std::string &peer, RecordReply reply)
{
    const auto call = this->pending.find(peer);
    if (call != this->pending.end()) {
        if (peer == this->source && reply.kind == RecordReplyKind::Part) {
            this->slowestPart = std::max(this->slowestPart, this->clock.now() - call->second);
        }
        this->pending.erase(call);
    }
    switch (reply.kind) {
    case RecordReplyKind::None:
        if (peer == this->source) {
            this->source.clear();
        }
        break;
    case RecordReplyKind::Busy:
        this->onBusy(peer, reply);
        break;
    case RecordReplyKind::Part:
        this->onPart(peer, std::move(reply));
        break;
    }
}

void RecordFetch::onBusy(const std::string &peer, const RecordReply &reply)
{
    ++this->busyCount;
    const TimePoint until = this->clock.now() + this->jittered(reply.retryAfter);
    if (peer == this->source) {
        this->sourceAt = until;
        return;
    }
    this->busyUntil[peer] = until;
    for (const std::string &other : reply.referrals) {
        if (other != this->self && !this->busyUntil.contains(other)) {
            std::erase(this->queue, other);
            this->queue.push_front(other);
        }
    }
}

void RecordFetch::onPart(const std::string &peer, RecordReply reply)
{
    this->byteCount += reply.bytes.size();
    const std::uint64_t size = reply.encoding.size;
    if (this->finished || this->isDone() || reply.bytes.empty() || size > kMaxValueBytes
        || reply.offset + reply.bytes.size() > size) {
        return;
    }
    const bool goesOn = reply.encoding == this->encoding && reply.offset == this->received.size();
    // Another encoding is worth taking when less of it is left.
    const bool isBetter = reply.offset == 0 && !(reply.encoding == this->encoding)
        && (this->received.empty()
            || size - reply.bytes.size() < this->encoding.size - this->received.size());
    if (!goesOn && !isBetter) {
        return;
    }
    if (isBetter) {
        this->encoding = reply.encoding;
        this->received.clear();
        this->source = peer;
    } else if (this->source.empty()) {
        this->source = peer;
    }
    this->received += reply.bytes;
    this->onProgress();
    this->sourceAt = this->progressAt;
    if (this->received.size() == size) {
        this->complete();
    }
}

void RecordFetch::onProgress()
{
    this->progressAt = this->clock.now();
    this->storeAsks = 0;
    this->storeAt = this->progressAt + this->jittered(this->options.storeDelay);
}

void RecordFetch::complete()
{
    const std::optional<std::string> base = this->encoding.base == RecordState{}
        ? std::string()
        : this->replica.valueAt(this->key, this->encoding.base);
    const auto value = base && hash64(this->received) == this->encoding.hash
        ? applyDelta(*base, this->received, kMaxValueBytes)
        : absl::StatusOr<std::string>(absl::DataLossError("hash"));
    if (value.ok() && hash64(*value) == this->encoding.target.hash) {
        this->finished = Record{this->key, *value, this->encoding.target.version, false};
        this->rounds = 0;
        this->hasRound = false;
    } else {
        ++this->rejectCount;
        this->wholeOnly = true;
    }
    this->dropTransfer();
}

void RecordFetch::dropTransfer()
{
    this->encoding = {};
    this->received.clear();
    this->source.clear();
}

Duration RecordFetch::jittered(Duration delay)
{
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    return fromSeconds(toSeconds(delay) * jitter(this->random));
}

} // namespace basilnotch
