// A rush beyond capacity: who waits, who is refused at once, and when they are asked back.
#include <decision/QueueWaitEstimator.h>

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("the wait is the number ahead times the interval between freed places")
{
    ManualClock clock;
    QueueWaitEstimator forecast({}, clock);
    CHECK_FALSE(forecast.expectedWait(0));
    for (int count = 0; count < 20; ++count) {
        clock.advance(milliseconds(50));
        forecast.onSlotFreed();
    }
    REQUIRE(forecast.expectedWait(0));
    CHECK(*forecast.expectedWait(0) == milliseconds(50));
    CHECK(*forecast.expectedWait(9) == milliseconds(500));
}

TEST_CASE("a refused caller is asked back when its turn could come, within bounds")
{
    ManualClock clock;
    QueueWaitEstimator forecast({}, clock);
    CHECK(forecast.retryAfter(3) == milliseconds(100));
    for (int count = 0; count < 50; ++count) {
        clock.advance(milliseconds(200));
        forecast.onSlotFreed();
    }
    CHECK(forecast.retryAfter(4) == seconds(1));
    CHECK(forecast.retryAfter(1000) == seconds(5));
}

TEST_CASE("a forecast from long ago says nothing: the request may wait")
{
    ManualClock clock;
    QueueWaitEstimator forecast({}, clock);
    for (int count = 0; count < 5; ++count) {
        clock.advance(milliseconds(100));
        forecast.onSlotFreed();
    }
    clock.advance(seconds(6));
    CHECK_FALSE(forecast.expectedWait(0));
}
