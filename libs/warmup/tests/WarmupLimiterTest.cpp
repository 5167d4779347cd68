// Load that is answered: a failure domain whose upstreams return cold, together, during a burst, at
// a fleet of 91 instances that want to send far more than the upstreams stand.
#include <warmup/WarmupLimiter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <memory>
#include <random>
#include <set>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kInstances = 91;
constexpr double kPerSecond = 8.9;
constexpr Duration kColdStart = seconds(3);
constexpr Duration kMaxTransit = milliseconds(20); ///< From the decision to the arrival.

double bound(double perSecond)
{
    return perSecond * WarmupOptions().overrun + WarmupOptions().slack;
}

UpstreamRef cold(const std::string &id, TimePoint heardAt, std::optional<Duration> left,
                 std::int64_t bornMs = 1)
{
    UpstreamRecord record;
    record.id = id;
    record.service = "models";
    record.failureDomain = "north";
    record.bornMs = bornMs;
    record.coldLeft = left;
    record.heardAt = heardAt;
    return std::make_shared<const UpstreamRecord>(std::move(record));
}

std::string name(int instance)
{
    return "edge-" + std::to_string(instance);
}

std::vector<std::string> names(int first, int count)
{
    std::vector<std::string> all;
    for (int instance = first; instance < first + count; ++instance) {
        all.push_back(name(instance));
    }
    return all;
}

/// Instances of which each has a limiter, and one service.
struct Fleet
{
    explicit Fleet(int instances, double perSecond = kPerSecond)
    {
        for (int instance = 0; instance < instances; ++instance) {
            this->limiters.push_back(std::make_unique<WarmupLimiter>(
                WarmupOptions{.instance = name(instance)}, this->clock));
            this->limiters.back()->setRates({{"models", {perSecond, kColdStart}}});
            this->limiters.back()->setMembers(names(0, instances));
        }
        this->clock.advance(seconds(10));
    }

    void setUpstreams(const std::vector<UpstreamRef> &upstreams, const DomainNames &out = {})
    {
        for (const auto &limiter : this->limiters) {
            limiter->setUpstreams(UpstreamList(upstreams, out));
        }
    }

    /// All instances but `dead` send as much as they may for `duration`. Returns the most arrivals
    /// at one upstream in any second.
    std::size_t flood(const std::vector<UpstreamRef> &upstreams, Duration duration,
                      const std::set<int> &dead = {})
    {
        std::map<std::string, std::multiset<TimePoint>> arrivals;
        std::uniform_int_distribution<std::int64_t> transit(0, kMaxTransit / milliseconds(1));
        constexpr Duration kStep = milliseconds(20);
        for (Duration passed{}; passed < duration; passed += kStep) {
            for (std::size_t instance = 0; instance < this->limiters.size(); ++instance) {
                for (const UpstreamRef &upstream : upstreams) {
                    WarmupLimiter &limiter = *this->limiters[instance];
                    if (dead.contains(static_cast<int>(instance)) || !limiter.isCold(*upstream)
                        || !limiter.mayAssign(*upstream)) {
                        continue;
                    }
                    limiter.onAssigned(*upstream);
                    if (limiter.trySend(*upstream)) {
                        arrivals[upstream->id].insert(this->clock.now()
                                                      + milliseconds(transit(this->random)));
                    }
                }
            }
            this->clock.advance(kStep);
        }
        std::size_t most = 0;
        for (const auto &[id, times] : arrivals) {
            this->total += times.size();
            for (auto first = times.begin(); first != times.end(); ++first) {
                const auto end = times.lower_bound(*first + seconds(1));
                most = std::max(most, static_cast<std::size_t>(std::distance(first, end)));
            }
        }
        return most;
    }

    ManualClock clock;
    std::mt19937_64 random{1};
    std::vector<std::unique_ptr<WarmupLimiter>> limiters;
    std::size_t total = 0; ///< Requests that upstreams have got.
};

std::vector<UpstreamRef> domainOf(int count, TimePoint heardAt)
{
    std::vector<UpstreamRef> all;
    for (int number = 0; number < count; ++number) {
        all.push_back(cold("u" + std::to_string(number), heardAt, kColdStart));
    }
    return all;
}

} // namespace

