// Limits retries to a ratio of first attempts in a sliding window. The allowance is divided among
// the instances without coordination.
#pragma once

#include <base/Clock.h>

#include <array>
#include <cstdint>

namespace basilnotch {

struct SlidingWindowRetryOptions
{
    double ratio = 0.5; ///< Retries per first attempt.
    double slack = 20;  ///< Retries beyond the ratio, for all instances together.
    Duration window = std::chrono::seconds(10);
    /// Share of the allowance that is used, because the windows of the instances aren't aligned.
    double safetyFactor = 0.85;
};

/// For one service. Not thread-safe. Invariant: the retries granted in any window don't exceed
/// safetyFactor * (ratio * first attempts of this instance + slack / instances).
class SlidingWindowRetryBudget
{
public:
    SlidingWindowRetryBudget(SlidingWindowRetryOptions options, const Clock &clock);

    void onFirstAttempt();
    /// Takes one retry; returns false if the allowance is exhausted.
    bool tryAcquire(int liveInstances);

private:
    static constexpr std::size_t kBuckets = 10;

    struct Bucket
    {
        std::int64_t number = -1; ///< Time since the clock's epoch, in bucket widths.
        std::int64_t firstAttempts = 0;
        std::int64_t retries = 0;
    };

    Bucket &currentBucket();
    bool isInWindow(const Bucket &bucket) const;
    std::int64_t bucketNumber() const;

    const SlidingWindowRetryOptions options;
    const Clock &clock;
    std::array<Bucket, kBuckets> buckets;
};

} // namespace basilnotch
