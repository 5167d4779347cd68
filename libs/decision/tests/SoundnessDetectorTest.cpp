// Tests what has to be seen of a new version before it counts as sound.
#include <decision/VersionTally.h>

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

using namespace basilnotch;

namespace {

/// A route of a service, and the shares of its answers that are bad or slower for either version.
struct FakeRoute
{
    std::string name;
    double oldBad = 0;
    double newBad = 0;
    double oldSlower = 0;
    double newSlower = 0;
};

/// A roll-out of which a collector gets report after report.
class FakeRollout
{
public:
    explicit FakeRollout(std::uint64_t seed)
        : random(seed)
    { }

    /// Adds `answers` of the new version, and eight times as many of the old one, on each route.
    /// True if the new version was found to be bad.
    bool add(const std::vector<FakeRoute> &routes, int answers)
    {
        bool isFound = false;
        for (int number = 0; number < answers; ++number) {
            this->countOnce(routes);
            isFound = this->tally.addReport(this->report).has_value() || isFound;
        }
        return isFound;
    }

    /// Like add(), in one report.
    void addAtOnce(const std::vector<FakeRoute> &routes, int answers)
    {
        for (int number = 0; number < answers; ++number) {
            this->countOnce(routes);
        }
        this->tally.addReport(this->report);
    }

    VersionTally tally;

private:
    void countOnce(const std::vector<FakeRoute> &routes)
    {
        constexpr int kOldAnswers = 8;
        this->report.routes.resize(2 * routes.size());
        for (std::size_t index = 0; index < routes.size(); ++index) {
            RouteCounts &newCounts = this->report.routes[2 * index];
            RouteCounts &oldCounts = this->report.routes[2 * index + 1];
            newCounts.route = oldCounts.route = routes[index].name;
            newCounts.isNew = true;
            this->count(newCounts.counts, routes[index].newBad, routes[index].newSlower);
            for (int old = 0; old < kOldAnswers; ++old) {
                this->count(oldCounts.counts, routes[index].oldBad, routes[index].oldSlower);
            }
        }
    }

    void count(AnswerCounts &counts, double bad, double slower)
    {
        const auto draw = [this](double share) {
            return std::bernoulli_distribution(share)(this->random) ? 1 : 0;
        };
        const int isBad = draw(bad);
        const int isSlower = !isBad && slower > 0 ? draw(slower) : 0;
        counts.add({1, isBad, isSlower});
    }

    std::mt19937_64 random;
    VersionReport report{"models", 7, "a", {}};
};

/// Part of the roll-outs in which the new version is sound after `answers` on each route.
double soundShare(const std::vector<FakeRoute> &routes, int answers)
{
    constexpr int kRollouts = 300;
    int sound = 0;
    for (std::uint64_t seed = 0; seed < kRollouts; ++seed) {
        FakeRollout rollout(seed);
        rollout.add(routes, answers);
        sound += rollout.tally.isSound(EvidenceScope::All) ? 1 : 0;
    }
    return static_cast<double>(sound) / kRollouts;
}

} // namespace

// Guards against a bad version that is completed because little has been seen of it.
TEST_CASE("a version of which little has been seen is neither sound nor unsound", "[sound]")
{
    FakeRollout rollout(1);
    CHECK_FALSE(rollout.tally.isSound(EvidenceScope::All));
    rollout.add({{"plans", 0, 0}}, 12);
    CHECK_FALSE(rollout.tally.isSound(EvidenceScope::All));
    CHECK_FALSE(rollout.tally.isUnsound());
    CHECK_FALSE(rollout.tally.isSuspect());
    CHECK(rollout.tally.isProbablySound());
}

// Guards against a bad version that a service with few requests completes because nothing speaks
// against it yet.
TEST_CASE("a version of which next to nothing has been seen is not even probably sound", "[sound]")
{
    FakeRollout rollout(1);
    CHECK_FALSE(rollout.tally.isProbablySound());
    rollout.add({{"plans", 0, 0}}, 5);
    CHECK_FALSE(rollout.tally.isProbablySound());
    rollout.add({{"plans", 0, 0}}, 5);
    CHECK(rollout.tally.isProbablySound());
}

TEST_CASE("a good version is sound after forty answers", "[sound]")
{
    CHECK(soundShare({{"plans", 0, 0}}, 40) == 1);
    CHECK(soundShare({{"plans", 0.02, 0.02}, {"notes", 0.02, 0.02}}, 20) >= 0.85);
}

// Guards against a version that fails one in five requests and is completed.
TEST_CASE("a version that fails one in five requests is hardly ever sound", "[sound]")
{
    for (const int answers : {20, 40, 80}) {
        INFO(answers << " answers");
        CHECK(soundShare({{"plans", 0, 0.2}}, answers) <= 0.03);
    }
}

// Guards against failures that are hidden by a route on which both versions always fail.
TEST_CASE("a route that always fails says nothing of the new version", "[sound]")
{
    const FakeRoute failing{"short", 1, 1};
    CHECK(soundShare({failing}, 40) == 0);
    CHECK(soundShare({failing, {"plans", 0, 0}}, 40) >= 0.95);
    CHECK(soundShare({failing, {"plans", 0, 0.2}}, 40) <= 0.03);
}

// Guards against a good version that is never sound, or taken back, once a route on which both
// versions always fail has had many answers.
TEST_CASE("a route that always fails says nothing however many answers it has", "[sound]")
{
    const FakeRoute failing{"short", 1, 1};
    FakeRollout rollout(1);
    rollout.add({failing, {"plans", 0, 0}}, 300);
    CHECK(rollout.tally.isSound(EvidenceScope::All));
    FakeRollout alone(1);
    alone.add({failing}, 1000);
    CHECK_FALSE(alone.tally.isSound(EvidenceScope::All));
    CHECK_FALSE(alone.tally.isUnsound());
}