TEST_CASE("a failure domain that returns cold in a burst warms up within its bound")
{
    Fleet fleet(kInstances);
    const std::vector<UpstreamRef> upstreams = domainOf(20, fleet.clock.now());
    fleet.setUpstreams(upstreams);
    CHECK(static_cast<double>(fleet.flood(upstreams, kColdStart)) <= bound(kPerSecond));
    // Warming up is not being avoided: most of the rate is used.
    const double rate = static_cast<double>(fleet.total) / 20 / 3;
    CHECK(rate >= 0.8 * kPerSecond);
    // Afterwards nothing is limited.
    CHECK(std::all_of(fleet.limiters.begin(), fleet.limiters.end(), [&](const auto &limiter) {
        return limiter->mayAssign(*upstreams.front()) && limiter->coldCount() == 0;
    }));
}

TEST_CASE("two halves that can't talk, and know different instances, stay within the bound")
{
    Fleet fleet(kInstances);
    // Each half has learned of instances that the other has not.
    for (int instance = 0; instance < kInstances; ++instance) {
        const bool isLeft = instance < kInstances / 2;
        fleet.limiters[instance]->setMembers(isLeft ? names(0, kInstances / 2)
                                                    : names(kInstances / 2, kInstances));
    }
    const std::vector<UpstreamRef> upstreams = domainOf(20, fleet.clock.now());
    fleet.setUpstreams(upstreams);
    CHECK(static_cast<double>(fleet.flood(upstreams, kColdStart)) <= bound(kPerSecond));
}

TEST_CASE("when instances with the right to send die, the others keep to theirs")
{
    Fleet fleet(kInstances);
    const std::vector<UpstreamRef> upstreams = domainOf(20, fleet.clock.now());
    fleet.setUpstreams(upstreams);
    std::set<int> dead;
    for (int instance = 0; instance < kInstances; instance += 3) {
        dead.insert(instance);
    }
    CHECK(static_cast<double>(fleet.flood(upstreams, kColdStart, dead)) <= bound(kPerSecond));
    const double rate = static_cast<double>(fleet.total) / 20 / 3;
    CHECK(rate >= 0.4 * kPerSecond); // What the dead would have sent is idle.
    // Once they have left, the rest is divided anew.
    fleet.clock.advance(seconds(2));
    std::vector<std::string> left;
    for (int instance = 0; instance < kInstances; ++instance) {
        if (!dead.contains(instance)) {
            left.push_back(name(instance));
        }
    }
    for (const auto &limiter : fleet.limiters) {
        limiter->setMembers(left);
    }
    const std::vector<UpstreamRef> again = domainOf(20, fleet.clock.now());
    fleet.setUpstreams(again);
    fleet.total = 0;
    CHECK(static_cast<double>(fleet.flood(again, kColdStart, dead)) <= bound(kPerSecond));
    CHECK(static_cast<double>(fleet.total) / 20 / 3 >= 0.8 * kPerSecond);
}

TEST_CASE("a fleet of any size divides the whole bound of one view and no more")
{
    for (const int instances : {1, 2, 5, 9, 30}) {
        for (const double perSecond : {0.5, 3.0, 8.9, 100.0}) {
            CAPTURE(instances, perSecond);
            Fleet fleet(instances, perSecond);
            const std::vector<UpstreamRef> upstreams = domainOf(2, fleet.clock.now());
            fleet.setUpstreams(upstreams);
            CHECK(static_cast<double>(fleet.flood(upstreams, kColdStart)) <= bound(perSecond));
            CHECK(fleet.total > 0);
        }
    }
}

