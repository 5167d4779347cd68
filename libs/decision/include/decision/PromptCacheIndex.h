// Tracks which engines have recently prefilled a shared prompt and are likely to have it cached,
// from this instance's requests and from updates of other instances.
//
// When many instances receive requests with the same shared prompt, the prompt is prefilled once,
// and less busy engines fetch its cache from there instead of prefilling it again.
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace basilnotch {

/// Reports that an engine has prefilled a shared prompt for a model.
struct PromptCacheUpdate
{
    std::uint32_t prompt = 0;   ///< Hash of the model and the last shared prompt part.
    std::uint32_t upstream = 0; ///< PrefillBacklog::engineKey of the engine.

    friend bool operator==(const PromptCacheUpdate &, const PromptCacheUpdate &) = default;
};

struct PromptCacheIndexOptions
{
    /// How long a prompt is assumed to stay cached after its last use. Engines hold about 500,000
    /// tokens and prefill about 20,000 tokens per second.
    Duration retention = std::chrono::seconds(20);
    std::size_t maxEnginesPerPrompt = 4; ///< The most recent ones are kept.
};

/// Not thread-safe.
class PromptCacheIndex
{
public:
    PromptCacheIndex(PromptCacheIndexOptions options, const Clock &clock);

    void onPrefilled(const PromptCacheUpdate &update);
    /// Keys of the engines that are likely to have the prompt cached, the most recent one last.
    std::span<const std::uint32_t> holders(std::uint32_t prompt) const;
    /// Removes prompts that have not been used for the retention time.
    void expire();

private:
    struct CachedPrompt
    {
        std::vector<std::uint32_t> engines; ///< The most recent one last.
        TimePoint usedAt;
    };
    struct Use
    {
        std::uint32_t prompt = 0;
        TimePoint at;
    };

    const PromptCacheIndexOptions options;
    const Clock &clock;
    std::unordered_map<std::uint32_t, CachedPrompt> byPrompt;
    std::deque<Use> uses; ///< Ordered by time, for expire().
};

} // namespace basilnotch
