// A prompt expires for all engines at once, after its last use at any of them.
#include <decision/PromptCacheIndex.h>

#include <algorithm>

namespace basilnotch {

PromptCacheIndex::PromptCacheIndex(PromptCacheIndexOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

void PromptCacheIndex::onPrefilled(const PromptCacheUpdate &update)
{
    const TimePoint now = this->clock.now();
    CachedPrompt &places = this->byPrompt[update.prompt];
    places.usedAt = now;
    std::erase(places.engines, update.upstream);
    places.engines.push_back(update.upstream);
    if (places.engines.size() > this->options.maxEnginesPerPrompt) {
        places.engines.erase(places.engines.begin());
    }
    this->uses.push_back({update.prompt, now});
}

std::span<const std::uint32_t> PromptCacheIndex::holders(std::uint32_t prompt) const
{
    const auto found = this->byPrompt.find(prompt);
    if (found == this->byPrompt.end()) {
        return {};
    }
    return found->second.engines;
}

void PromptCacheIndex::expire()
{
    const TimePoint oldest = this->clock.now() - this->options.retention;
    while (!this->uses.empty() && this->uses.front().at < oldest) {
        const auto found = this->byPrompt.find(this->uses.front().prompt);
        if (found != this->byPrompt.end() && found->second.usedAt < oldest) {
            this->byPrompt.erase(found);
        }
        this->uses.pop_front();
    }
}

} // namespace basilnotch
