// The share of a new version over the time of its roll-out, and what counts against it.
#include <decision/CrashRateDetector.h>
#include <decision/RegressionDetector.h>
#include <decision/RolloutSchedule.h>

#include <catch2/catch.hpp>

#include <random>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

RolloutState underWay()
{
    RolloutState state;
    state.service = "models";
    state.toVersion = "v2";
    state.deadline = seconds(16);
    return state;
}

} // namespace

TEST_CASE("the canary stays below the exposure that operators allow")
{
    const RolloutState state = underWay();
    for (int passed = 0; passed < 8000; passed += 100) {
        CHECK(rolloutShare(state, milliseconds(passed), 0.15) < 0.15);
    }
}

TEST_CASE("the share never falls and reaches the whole before completion")
{
    const RolloutState state = underWay();
    double before = 0;
    for (int passed = 0; passed <= 16'000; passed += 50) {
        const double share = rolloutShare(state, milliseconds(passed), 0.15);
        CHECK(share >= before);
        before = share;
        if (mayComplete(state, milliseconds(passed))) {
            CHECK(share == 1.0);
        }
    }
    CHECK(before == 1.0);
    CHECK(mayComplete(state, milliseconds(15'500)));
    CHECK_FALSE(mayComplete(state, seconds(10)));
}

TEST_CASE("a version that nobody finds bad gets no more than operators accept to lose")
{
    // The pattern of a version that fails only under load, on a day without load.
    const RolloutState state = underWay();
    for (const double accepted : {0.3, 0.15, 0.0975, 0.08}) {
        double given = 0; // Seconds of the whole traffic.
        constexpr double kStep = 0.01;
        for (int step = 0; step < 1600; ++step) {
            const auto elapsed = milliseconds(10 * step);
            given +=
                kStep * (mayComplete(state, elapsed) ? 1 : rolloutShare(state, elapsed, accepted));
        }
        CHECK(given <= accepted * toSeconds(state.deadline));
        CHECK(canaryShare(accepted, 0.1) >= 0.2 * accepted);
        CHECK(canaryShare(accepted, 0.6) >= canaryShare(accepted, 0.1));
    }
}

TEST_CASE("a reverted version gets nothing, a completed one all")
{
    RolloutState state = underWay();
    state.phase = RolloutPhase::Reverted;
    CHECK(rolloutShare(state, seconds(12), 0.15) == 0);
    state.phase = RolloutPhase::Completed;
    CHECK(rolloutShare(state, seconds(1), 0.15) == 1);
    CHECK_FALSE(mayComplete(state, seconds(15)));
}

TEST_CASE("a session that fell on the new version stays there while the share grows")
{
    int onNew = 0;
    for (int number = 0; number < 1000; ++number) {
        const std::string session = "session-" + std::to_string(number);
        const bool early = routesToNewVersion(session, 0.1);
        onNew += early ? 1 : 0;
        if (early) {
            CHECK(routesToNewVersion(session, 0.4));
            CHECK(routesToNewVersion(session, 1.0));
        }
    }
    CHECK(onNew > 60);
    CHECK(onNew < 140);
}

TEST_CASE("a version that fails half of its answers is found within a dozen answers")
{
    RegressionDetector evidence;
    const AnswerCounts old{400, 20};
    int answers = 0;
    while (!evidence.isBad() && answers < 100) {
        ++answers;
        evidence.update(old, {answers, answers / 2});
    }
    CHECK(answers <= 12);
}

TEST_CASE("a version that turns bad late is found as fast as one that was bad from the start")
{
    RegressionDetector evidence;
    const AnswerCounts old{400, 20};
    std::int64_t answers = 0;
    for (; answers < 200; ++answers) {
        CHECK_FALSE(evidence.update(old, {answers, answers / 25}));
    }
    const std::int64_t goodOnes = answers;
    std::int64_t bad = answers / 25;
    while (!evidence.isBad() && answers < goodOnes + 100) {
        ++answers;
        bad += answers % 2;
        evidence.update(old, {answers, bad});
    }
    CHECK(answers - goodOnes <= 14);
}

TEST_CASE("a rush that slows both versions does not make the new one bad")
{
    RegressionDetector evidence;
    AnswerCounts oldVersion{300, 6};
    AnswerCounts newVersion{30, 0};
    evidence.update(oldVersion, newVersion);
    for (int step = 0; step < 60; ++step) {
        const bool rush = step >= 20 && step < 40;
        oldVersion.add({10, rush ? 4 : 0});
        newVersion.add({2, rush && step % 5 != 0 ? 1 : 0}); // 16 of 40 late in the rush.
        CHECK_FALSE(evidence.update(oldVersion, newVersion));
    }
}

TEST_CASE("a few hundred answers of a good version raise no alarm")
{
    std::mt19937 random(1);
    std::bernoulli_distribution isBad(0.06);
    int alarms = 0;
    for (int rollout = 0; rollout < 200; ++rollout) {
        RegressionDetector evidence;
        AnswerCounts oldVersion;
        AnswerCounts newVersion;
        for (int answer = 0; answer < 600 && !evidence.isBad(); ++answer) {
            oldVersion.add({1, isBad(random) ? 1 : 0});
            newVersion.add({1, isBad(random) ? 1 : 0});
            evidence.update(oldVersion, newVersion);
        }
        alarms += evidence.isBad() ? 1 : 0;
    }
    CHECK(alarms <= 2); // One in a hundred.
}

TEST_CASE("upstreams of both versions that crash together do not make a good version bad")
{
    CrashRateDetector evidence;
    CHECK_FALSE(evidence.update({2, 9}, {3, 9}));
    CHECK_FALSE(evidence.update({17, 90}, {15, 90}));
}

TEST_CASE("a few crashes that fall on the new version by chance do not make it bad")
{
    CrashRateDetector evidence;
    for (std::int64_t crashed = 1; crashed <= 5; ++crashed) {
        CHECK_FALSE(evidence.update({0, 9}, {crashed, 9}));
    }
}

TEST_CASE("a version whose upstreams crash again and again is found")
{
    CrashRateDetector evidence;
    std::int64_t crashed = 0;
    while (!evidence.isBad() && crashed < 100) {
        ++crashed;
        evidence.update({crashed / 10, 9}, {crashed, 9});
    }
    CHECK(crashed <= 20);
}

TEST_CASE("a version no worse than an old one that often fails is not called bad")
{
    RegressionDetector evidence;
    const AnswerCounts old{400, 56};
    for (std::int64_t answers = 7; answers < 3000; answers += 7) {
        CHECK_FALSE(evidence.update(old, {answers, answers / 7}));
    }
}
