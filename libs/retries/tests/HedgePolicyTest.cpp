// Tests of the decision on second sends of slow requests. Each test names its load.
#include <retries/HedgePolicy.h>

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kRoute[] = "reads";
constexpr double kExtraShare = 0.05;
constexpr Duration kUsual = milliseconds(40);
constexpr Duration kSlow = milliseconds(400);

HedgeOptions makeOptions()
{
    HedgeOptions options;
    options.extraShare = kExtraShare;
    return options;
}

HedgeQuery makeQuery()
{
    HedgeQuery query;
    query.route = kRoute;
    query.mayRunAgain = true;
    query.hasAttemptLeft = true;
    query.timeLeft = seconds(1);
    return query;
}

/// Sends requests to `upstreams` in turn; those before `slowUpstreams` answer slowly.
struct Fleet
{
    explicit Fleet(int upstreams, HedgeOptions options = makeOptions())
        : upstreams(upstreams)
        , policy(options, this->clock)
    { }

    /// Hedges that are sent for `requests`.
    int run(int requests)
    {
        int hedges = 0;
        for (int number = 0; number < requests; ++number) {
            const int upstream = number % this->upstreams;
            const bool isSlow = upstream < this->slowUpstreams;
            std::uniform_real_distribution<double> any(0.5, 1.5);
            const Duration took =
                isSlow ? kSlow : fromSeconds(toSeconds(kUsual) * any(this->random));
            this->clock.advance(milliseconds(10));
            this->policy.onFirstSend();
            const std::optional<Duration> late = this->policy.delay(kRoute);
            const bool isHedged =
                late && took > *late && this->policy.decide(makeQuery()) == HedgeDecision::Send;
            hedges += isHedged ? 1 : 0;
            // A hedge answers in the usual time, and the first send is withdrawn then.
            const Duration withdrawnAfter = late.value_or(Duration()) + kUsual;
            this->policy.onFirstAnswer(kRoute, std::to_string(upstream),
                                       isHedged ? std::min(took, withdrawnAfter) : took);
        }
        return hedges;
    }

    const int upstreams;
    int slowUpstreams = 0;
    std::mt19937 random{1};
    ManualClock clock;
    HedgePolicy policy;
};

} // namespace

// Load: requests of usual speed. Few are beyond the quantile, and the share bounds them.
TEST_CASE("hedges stay within the operator's share")
{
    Fleet fleet(10);
    constexpr int kRequests = 2000;
    CHECK(fleet.run(kRequests) <= kExtraShare * kRequests + HedgePolicy::kMaxSaved);
}

// Load: one upstream of many slows by ten.
TEST_CASE("requests at one slow upstream of many are hedged")
{
    Fleet fleet(40);
    fleet.run(400);
    fleet.slowUpstreams = 1;
    constexpr int kRequests = 400;
    const int slow = kRequests / fleet.upstreams;
    CHECK(fleet.run(kRequests) >= slow * 8 / 10);
}

// Load: all upstreams slow by ten in the middle of a burst. A hedge must not add load.
TEST_CASE("when all upstreams are slow, hedges end")
{
    Fleet fleet(10);
    fleet.run(400);
    fleet.slowUpstreams = fleet.upstreams;
    const int first = fleet.run(40); // Until it shows.
    CHECK(first <= kExtraShare * 40 + HedgePolicy::kMaxSaved);
    CHECK(fleet.run(400) == 0);
}

// Load: one upstream of three hangs: a third of all requests is late, but not everywhere.
TEST_CASE("an upstream that hangs is no reason to send no hedges")
{
    Fleet fleet(3);
    fleet.run(300);
    fleet.slowUpstreams = 1;
    fleet.run(60);
    CHECK(fleet.run(600) >= kExtraShare * 600 / 2);
}

// Load: the share is used up; later first sends earn the next hedge.
TEST_CASE("no hedge is sent beyond the share, and saved ones are few")
{
    Fleet fleet(10);
    fleet.run(10'000); // Saves up more than is kept.
    int sent = 0;
    while (fleet.policy.decide(makeQuery()) == HedgeDecision::Send) {
        ++sent;
    }
    CHECK(sent <= HedgePolicy::kMaxSaved);
    CHECK(fleet.policy.decide(makeQuery()) == HedgeDecision::OverShare);
    for (int count = 0; count < 20; ++count) {
        fleet.policy.onFirstSend();
    }
    CHECK(fleet.policy.decide(makeQuery()) == HedgeDecision::Send);
}

// Load: requests that must not run twice, and times at which a second send harms others.
TEST_CASE("a hedge needs a repeatable request, room, time and no suspicion")
{
    Fleet fleet(10);
    fleet.run(400);
    const auto decideWith = [&](auto change) {
        HedgeQuery query = makeQuery();
        change(query);
        return fleet.policy.decide(query);
    };
    CHECK(decideWith([](auto &query) { query.mayRunAgain = false; })
          == HedgeDecision::NotRepeatable);
    CHECK(decideWith([](auto &query) { query.hasAttemptLeft = false; })
          == HedgeDecision::NotRepeatable);
    CHECK(decideWith([](auto &query) { query.hasBegun = true; }) == HedgeDecision::Begun);
    CHECK(decideWith([](auto &query) { query.isSuspect = true; }) == HedgeDecision::Suspect);
    CHECK(decideWith([](auto &query) { query.isRoomShort = true; }) == HedgeDecision::RoomShort);
    CHECK(decideWith([](auto &query) { query.timeLeft = milliseconds(1); })
          == HedgeDecision::TooLate);
    CHECK(decideWith([](auto &query) { query.route = "never seen"; }) == HedgeDecision::Off);
    CHECK(decideWith([](auto &) {}) == HedgeDecision::Send);
}

// Guards against hedges without the operator's word.
TEST_CASE("without a share there is no delay and no hedge")
{
    Fleet fleet(10, {});
    CHECK(fleet.run(400) == 0);
    CHECK_FALSE(fleet.policy.delay(kRoute));
}

// Load: an instance of ninety, which sees a few answers of a route only.
TEST_CASE("answers that other instances have seen make the quantile known")
{
    Fleet fleet(10);
    fleet.run(2);
    CHECK_FALSE(fleet.policy.delay(kRoute));
    for (int count = 0; count < 40; ++count) {
        fleet.policy.onPeerAnswer(kRoute, AnswerTimes::bucketOf(kUsual));
    }
    REQUIRE(fleet.policy.delay(kRoute));
    CHECK(*fleet.policy.delay(kRoute) >= kUsual);
    CHECK(*fleet.policy.delay(kRoute) < 2 * kUsual);
}

// Guards against times that no bucket has.
TEST_CASE("any answer time has a bucket, and old answers are forgotten")
{
    CHECK(AnswerTimes::bucketOf(Duration(-1)) == 0);
    CHECK(AnswerTimes::bucketOf(Duration::max()) > AnswerTimes::bucketOf(seconds(100)));
    AnswerTimes times{seconds(10)};
    ManualClock clock;
    times.add(AnswerTimes::bucketOf(seconds(5)), clock.now());
    clock.advance(seconds(25));
    times.add(AnswerTimes::bucketOf(kUsual), clock.now());
    CHECK(*times.quantile(1, 1) < 2 * kUsual);
}
