// Tracks which upstreams are likely to have a prompt prefix cached. Cache events may be late or
// lost, so hints decay over time and are never treated as certain.
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace basilnotch {

struct PrefixHint
{
    int upstream = -1;
    int tokens = 0;
    TimePoint lastSeenAt; ///< Last time that the prefix was known to be cached.
};

/// Bounded to kMaxPrefixes prefixes with kHintsPerPrefix upstreams each. A new upstream replaces
/// the oldest hint of its prefix; a new prefix beyond the limit clears all hints.
class PrefixHints
{
public:
    static constexpr std::size_t kMaxPrefixes = 8192;
    static constexpr std::size_t kHintsPerPrefix = 16;
    static constexpr Duration kLifetime = std::chrono::minutes(5);

    /// Records that `upstream` has `tokens` tokens of the prefix cached; 0 if it was evicted.
    void record(std::uint64_t prefixHash, int upstream, int tokens, TimePoint now);
    /// Hints of `prefixHash`, some of which may have expired; valid until the next record().
    std::span<const PrefixHint> find(std::uint64_t prefixHash) const;
    /// Estimated cached tokens at `now`: decreases linearly to 0 at kLifetime.
    static int estimatedTokens(const PrefixHint &hint, TimePoint now);

private:
    std::unordered_map<std::uint64_t, std::vector<PrefixHint>> prefixes;
};

} // namespace basilnotch
