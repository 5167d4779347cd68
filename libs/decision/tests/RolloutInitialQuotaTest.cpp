// How many requests a new version gets at the start, and how soon a bad one shows.
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

RolloutState underWay(std::uint64_t order = 7)
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

TEST_CASE("the opening of a fleet stays within what operators accept beyond the share")
{
    for (const int instances : {1, 9, 95, 380}) {
        int restarted = 0;
        for (std::uint64_t order = 1; order <= 20; ++order) {
            std::vector<RolloutInitialQuota> openings = fleet(instances);
            int taken = 0;
            for (int passed = 0; passed < 24'000; passed += 20) {
                for (RolloutInitialQuota &opening : openings) {
                    taken += opening.tryAcquire(underWay(order), milliseconds(passed), kSlack,
                                                instances);
                }
            }
            INFO(instances << " instances, order " << order);
            CHECK(taken <= kSlack);
            CHECK(taken >= kSlack / 4);
            restarted += taken;
        }
        // Half of it in the mean, so that each instance may start once more meanwhile.
        CHECK(restarted <= 20 * kSlack * 0.6);
    }
}

TEST_CASE("the first requests are spread over the opening, and none comes after it")
{
    RolloutInitialQuota opening({}, 1);
    const RolloutState state = underWay();
    int early = 0;
    for (int number = 0; number < 100; ++number) {
        early += opening.tryAcquire(state, milliseconds(10), kSlack, 1);
    }
    CHECK(early == 1);
    CHECK_FALSE(opening.tryAcquire(state, seconds(12), kSlack, 1));
    RolloutState over = state;
    over.phase = RolloutPhase::Reverted;
    CHECK_FALSE(opening.tryAcquire(over, seconds(1), kSlack, 1));
    CHECK(opening.tryAcquire(underWay(8), seconds(1), kSlack, 1)); // The next order opens anew.
}

namespace {

/// Whether a version of which four of ten answers are bad is found within a quarter of its time:
/// nine instances, 14 requests a second without a session.
bool isFoundEarly(std::uint64_t trial, bool withOpening)
{
    constexpr int kPerSecond = 14;
    std::mt19937_64 random(trial);
    std::bernoulli_distribution bad(0.4);
    std::bernoulli_distribution usual(0.02);
    std::vector<RolloutInitialQuota> openings = fleet(9);
    RegressionDetector evidence;
    AnswerCounts oldOnes;
    AnswerCounts newOnes;
    const RolloutState state = underWay(trial);
    for (int number = 0; number < 6 * kPerSecond && !evidence.isBad(); ++number) {
        const auto elapsed = milliseconds(number * 1000 / kPerSecond);
        const std::string request = std::to_string(trial) + "-" + std::to_string(number);
        bool onNew = routesToNewVersion(request, rolloutShare(state, elapsed, 0.15));
        RolloutInitialQuota &opening = openings[random() % openings.size()];
        onNew = onNew || (withOpening && opening.tryAcquire(state, elapsed, kSlack, 9));
        (onNew ? newOnes : oldOnes).add({1, (onNew ? bad : usual)(random) ? 1 : 0});
        evidence.update(oldOnes, newOnes);
    }
    return evidence.isBad();
}

} // namespace

TEST_CASE("a bad version of a service with few requests shows in the first quarter far more often")
{
    int without = 0;
    int with = 0;
    for (std::uint64_t trial = 1; trial <= 200; ++trial) {
        without += isFoundEarly(trial, false) ? 1 : 0;
        with += isFoundEarly(trial, true) ? 1 : 0;
    }
    INFO("found without the opening: " << without << ", with it: " << with << " of 200");
    CHECK(with >= 4 * std::max(without, 10));
}