TEST_CASE("an upstream that restarts or becomes cold again is limited, until it says otherwise")
{
    Fleet fleet(1);
    WarmupLimiter &limiter = *fleet.limiters.front();
    const auto set = [&](std::optional<Duration> left, std::int64_t born) {
        const UpstreamRef upstream = cold("u", fleet.clock.now(), left, born);
        limiter.setUpstreams(UpstreamList({upstream}));
        return upstream;
    };
    CHECK_FALSE(limiter.isCold(*set(Duration::zero(), 1)));
    CHECK(limiter.isCold(*set(seconds(2), 1))); // Again, without a restart.
    fleet.clock.advance(seconds(1));
    CHECK_FALSE(limiter.isCold(*set(Duration::zero(), 1)));
    CHECK(limiter.isCold(*set(std::nullopt, 2))); // Restarted, and does not say.
    fleet.clock.advance(kColdStart);
    const UpstreamRef warm = set(std::nullopt, 2);
    CHECK_FALSE(limiter.isCold(*warm));
    // It refuses a connection: it may have restarted before its registration says so.
    limiter.onConnectFailed(*warm);
    CHECK(limiter.isCold(*warm));
    CHECK_FALSE(limiter.isCold(*set(Duration::zero(), 3)));
}

TEST_CASE("upstreams of a failure domain that comes back into service count as cold for a while")
{
    Fleet fleet(1);
    const std::vector<UpstreamRef> upstreams{cold("u", fleet.clock.now(), Duration::zero())};
    fleet.setUpstreams(upstreams);
    CHECK_FALSE(fleet.limiters.front()->isCold(*upstreams.front()));
    fleet.setUpstreams(upstreams, {"north"});
    fleet.clock.advance(seconds(8));
    fleet.setUpstreams(upstreams);
    CHECK(fleet.limiters.front()->isCold(*upstreams.front()));
    fleet.clock.advance(kColdStart);
    CHECK_FALSE(fleet.limiters.front()->isCold(*upstreams.front()));
}

TEST_CASE("requests assigned before an upstream was known to be cold keep to the limit")
{
    Fleet fleet(1);
    WarmupLimiter &limiter = *fleet.limiters.front();
    const UpstreamRef warm = cold("u", fleet.clock.now(), Duration::zero());
    limiter.setUpstreams(UpstreamList({warm}));
    constexpr int kAssigned = 50; // Their connections are being opened.
    for (int number = 0; number < kAssigned; ++number) {
        limiter.onAssigned(*warm);
    }
    limiter.setUpstreams(UpstreamList({cold("u", fleet.clock.now(), kColdStart)}));
    int sent = 0;
    for (int number = 0; number < kAssigned; ++number) {
        sent += limiter.trySend(*warm) ? 1 : 0;
    }
    CHECK(sent > 0);
    CHECK(sent <= bound(kPerSecond));
    CHECK(limiter.refusedSends() == kAssigned - sent);
    for (int number = sent; number < kAssigned; ++number) {
        limiter.onReleased(*warm);
    }
    CHECK_FALSE(limiter.mayAssign(*warm));
    const Duration wait = limiter.waitTime(*warm);
    CHECK(wait > Duration::zero());
    CHECK(wait <= kColdStart);
    fleet.clock.advance(wait);
    CHECK(limiter.mayAssign(*warm));
}

TEST_CASE("an instance that has just started sends nothing to cold upstreams")
{
    ManualClock clock;
    WarmupLimiter limiter({.instance = "one"}, clock);
    limiter.setRates({{"models", {kPerSecond, kColdStart}}});
    const UpstreamRef upstream = cold("u", clock.now(), seconds(60));
    limiter.setUpstreams(UpstreamList({upstream}));
    CHECK_FALSE(limiter.mayAssign(*upstream));
    clock.advance(WarmupOptions().settleTime);
    CHECK(limiter.mayAssign(*upstream));
}

TEST_CASE("odd rates and cold times limit nothing for good")
{
    ManualClock clock;
    for (const double perSecond : {-1.0, 0.0, 1e300, std::numeric_limits<double>::quiet_NaN()}) {
        CAPTURE(perSecond);
        WarmupLimiter limiter({.instance = "one"}, clock);
        limiter.setRates({{"models", {perSecond, kColdStart}}});
        clock.advance(seconds(10));
        const UpstreamRef upstream = cold("u", clock.now(), kColdStart);
        limiter.setUpstreams(UpstreamList({upstream}));
        CHECK(limiter.mayAssign(*upstream));
    }
}
