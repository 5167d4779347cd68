// A prompt is forgotten as a whole, a time after its last use at any engine.
#include <decision/PromptCacheIndex.h>

#include <algorithm>

namespace basilnotch {

PromptCacheIndex::PromptCacheIndex(PromptCacheIndexOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

void PromptCacheIndex::onPrefilled(const PromptCacheUpdate &note)
{
    const TimePoint now = this->clock.now();
    Places &places = this->byPrompt[note.prompt];
    places.usedAt = now;
    std::erase(places.engines, note.upstream);
    places.engines.push_back(note.upstream);
    if (places.engines.size() > this->options.mostEngines) {
        places.engines.erase(places.engines.begin());
    }
    this->uses.push_back({note.prompt, now});
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
    const TimePoint oldest = this->clock.now() - this->options.memory;
    while (!this->uses.empty() && this->uses.front().at < oldest) {
        const auto found = this->byPrompt.find(this->uses.front().prompt);
        if (found != this->byPrompt.end() && found->second.usedAt < oldest) {
            this->byPrompt.erase(found);
        }
        this->uses.pop_front();
    }
}

} // namespace basilnotch
