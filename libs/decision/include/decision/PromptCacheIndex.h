// Which engines have lately read a shared prompt, and so are likely to have it cached: what this
// instance has seen, and what the others tell.
//
// Answers the pattern of a subject that is asked for at many instances: the prompt is read once,
// and engines that are less busy fetch it from there instead of reading it again.
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace basilnotch {

/// An engine has read a shared prompt for a model.
struct PromptCacheUpdate
{
    std::uint32_t prompt = 0;   ///< Hash of the last shared part and the model.
    std::uint32_t upstream = 0; ///< PrefillBacklog::keyOf the engine.

    friend bool operator==(const PromptCacheUpdate &, const PromptCacheUpdate &) = default;
};

struct PromptCacheIndexOptions
{
    /// How long a prompt is taken to stay in an engine's memory after its last use. Engines hold
    /// some half a million tokens and read some twenty thousand a second.
    Duration memory = std::chrono::seconds(20);
    std::size_t mostEngines = 4; ///< Remembered for a prompt, the latest ones.
};

/// One thread.
class PromptCacheIndex
{
public:
    PromptCacheIndex(PromptCacheIndexOptions options, const Clock &clock);

    void onPrefilled(const PromptCacheUpdate &note);
    /// Engines that are likely to have the prompt, the latest one last.
    std::span<const std::uint32_t> holders(std::uint32_t prompt) const;
    /// Forgets what has not been used for long.
    void expire();

private:
    struct Places
    {
        std::vector<std::uint32_t> engines; ///< The latest one last.
        TimePoint usedAt;
    };
    struct Use
    {
        std::uint32_t prompt = 0;
        TimePoint at;
    };

    const PromptCacheIndexOptions options;
    const Clock &clock;
    std::unordered_map<std::uint32_t, Places> byPrompt;
    std::deque<Use> uses; ///< In order of time, for expire().
};

} // namespace basilnotch
