// Follows the bytes that the kernel keeps for one TCP connection until its peer has acknowledged
// them. A peer that reads slowly, or not at all, still acknowledges; one that is unreachable
// does not.
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <optional>

namespace basilnotch {

/// Longer than a few retransmissions, shorter than what a caller waits for a first token.
constexpr Duration kPeerGoneTimeout = std::chrono::seconds(3);

/// What the kernel knows of a connection's outgoing bytes.
struct SendQueueState
{
    std::int64_t queuedBytes = 0; ///< Not yet acknowledged; some may not have been sent yet.
    /// A segment had to be sent again, or a window was probed, and nothing has come back since.
    bool isUnanswered = false;
};

/// Reads the state of the socket `handle`; nothing if the system does not tell.
std::optional<SendQueueState> readSendQueue(int handle);

/// Not thread-safe. Times are those of one clock.
class DeliveryProgress
{
public:
    struct Result
    {
        bool hasMoved = false;   ///< The peer has acknowledged bytes since the previous update.
        bool isComplete = false; ///< The peer has acknowledged everything.
        bool isPeerGone = false; ///< Nothing was answered for kPeerGoneTimeout.
    };

    /// `writtenBytes`: all that the kernel has taken so far.
    Result update(const SendQueueState &state, std::int64_t writtenBytes, TimePoint now);

private:
    std::int64_t acknowledgedBytes = 0;
    /// Since when nothing is answered; empty while the peer answers.
    std::optional<TimePoint> unansweredSince;
};

} // namespace basilnotch
