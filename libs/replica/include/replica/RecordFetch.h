// Which instance to ask next for a large record, and what to do with the answers. Answers the load
// of a large record that changes while few instances have the new version and links are slow or
// cut: what has been received is never asked for again, and at most one part is under way.
#pragma once

#include <replica/RecordTransfer.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace basilnotch {

struct RecordFetchOptions
{
    /// A first answer holds so much: a small change whole, and little where several instances are
    /// asked.
    std::uint64_t offerBytes = 4096;
    std::uint64_t partBytes = 32 * 1024;
    /// After this the next instance is asked as well, while no transfer has begun.
    Duration nextPeerDelay = std::chrono::milliseconds(100);
    std::size_t maxOffers = 6; ///< Instances that are asked at a time.
    /// Without an answer of the instance that sends: others are asked, its answer still counts. At
    /// least this, and several times what the slowest part took.
    Duration stallTime = std::chrono::milliseconds(400);
    Duration maxStallTime = std::chrono::milliseconds(1500);
    /// Pause once all candidates have been asked in vain; doubles up to the longest one.
    Duration retryDelay = std::chrono::milliseconds(80);
    Duration maxRetryDelay = std::chrono::milliseconds(800);
    /// Without progress; the store is asked then, and again after twice the pause before.
    Duration storeDelay = std::chrono::milliseconds(1200);
};

/// A request to send to `peer`.
struct RecordAsk
{
    std::string peer;
    RecordRequest request;
};

struct RecordFetchStep
{
    std::vector<RecordAsk> asks;
    bool asksStore = false;
    TimePoint wakeAt{}; ///< Of the next step, unless an answer comes before.
};

/// The fetch of one record by one instance. Control thread only.
class RecordFetch
{
public:
    /// Returns instances that may have the record, those that probably have it first.
    using Candidates = std::function<std::vector<std::string>()>;

    RecordFetch(RecordKey key, RecordVersion wanted, std::string self, const Replica &replica,
                Candidates candidates, RecordFetchOptions options, const Clock &clock,
                std::uint64_t seed);

    /// At least `wanted` is asked for from now on. A transfer under way goes on; what it brings is
    /// a base for the newer version.
    void raise(RecordVersion wanted);
    /// `peer` has the record, so it is asked next.
    void prefer(const std::string &peer);
    /// The replica has what is wanted, from whomever.
    bool isDone() const;
    /// What to do now. Call it again at `wakeAt` and after each answer.
    RecordFetchStep next();
    /// An answer, however late.
    void onReply(const std::string &peer, RecordReply reply);
    /// `peer` can't be reached, or has not answered within the timeout of the call.
    void onFailure(const std::string &peer);
    /// A record that has been received whole; once.
    std::optional<Record> takeRecord();

    const RecordKey &recordKey() const { return this->key; }
    RecordVersion wantedVersion() const { return this->wanted; }
    int asked() const { return this->askCount; }
    int unreachable() const { return this->failureCount; }
    int busy() const { return this->busyCount; }
    /// Encodings that have not led to the value that they announce.
    int rejected() const { return this->rejectCount; }
    std::uint64_t bytesReceived() const { return this->byteCount; }

private:
    RecordAsk ask(const std::string &peer, std::uint64_t maxBytes);
    /// The source is asked for the next part; false when others have to be asked.
    bool stepTransfer(RecordFetchStep &step);
    void stepSearch(RecordFetchStep &step);
    std::optional<std::string> takeCandidate();
    /// All candidates have been asked.
    void endRound(RecordFetchStep &step);
    void fillQueue();
    void onBusy(const std::string &peer, const RecordReply &reply);
    void onPart(const std::string &peer, RecordReply reply);
    void onProgress();
    void complete();
    void dropTransfer();
    Duration jittered(Duration delay);

    RecordKey key;
    RecordVersion wanted;
    std::string self;
    const Replica &replica;
    Candidates candidates;
    RecordFetchOptions options;
    const Clock &clock;
    std::mt19937_64 random;

    std::map<std::string, TimePoint> pending; ///< By instance asked; when.
    std::deque<std::string> queue;            ///< To ask, in this order.
    std::map<std::string, TimePoint> busyUntil;
    TimePoint askedAt{};     ///< Latest request to a candidate.
    TimePoint searchAt{};    ///< No candidate is asked before.
    int rounds = 0;          ///< In vain, one after the other.
    bool hasRound = false;   ///< Candidates have been queued since the start or the last record.
    std::string source;      ///< The instance that sends; empty when others have to be asked.
    TimePoint sourceAt{};    ///< It isn't asked before.
    RecordEncoding encoding; ///< Of the transfer. Invariant: `received` is its start.
    std::string received;
    Duration slowestPart{};
    TimePoint progressAt;   ///< Latest part, or the start.
    TimePoint storeAt;      ///< The store is asked then, unless there is progress.
    int storeAsks = 0;      ///< Since the latest progress.
    bool wholeOnly = false; ///< A delta has led to a wrong value.
    std::optional<Record> finished;
    int askCount = 0;
    int failureCount = 0;
    int busyCount = 0;
    int rejectCount = 0;
    std::uint64_t byteCount = 0;
};

} // namespace basilnotch
