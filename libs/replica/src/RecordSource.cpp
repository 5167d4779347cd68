// Encodings are made when they are asked for and kept, as many askers want the same one.
#include <replica/RecordSource.h>

#include <base/Hash.h>
#include <replica/RecordDelta.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr std::size_t kMaxEncodings = 4;
constexpr std::size_t kMaxServed = 12;
constexpr std::size_t kMaxReferrals = 4;
constexpr std::size_t kLeastPartBytes = 8 * 1024; ///< Less is not worth a round trip.
constexpr double kSmallReserve = 16 * 1024; ///< Bytes that larger encodings leave to small ones.
constexpr Duration kLeastRetry = std::chrono::milliseconds(20);
constexpr Duration kLongestRetry = std::chrono::milliseconds(500);

} // namespace

RecordSource::RecordSource(const Replica &replica, RecordSourceOptions options, const Clock &clock)
    : replica(replica)
    , options(options)
    , clock(clock)
    , tokens(options.burstBytes)
    , refilledAt(clock.now())
{ }

RecordReply RecordSource::answer(const RecordRequest &request)
{
    const Record *record = this->replica.find(request.key);
    if (!record || record->deleted || record->version < request.wanted) {
        return {};
    }
    const Encoded *encoded = this->select(request, *record);
    if (!encoded) {
        return {};
    }
    this->refill();
    const std::size_t offset = encoded->encoding == request.encoding ? request.offset : 0;
    const std::size_t left = encoded->bytes.size() - std::min(offset, encoded->bytes.size());
    std::size_t size = std::min<std::size_t>({left, request.maxBytes, this->options.partBytes});
    if (encoded->bytes.size() > this->options.smallBytes) {
        if (!this->admit(request.asker, left)) {
            const auto next = std::min_element(
                this->receivers.begin(), this->receivers.end(),
                [](const auto &a, const auto &b) { return a.second.left < b.second.left; });
            return this->busy(request.key,
                              this->timeFor(next->second.left * this->receivers.size()));
        }
        const double forLarge = std::max(0.0, this->tokens - kSmallReserve);
        const auto available = static_cast<std::size_t>(forLarge);
        if (available < std::min(size, kLeastPartBytes)) {
            return this->busy(request.key, this->timeFor(size - available));
        }
        size = std::min(size, available);
    } else if (this->tokens < static_cast<double>(size)) {
        return this->busy(request.key, this->timeFor(size));
    }
    this->tokens -= static_cast<double>(size);
    this->sent += static_cast<std::int64_t>(size);
    if (size == left) {
        this->onServed(request.key, request.asker);
    }
    return {RecordReplyKind::Part,
            encoded->encoding,
            offset,
            encoded->bytes.substr(offset, size),
            {},
            {}};
}

const RecordSource::Encoded *RecordSource::select(const RecordRequest &request,
                                                  const Record &record)
{
    if (request.offset > 0) {
        const RecordEncoding &wanted = request.encoding;
        const Encoded *encoded = this->encode(request.key, wanted.target, wanted.base);
        if (encoded && encoded->encoding == wanted) {
            return encoded;
        }
    }
    const std::vector<RecordState> own = this->replica.states(request.key);
    const RecordState newest{record.version, own.empty() ? hash64(record.value) : own[0].hash};
    for (const RecordState &base : request.states) {
        if (base != newest && std::find(own.begin(), own.end(), base) != own.end()) {
            if (const Encoded *encoded = this->encode(request.key, newest, base)) {
                return encoded;
            }
        }
    }
    return this->encode(request.key, newest, {});
}

const RecordSource::Encoded *RecordSource::encode(const RecordKey &key, const RecordState &target,
                                                  const RecordState &base)
{
    const auto found =
        std::find_if(this->encodings.begin(), this->encodings.end(), [&](const Encoded &encoded) {
            return encoded.key == key && encoded.encoding.target == target
                && encoded.encoding.base == base;
        });
    if (found != this->encodings.end()) {
        std::rotate(this->encodings.begin(), found, found + 1);
        return &this->encodings.front();
    }
    const Record *record = this->replica.find(key);
    const std::vector<RecordState> states = this->replica.states(key);
    std::optional<std::string> targetValue = this->replica.valueAt(key, target);
    if (!targetValue && states.empty() && record->version == target.version) {
        targetValue = record->value; // Not large.
    }
    const std::optional<std::string> baseValue =
        base == RecordState{} ? std::string() : this->replica.valueAt(key, base);
    if (!targetValue || !baseValue) {
        return nullptr;
    }
    std::string bytes = encodeDelta(*baseValue, *targetValue);
    const RecordEncoding encoding{target, base, hash64(bytes), bytes.size()};
    this->encodings.push_front({key, encoding, std::move(bytes)});
    if (this->encodings.size() > kMaxEncodings) {
        this->encodings.pop_back();
    }
    return &this->encodings.front();
}

bool RecordSource::admit(const std::string &asker, std::size_t left)
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->receivers, [&](const auto &item) {
        return now - item.second.askedAt >= this->options.receiverTimeout;
    });
    if (this->receivers.size() >= this->options.maxReceivers && !this->receivers.contains(asker)) {
        return false;
    }
    this->receivers[asker] = {now, left};
    return true;
}

RecordReply RecordSource::busy(const RecordKey &key, Duration retryAfter) const
{
    RecordReply reply;
    reply.kind = RecordReplyKind::Busy;
    reply.retryAfter = std::clamp(retryAfter, kLeastRetry, kLongestRetry);
    for (const auto &[servedKey, asker] : this->served) {
        if (servedKey == key && reply.referrals.size() < kMaxReferrals) {
            reply.referrals.push_back(asker);
        }
    }
    return reply;
}

void RecordSource::refill()
{
    const TimePoint now = this->clock.now();
    const double added = toSeconds(now - this->refilledAt) * this->options.bytesPerSecond;
    this->tokens = std::min(this->options.burstBytes, this->tokens + added);
    this->refilledAt = now;
}

Duration RecordSource::timeFor(std::size_t bytes) const
{
    return fromSeconds(static_cast<double>(bytes) / this->options.bytesPerSecond);
}

void RecordSource::onServed(const RecordKey &key, const std::string &asker)
{
    this->receivers.erase(asker);
    std::erase(this->served, std::pair(key, asker));
    this->served.emplace_front(key, asker);
    if (this->served.size() > kMaxServed) {
        this->served.pop_back();
    }
}

} // namespace basilnotch
