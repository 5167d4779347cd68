// How an instance serves its large records to others. Answers the load of a large record that
// changes while the whole fleet asks for it: few askers at once, which then serve others, and a
// bounded share of the link whatever is asked.
#pragma once

#include <replica/RecordTransfer.h>

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace basilnotch {

struct RecordSourceOptions
{
    /// Sent for records over any longer time. Two fifths of a link of 10 Mbit/s.
    double bytesPerSecond = 480'000;
    double burstBytes = 120'000; ///< Sent at once after a pause.
    /// Askers that are sent a larger encoding at a time. More of them would all be slower, and the
    /// first one that could serve others as well would come later.
    std::size_t maxReceivers = 3;
    Duration receiverTimeout = std::chrono::seconds(1); ///< Without a request of a receiver.
    std::size_t smallBytes = 4096;     ///< An encoding up to this is sent to any number of askers.
    std::size_t partBytes = 32 * 1024; ///< Other messages wait for a part on the link.
};

/// Control thread only.
class RecordSource
{
public:
    RecordSource(const Replica &replica, RecordSourceOptions options, const Clock &clock);

    RecordReply answer(const RecordRequest &request);
    /// Bytes of encodings sent so far.
    std::int64_t bytesSent() const { return this->sent; }

private:
    struct Encoded
    {
        RecordKey key;
        RecordEncoding encoding;
        std::string bytes;
    };
    struct Receiver
    {
        TimePoint askedAt{};
        std::size_t left = 0; ///< Bytes.
    };

    /// The encoding whose transfer goes on, or the smallest one that leads to the newest version.
    const Encoded *select(const RecordRequest &request, const Record &record);
    /// Null when this instance has no longer one of the versions.
    const Encoded *encode(const RecordKey &key, const RecordState &target, const RecordState &base);
    /// Whether `asker` is one of the receivers, or becomes one.
    bool admit(const std::string &asker, std::size_t left);
    RecordReply busy(const RecordKey &key, Duration retryAfter) const;
    void refill();
    Duration timeFor(std::size_t bytes) const;
    void onServed(const RecordKey &key, const std::string &asker);

    const Replica &replica;
    const RecordSourceOptions options;
    const Clock &clock;
    std::deque<Encoded> encodings; ///< Used last first.
    std::map<std::string, Receiver> receivers;
    std::deque<std::pair<RecordKey, std::string>> served; ///< Askers that have all; latest first.
    double tokens; ///< Bytes that may be sent now. Invariant: at most burstBytes.
    TimePoint refilledAt;
    std::int64_t sent = 0;
};

} // namespace basilnotch
