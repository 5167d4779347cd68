// Tests how many requests a new version gets at the start of a roll-out and how early a bad version
// is detected.
#include <decision/RegressionDetector.h>
#include <decision/RolloutInitialQuota.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kSlack = 30;

RolloutState inProgress(std::uint64_t order = 7)
{
    RolloutState state;
    state.service = "models";
    state.toVersion = "v2";
    state.order = order;
    state.deadline = seconds(24);
    return state;
}

std::vector<RolloutInitialQuota> fleet(int count)
{
    std::vector<RolloutInitialQuota> made;
    for (int number = 0; number < count; ++number) {
        made.emplace_back(RolloutInitialQuotaOptions(), static_cast<std::uint64_t>(number) + 1);
    }
    return made;
}

} // namespace

TEST_CASE("the initial requests of a fleet stay within what operators accept beyond the share")
{
    for (const int instances : {1, 9, 95, 380}) {
        int total = 0;
        for (std::uint64_t order = 1; order <= 20; ++order) {
            std::vector<RolloutInitialQuota> quotas = fleet(instances);
            int granted = 0;
            for (int passed = 0; passed < 24'000; passed += 20) {
                for (RolloutInitialQuota &quota : quotas) {
                    granted += quota.tryAcquire(inProgress(order), milliseconds(passed), kSlack,
                                                instances);
                }
            }
            INFO(instances << " instances, order " << order);
            CHECK(granted <= kSlack);
            CHECK(granted >= kSlack / 4);
            total += granted;
        }
        // The mean is about half of the accepted requests, so that each instance may restart once
        // during the initial period.
        CHECK(total <= 20 * kSlack * 0.6);
    }
}

TEST_CASE("the initial requests are spread over the initial period, and none is granted after it")
{
    RolloutInitialQuota quota({}, 1);
    const RolloutState state = inProgress();
    int early = 0;
    for (int number = 0; number < 100; ++number) {
        early += quota.tryAcquire(state, milliseconds(10), kSlack, 1);
    }
    CHECK(early == 1);
    CHECK_FALSE(quota.tryAcquire(state, seconds(12), kSlack, 1));
    RolloutState reverted = state;
    reverted.phase = RolloutPhase::Reverted;
    CHECK_FALSE(quota.tryAcquire(reverted, seconds(1), kSlack, 1));
    // A new order has its own quota.
    CHECK(quota.tryAcquire(inProgress(8), seconds(1), kSlack, 1));
}

namespace {

/// True if a version with 40 % bad answers is detected within a quarter of its deadline by nine
/// instances that get 14 requests per second without a session.
bool isDetectedEarly(std::uint64_t trial, bool withQuota)
{
    constexpr int kPerSecond = 14;
    std::mt19937_64 random(trial);
    std::bernoulli_distribution bad(0.4);
    std::bernoulli_distribution usual(0.02);
    std::vector<RolloutInitialQuota> quotas = fleet(9);
    RegressionDetector detector;
    AnswerCounts oldVersion;
    AnswerCounts newVersion;
    const RolloutState state = inProgress(trial);
    for (int number = 0; number < 6 * kPerSecond && !detector.isBad(); ++number) {
        const auto elapsed = milliseconds(number * 1000 / kPerSecond);
        const std::string request = std::to_string(trial) + "-" + std::to_string(number);
        bool onNew = routesToNewVersion(request, rolloutShare(state, elapsed, 0.15));
        RolloutInitialQuota &quota = quotas[random() % quotas.size()];
        onNew = onNew || (withQuota && quota.tryAcquire(state, elapsed, kSlack, 9));
        (onNew ? newVersion : oldVersion).add({1, (onNew ? bad : usual)(random) ? 1 : 0});
        detector.update(oldVersion, newVersion);
    }
    return detector.isBad();
}

} // namespace

TEST_CASE(
    "on a service with few requests the initial quota makes early detection of a bad version far "
    "more likely")
{
    int without = 0;
    int with = 0;
    for (std::uint64_t trial = 1; trial <= 200; ++trial) {
        without += isDetectedEarly(trial, false) ? 1 : 0;
        with += isDetectedEarly(trial, true) ? 1 : 0;
    }
    INFO("detected without the initial quota: " << without << ", with it: " << with << " of 200");
    CHECK(with >= 4 * std::max(without, 10));
}
