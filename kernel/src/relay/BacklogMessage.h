// The datagrams in which instances tell each other what they know of engines: unread prompts, and
// where shared prompts have been read.
#pragma once

#include <base/Failure.h>
#include <decision/PrefillBacklog.h>
#include <decision/PromptCacheIndex.h>

#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// How far notes have come on their way to all instances.
enum class BacklogStage : std::uint8_t {
    ToCollector,  ///< From an instance to the collector of its failure domain.
    ToCollectors, ///< From that collector to those of the other failure domains.
    ToMembers,    ///< From a collector to the instances of its own failure domain.
};

struct BacklogMessage
{
    BacklogStage stage = BacklogStage::ToMembers;
    std::vector<BacklogUpdate> notes;
    std::vector<PromptCacheUpdate> cachedPrompts;
};

/// Notes of each kind that one datagram holds at most: they fit one packet.
inline constexpr std::size_t kMaxBacklogNotes = 45;

std::string encodeBacklog(const BacklogMessage &message);
/// DataLoss for bytes that are no such message.
absl::StatusOr<BacklogMessage> decodeBacklog(std::string_view datagram);

} // namespace basilnotch
