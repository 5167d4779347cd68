// Limits second sends to a ratio of first ones in a sliding window. The allowance is the fleet's
// and is divided among its members without talk: the ratio by each member's own first sends, the
// slack by the membership, unreachable members included.
#pragma once

#include <base/Clock.h>

#include <array>
#include <cstdint>

namespace basilnotch {

/// What a second send is for, the most useful first. A purpose may only use the allowance up to its
/// share (see purposeShare()), so that the ones before it find the rest unused.
enum class RetryPurpose {
    NeverRun,    ///< No upstream has run the request.
    LastChance,  ///< Too little time is left for a later repeat.
    Repeat,      ///< Any other repeat.
    SecondModel, ///< The answer of a small model is replaced by that of a large one.
    Hedge,       ///< The first send is still under way.
};

/// Share of the allowance from which `purpose` gets nothing more.
double purposeShare(RetryPurpose purpose);

struct SlidingWindowRetryOptions
{
    double ratio = 0.5; ///< Second sends per first one.
    double slack = 20;  ///< Second sends beyond the ratio, for all members together.
    Duration window = std::chrono::seconds(10);
    /// Share of the allowance that is used, because the windows of the members aren't aligned.
    double safetyFactor = 0.85;
};

/// For one service. Not thread-safe. Invariant: the sends granted in any window don't exceed
/// safetyFactor * (ratio * first sends of this member + slack / members), with the largest
/// membership that was given in the window.
class SlidingWindowRetryBudget
{
public:
    SlidingWindowRetryBudget(SlidingWindowRetryOptions options, const Clock &clock);

    void onFirstAttempt();
    /// Takes one send; returns false if the allowance for `purpose` is exhausted. `members`: all
    /// that may live, this one included; 0: not known yet, so that there is no share of the slack.
    bool tryAcquire(RetryPurpose purpose, int members);

private:
    static constexpr std::size_t kBuckets = 10;

    struct Bucket
    {
        std::int64_t number = -1; ///< Time since the clock's epoch, in bucket widths.
        std::int64_t firstAttempts = 0;
        std::int64_t retries = 0;
        int members = 0; ///< The most that were given.
    };

    Bucket &currentBucket();
    bool isInWindow(const Bucket &bucket) const;
    std::int64_t bucketNumber() const;

    const SlidingWindowRetryOptions options;
    const Clock &clock;
    std::array<Bucket, kBuckets> buckets;
};

} // namespace basilnotch
