// Limits retries and hedges to a ratio of first attempts, so that failures don't multiply the load.
#pragma once

namespace basilnotch {

/// Token bucket that first attempts refill. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(double ratio)
        : ratio(ratio)
    { }
    void onFirstAttempt();
    /// Takes one retry from the budget; returns false if the budget is exhausted.
    bool tryAcquire();

    static constexpr double kMaxTokens = 50; ///< Upper bound of the saved retries.
    static constexpr double kInitialTokens = 5;

private:
    const double ratio;
    double tokens = kInitialTokens; ///< Invariant: 0 <= tokens <= kMaxTokens.
};

} // namespace basilnotch
