// A full map is cleared as a whole, because the next round of requests restores the hints in use.
#include <decision/PrefixHints.h>

#include <algorithm>

namespace basilnotch {

void PrefixHints::record(std::uint64_t prefixHash, int upstream, int tokens, TimePoint now)
{
    if (this->prefixes.size() >= kMaxPrefixes && !this->prefixes.contains(prefixHash)) {
        this->prefixes.clear();
    }
    std::vector<PrefixHint> &hints = this->prefixes[prefixHash];
    const auto same = std::find_if(hints.begin(), hints.end(), [&](const PrefixHint &hint) {
        return hint.upstream == upstream;
    });
    if (same != hints.end()) {
        *same = {upstream, tokens, now};
        return;
    }
    if (tokens == 0) {
        return;
    }
    if (hints.size() >= kHintsPerPrefix) {
        *std::min_element(hints.begin(), hints.end(),
                          [](const PrefixHint &left, const PrefixHint &right) {
                              return left.lastSeenAt < right.lastSeenAt;
                          }) = {upstream, tokens, now};
        return;
    }
    hints.push_back({upstream, tokens, now});
}

std::span<const PrefixHint> PrefixHints::find(std::uint64_t prefixHash) const
{
    const auto found = this->prefixes.find(prefixHash);
    return found == this->prefixes.end() ? std::span<const PrefixHint>()
                                         : std::span<const PrefixHint>(found->second);
}

int PrefixHints::estimatedTokens(const PrefixHint &hint, TimePoint now)
{
    const double age = toSeconds(now - hint.lastSeenAt) / toSeconds(kLifetime);
    return age >= 1 ? 0 : static_cast<int>(hint.tokens * (1 - std::max(0.0, age)));
}

} // namespace basilnotch
