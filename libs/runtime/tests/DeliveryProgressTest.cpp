// Tells peers that read slowly from those that are unreachable, on a paused clock.
#include "DeliveryProgress.h"

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kCheck = milliseconds(500);

struct ProgressFixture
{
    ManualClock clock;
    DeliveryProgress progress;

    DeliveryProgress::Result check(const SendQueueState &state, std::int64_t written = 1000)
    {
        this->clock.advance(kCheck);
        return this->progress.update(state, written, this->clock.now());
    }
};

} // namespace

// Guards against slow readers that are cut because their receive window stays closed.
TEST_CASE("a peer that answers window probes is not gone, however long its window stays closed")
{
    ProgressFixture fixture;
    for (Duration closed{}; closed < seconds(60); closed += kCheck) {
        const bool isProbing = (closed / kCheck) % 4 == 0; // Answered before the next check.
        const auto result = fixture.check({.queuedBytes = 1000, .isUnanswered = isProbing});
        CHECK_FALSE(result.isPeerGone);
        CHECK_FALSE(result.hasMoved);
        CHECK_FALSE(result.isComplete);
    }
}

// Guards against connections over lossy links that are cut although their bytes arrive.
TEST_CASE("a peer that acknowledges some bytes is not gone, however often segments are lost")
{
    ProgressFixture fixture;
    for (std::int64_t left = 1000; left > 0; left -= 10) {
        CHECK_FALSE(fixture.check({.queuedBytes = left, .isUnanswered = true}).isPeerGone);
    }
}

// Guards against answers that wait for minutes on the connections of unreachable peers.
TEST_CASE("a peer that acknowledges neither segments nor probes is gone after the timeout")
{
    ProgressFixture fixture;
    for (Duration silent{}; silent < kPeerGoneTimeout; silent += kCheck) {
        CHECK_FALSE(fixture.check({.queuedBytes = 1000, .isUnanswered = true}).isPeerGone);
    }
    CHECK(fixture.check({.queuedBytes = 1000, .isUnanswered = true}).isPeerGone);
}

// Guards against connections that are cut because this process stood still.
TEST_CASE("a peer that has had nothing to answer is not gone, whatever the time since a check")
{
    ProgressFixture fixture;
    CHECK_FALSE(fixture.check({.queuedBytes = 10}).isPeerGone);
    fixture.clock.advance(seconds(10));
    CHECK_FALSE(fixture.check({.queuedBytes = 10, .isUnanswered = true}).isPeerGone);
}

TEST_CASE("acknowledged bytes are progress, bytes that are only taken by the kernel are not")
{
    ProgressFixture fixture;
    CHECK_FALSE(fixture.check({.queuedBytes = 1000}, 1000).hasMoved);
    CHECK_FALSE(fixture.check({.queuedBytes = 5000}, 5000).hasMoved);
    CHECK(fixture.check({.queuedBytes = 4999}, 5000).hasMoved);
    CHECK_FALSE(fixture.check({.queuedBytes = 4999}, 5000).hasMoved);
    CHECK(fixture.check({.queuedBytes = 0}, 5000).isComplete);
}
