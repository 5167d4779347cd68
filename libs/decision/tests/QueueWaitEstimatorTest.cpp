// Tests of the queue wait estimate and of the retry time for refused callers under overload.
#include <decision/QueueWaitEstimator.h>

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("the wait is the number ahead times the interval between freed slots")
{
    ManualClock clock;
    QueueWaitEstimator estimator({}, clock);
    CHECK_FALSE(estimator.expectedWait(0));
    for (int count = 0; count < 20; ++count) {
        clock.advance(milliseconds(50));
        estimator.onSlotFreed();
    }
    REQUIRE(estimator.expectedWait(0));
    CHECK(*estimator.expectedWait(0) == milliseconds(50));
    CHECK(*estimator.expectedWait(9) == milliseconds(500));
}

TEST_CASE("a refused caller is told to retry after the expected wait, within bounds")
{
    ManualClock clock;
    QueueWaitEstimator estimator({}, clock);
    CHECK(estimator.retryAfter(3) == milliseconds(100));
    for (int count = 0; count < 50; ++count) {
        clock.advance(milliseconds(200));
        estimator.onSlotFreed();
    }
    CHECK(estimator.retryAfter(4) == seconds(1));
    CHECK(estimator.retryAfter(1000) == seconds(5));
}

TEST_CASE("an outdated estimate is not used: the request may wait")
{
    ManualClock clock;
    QueueWaitEstimator estimator({}, clock);
    for (int count = 0; count < 5; ++count) {
        clock.advance(milliseconds(100));
        estimator.onSlotFreed();
    }
    clock.advance(seconds(6));
    CHECK_FALSE(estimator.expectedWait(0));
}
