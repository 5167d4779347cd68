// Repeated sends as a share of first sends in a sliding window, divided among the instances without
// coordination.
#pragma once

#include <base/Clock.h>

#include <array>
#include <cstdint>

namespace basilnotch {

struct SlidingWindowRetryOptions
{
    double ratio = 0.5; ///< Repeats for each first send.
    double slack = 20;  ///< Repeats beyond the ratio, all instances together.
    Duration window = std::chrono::seconds(10);
    /// Part of the allowance that is used: other instances count their windows from other moments.
    double reserve = 0.85;
};

/// One service, one thread. Invariant: in any window the repeats taken stay within
/// reserve * (ratio * first sends of this instance + slack / instances).
class SlidingWindowRetryBudget
{
public:
    SlidingWindowRetryBudget(SlidingWindowRetryOptions options, const Clock &clock);

    void onFirstAttempt();
    /// Takes one repeat; false when the allowance is used up.
    bool tryAcquire(int liveInstances);

private:
    static constexpr std::size_t kBuckets = 10;

    struct Bucket
    {
        std::int64_t number = -1; ///< Which stretch of time it counts.
        std::int64_t first = 0;
        std::int64_t repeats = 0;
    };

    Bucket &current();
    bool counts(const Bucket &bucket) const;
    std::int64_t bucketNumber() const;

    const SlidingWindowRetryOptions options;
    const Clock &clock;
    std::array<Bucket, kBuckets> buckets;
};

} // namespace basilnotch
