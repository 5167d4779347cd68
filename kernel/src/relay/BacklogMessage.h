// Encoding of the datagrams in which instances exchange the prefill backlog of engines, the
// locations of cached shared prompts and the load of upstreams.
#pragma once

#include <base/Failure.h>
#include <decision/PrefillBacklog.h>
#include <decision/PromptCacheIndex.h>
#include <load/PeerLoadReport.h>

#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Stage of the propagation of updates to all instances; sent as a number.
enum class BacklogStage : std::uint8_t {
    ToCollector,  ///< From an instance to the collector of its failure domain.
    ToCollectors, ///< From that collector to the collectors of the other failure domains.
    ToMembers,    ///< Final stage; from a collector, or directly on a small site.
};

struct BacklogMessage
{
    BacklogStage stage = BacklogStage::ToMembers;
    std::vector<BacklogUpdate> backlogUpdates;
    std::vector<PromptCacheUpdate> cachedPrompts;
    /// Sent without other updates: instances of an older version refuse such a datagram.
    std::vector<PeerLoadReport> loadReports;
    std::vector<EndedRequests> ended;
};

/// Maximum number of updates of each kind in a datagram, so that it fits into one packet.
inline constexpr std::size_t kMaxUpdatesPerDatagram = 45;

/// `now`: sent reports state their age.
std::string encodeBacklog(const BacklogMessage &message, TimePoint now);
/// Skips parts that a newer version may append. Returns DataLoss if `datagram` is not a valid
/// message.
absl::StatusOr<BacklogMessage> decodeBacklog(std::string_view datagram, TimePoint now);

} // namespace basilnotch