// Guards against a slower version whose failed answers count as ones that are not slower.
TEST_CASE("a route that always fails says nothing of the new version's speed", "[sound]")
{
    const FakeRoute slower{"plans", 0, 0, 0.1, 0.4};
    constexpr int kAnswers = 20;
    CHECK(soundShare({slower}, kAnswers) <= 0.1);
    CHECK(soundShare({{"short", 1, 1}, slower}, kAnswers) <= 0.1);
}

TEST_CASE("a version that fails on one of three routes is seldom sound", "[sound]")
{
    const std::vector<FakeRoute> routes{{"plans", 0, 0.3}, {"questions", 0, 0}, {"notes", 0, 0}};
    CHECK(soundShare(routes, 20) <= 0.1);
}

// Guards against a version that fails one kind of request and is completed as little has been seen
// of that kind.
TEST_CASE("a version is not sound while a route with much of the traffic does not speak for it",
          "[sound]")
{
    const std::vector<FakeRoute> routes{{"plans", 0, 0.2}, {"questions", 0, 0}, {"notes", 0, 0}};
    CHECK(soundShare(routes, 10) <= 0.2);
    CHECK(soundShare({{"plans", 0, 0}, {"questions", 0, 0}, {"notes", 0, 0}}, 10) == 1);
}

TEST_CASE("a version that turns bad is not sound any more after a few answers", "[sound]")
{
    constexpr int kRollouts = 200;
    int sound = 0;
    for (std::uint64_t seed = 0; seed < kRollouts; ++seed) {
        FakeRollout rollout(seed);
        rollout.add({{"plans", 0, 0}}, 100);
        CHECK(rollout.tally.isSound(EvidenceScope::All));
        rollout.add({{"plans", 0, 0.4}}, 12);
        sound += rollout.tally.isSound(EvidenceScope::All) ? 1 : 0;
    }
    CHECK(sound <= kRollouts / 10);
}

// Guards against a version that has just turned bad and looks sound to an instance that takes over
// as a collector: it gets the answers of before and after in one report.
TEST_CASE("good answers in the first report of a reporter are not followed", "[sound]")
{
    FakeRollout rollout(1);
    rollout.addAtOnce({{"plans", 0, 0}}, 100);
    CHECK(rollout.tally.isSound(EvidenceScope::All));
    CHECK_FALSE(rollout.tally.isSound(EvidenceScope::Followed));
    rollout.add({{"plans", 0, 0}}, 40);
    CHECK(rollout.tally.isSound(EvidenceScope::Followed));
}

TEST_CASE("a version that fails one in five requests is found unsound in the end", "[sound]")
{
    constexpr int kRollouts = 200;
    int unsound = 0;
    int falselyUnsound = 0;
    for (std::uint64_t seed = 0; seed < kRollouts; ++seed) {
        FakeRollout bad(seed);
        bad.add({{"plans", 0.1, 0.28}}, 150);
        unsound += bad.tally.isUnsound() ? 1 : 0;
        FakeRollout good(seed);
        good.add({{"plans", 0.1, 0.1}}, 150);
        falselyUnsound += good.tally.isUnsound() ? 1 : 0;
    }
    CHECK(unsound >= kRollouts * 8 / 10);
    CHECK(falselyUnsound <= kRollouts / 100);
}

// Guards against a version whose failures for one kind of request are outweighed by its good
// answers on the other routes, so that it is neither approved nor taken back.
TEST_CASE("a version that fails on one of four routes is found unsound in the end", "[sound]")
{
    constexpr int kRollouts = 200;
    constexpr int kAnswers = 100;
    const FakeRoute other{"other", 0.02, 0.02};
    const FakeRoute third{"third", 0.02, 0.02};
    const FakeRoute fourth{"fourth", 0.02, 0.02};
    int unsound = 0;
    int falselyUnsound = 0;
    for (std::uint64_t seed = 0; seed < kRollouts; ++seed) {
        FakeRollout bad(seed);
        bad.add({{"plans", 0.02, 0.25}, other, third, fourth}, kAnswers);
        unsound += bad.tally.isUnsound() ? 1 : 0;
        FakeRollout good(seed);
        good.add({{"plans", 0.02, 0.02}, other, third, fourth}, kAnswers);
        falselyUnsound += good.tally.isUnsound() ? 1 : 0;
    }
    CHECK(unsound >= kRollouts * 8 / 10);
    CHECK(falselyUnsound <= kRollouts / 100);
}

// Guards against a good version that is taken back as it fails on a route on which the old one
// fails as well.
TEST_CASE("a route that always fails does not take a good version back", "[sound]")
{
    FakeRollout rollout(1);
    CHECK_FALSE(rollout.add({{"short", 1, 1}, {"plans", 0, 0}}, 60));
}

// Guards against failures that are not seen among the usual ones of another route.
TEST_CASE("a failing version is found beside a route that always fails", "[sound]")
{
    constexpr int kRollouts = 100;
    int found = 0;
    for (std::uint64_t seed = 0; seed < kRollouts; ++seed) {
        found += FakeRollout(seed).add(
            {{"short", 1, 1}, {"plans", 0, 0.3}, {"notes", 0, 0.3}, {"questions", 0, 0.3}}, 18);
    }
    CHECK(found >= kRollouts * 9 / 10);
}
