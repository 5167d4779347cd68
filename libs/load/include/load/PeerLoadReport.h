// The news about an upstream that instances pass on to each other.
#pragma once

#include <base/Clock.h>

#include <cstdint>

namespace basilnotch {

/// Load of one upstream as an instance has seen it with an answer. Absolute, so that the next
/// report makes up for a lost one.
struct PeerLoadReport
{
    std::uint32_t upstream = 0; ///< Hash of the upstream's incarnation.
    int running = 0;
    int waiting = 0;
    int slots = 0;
    double pace = 0; ///< As the upstream reports it; 0 if it doesn't.
    /// Pace that the instance has measured with the answer, compared with other upstreams of the
    /// service; 0 if none.
    double measuredPace = 0;
    TimePoint seenAt; ///< By the clock of the instance that holds the report.
};

/// Requests of an instance that have ended. A lost one is made up for by the next report of the
/// upstream.
struct EndedRequests
{
    std::uint32_t instance = 0; ///< Hash of the instance's incarnation.
    std::uint32_t upstream = 0; ///< As in PeerLoadReport.
    int count = 0;              ///< Of those that other instances know of.
    int good = 0;               ///< Answered without a failure of the upstream.
    int failed = 0;             ///< Ended by a failure of the upstream, as this instance saw it.
};

} // namespace basilnotch
