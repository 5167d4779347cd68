// Tests the comparison of answer times on a route whose usual times vary widely.
#include "relay/SlowAnswerDetector.h"

#include <catch2/catch.hpp>

#include <random>

using namespace basilnotch;
using std::chrono::milliseconds;

namespace {

constexpr int kAnswers = 400;

/// Shares of the answers that count as slower and as far slower, when they take `factor` times the
/// usual time.
struct Shares
{
    double slower = 0;
    double farSlower = 0;
};

Shares sharesAt(double factor)
{
    SlowAnswerDetector detector;
    std::mt19937_64 random(1);
    std::lognormal_distribution<double> usualMillis(5, 0.5);
    const auto next = [&](double times) { return fromSeconds(times * usualMillis(random) / 1000); };
    for (int number = 0; number < kAnswers; ++number) {
        (void)detector.checkAndRecord("plans", next(1), milliseconds(100), true);
    }
    Shares shares;
    for (int number = 0; number < kAnswers; ++number) {
        const AnswerSpeed speed =
            detector.checkAndRecord("plans", next(factor), milliseconds(100), false);
        shares.slower += speed.isSlower ? 1.0 / kAnswers : 0;
        shares.farSlower += speed.isFarSlower ? 1.0 / kAnswers : 0;
    }
    return shares;
}

} // namespace

// Guards against a version of which each answer takes a few times as long and few count as slow.
TEST_CASE("most answers of a version that is a few times slower count as slower", "[slow]")
{
    CHECK(sharesAt(2.5).slower > 0.6);
    CHECK(sharesAt(2.5).farSlower < 0.4);
    CHECK(sharesAt(8).farSlower > 0.8);
}

TEST_CASE("about one in ten answers of a version that is as fast counts as slower", "[slow]")
{
    CHECK(sharesAt(1).slower < 0.2);
    CHECK(sharesAt(1).farSlower < 0.05);
}

// Guards against slow answers that count as good ones because there is nothing to compare them
// with.
TEST_CASE("the speed of an answer is not known before there are usual ones", "[slow]")
{
    SlowAnswerDetector detector;
    const auto check = [&](bool isBaseline) {
        return detector.checkAndRecord("plans", milliseconds(200), milliseconds(100), isBaseline);
    };
    constexpr int kFewAnswers = 5;
    for (int number = 0; number < kFewAnswers; ++number) {
        CHECK_FALSE(check(false).isKnown);
        CHECK_FALSE(check(true).isKnown);
    }
    CHECK(check(false).isKnown);
}
