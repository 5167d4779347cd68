// Tests of the bound on retries.
#include <retries/SlidingWindowRetryBudget.h>

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::seconds;

TEST_CASE("retries stay within the ratio and this instance's share of the slack")
{
    ManualClock clock;
    SlidingWindowRetryOptions options;
    options.ratio = 0.5;
    options.slack = 20;
    options.safetyFactor = 1;
    SlidingWindowRetryBudget budget(options, clock);
    for (int count = 0; count < 20; ++count) {
        budget.onFirstAttempt();
    }
    int taken = 0;
    while (budget.tryAcquire(10)) {
        ++taken;
    }
    CHECK(taken == 12); // 0.5 * 20 + 20 / 10
    clock.advance(seconds(11));
    // The old retries have left the window, so the slack is available again.
    CHECK(budget.tryAcquire(10));
}
