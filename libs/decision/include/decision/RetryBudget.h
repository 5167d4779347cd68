// Retries and hedges as a share of first tries, so that a bad hour does not multiply the load.
#pragma once

namespace basilnotch {

/// One thread.
class RetryBudget
{
public:
    explicit RetryBudget(double share)
        : share(share)
    { }
    void onFirstAttempt();
    /// Takes one retry from the budget; false when it is spent.
    bool tryAcquire();

    static constexpr double kMaxSaved = 50; ///< Retries that a quiet time can save up.
    static constexpr double kAtStart = 5;

private:
    const double share;
    double saved = kAtStart; ///< Invariant: 0 <= saved <= kMaxSaved.
};

} // namespace basilnotch
