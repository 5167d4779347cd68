// Tests of upstream selection when upstreams are full, crashed, failing or have a shared prompt
// cached.
#include <decision/UpstreamPicker.h>

#include <catch2/catch.hpp>

#include <set>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::vector<UpstreamRef> makeUpstreams(int count, int slots)
{
    std::vector<UpstreamRef> all;
    for (int number = 0; number < count; ++number) {
        UpstreamRecord record;
        record.id = "u" + std::to_string(number);
        record.service = "models";
        record.failureDomain = number % 2 == 0 ? "a" : "b";
        record.slots = slots;
        all.push_back(std::make_shared<const UpstreamRecord>(record));
    }
    return all;
}

struct PickerFixture
{
    ManualClock clock;
    EngineEstimates engineEstimates;
    std::vector<UpstreamRef> upstreams;
    UpstreamPicker picker;

    PickerFixture(int count, int slots)
        : engineEstimates{{{}, 1, this->clock}, {{}, this->clock}}
        , upstreams(makeUpstreams(count, slots))
        , picker({}, this->engineEstimates, this->clock, 1)
    { }

    PickQuery query() const
    {
        PickQuery made;
        made.candidates = this->upstreams;
        return made;
    }
};

} // namespace

TEST_CASE("a crashed upstream is paused, then probed with one request at a time")
{
    PickerFixture fixture(2, 4);
    const UpstreamRecord &crashed = *fixture.upstreams[0];
    fixture.picker.onSent(crashed, {});
    CHECK(fixture.picker.onEnded(crashed, AttemptResult::ConnectFailed));
    for (int count = 0; count < 20; ++count) {
        CHECK(fixture.picker.pick(fixture.query()).upstream->id == "u1");
    }
    fixture.clock.advance(milliseconds(500));
    std::set<std::string> picked;
    for (int count = 0; count < 50; ++count) {
        const UpstreamRef upstream = fixture.picker.pick(fixture.query()).upstream;
        if (picked.insert(upstream->id).second) {
            fixture.picker.onSent(*upstream, {});
        }
    }
    CHECK(picked.size() == 2);
    for (int count = 0; count < 20; ++count) {
        const UpstreamRef upstream = fixture.picker.pick(fixture.query()).upstream;
        CHECK((!upstream || upstream->id == "u1"));
    }
}

TEST_CASE("an upstream that fails half of its answers is paused, one that fails few is not")
{
    PickerFixture fixture(3, 8);
    const UpstreamRecord &failing = *fixture.upstreams[0];
    const UpstreamRecord &healthy = *fixture.upstreams[1];
    bool paused = false;
    for (int count = 0; count < 40; ++count) {
        fixture.picker.onSent(healthy, {});
        CHECK_FALSE(fixture.picker.onEnded(
            healthy, count % 7 == 0 ? AttemptResult::Failed : AttemptResult::Good));
    }
    for (int count = 0; count < 12; ++count) {
        fixture.picker.onSent(failing, {});
        paused |= fixture.picker.onEnded(
            failing, count % 3 == 0 ? AttemptResult::Good : AttemptResult::Failed);
    }
    CHECK(paused);
}

TEST_CASE("when all upstreams are unhealthy, one of them still gets the request")
{
    PickerFixture fixture(2, 4);
    for (const UpstreamRef &upstream : fixture.upstreams) {
        fixture.picker.onSent(*upstream, {});
        fixture.picker.onEnded(*upstream, AttemptResult::ConnectFailed);
    }
    CHECK(fixture.picker.pick(fixture.query()).upstream != nullptr);
}

TEST_CASE("full upstreams are reported differently from missing ones")
{
    PickerFixture fixture(1, 2);
    for (int count = 0; count < 2; ++count) {
        fixture.picker.onSent(*fixture.upstreams[0], {});
    }
    CHECK(fixture.picker.pick(fixture.query()).problem == PickProblem::AllFull);
    PickQuery none;
    CHECK(fixture.picker.pick(none).problem == PickProblem::NoUpstream);
    const std::vector<std::string> avoid{"u0"};
    PickQuery avoiding = fixture.query();
    avoiding.avoid = avoid;
    CHECK(fixture.picker.pick(avoiding).problem == PickProblem::NoUpstream);
}

TEST_CASE("requests that share a prompt go to its home engine until that is overloaded")
{
    PickerFixture fixture(9, 64);
    PickQuery query = fixture.query();
    query.isEngine = true;
    query.affinityKey = 77;
    query.ownWork = milliseconds(38);
    query.sharedWork = milliseconds(338);
    query.sharedTokens = 5400;
    std::set<std::string> homes;
    for (int count = 0; count < 40; ++count) {
        homes.insert(fixture.picker.pick(query).upstream->id);
    }
    CHECK(homes.size() == 1);
    for (const std::string &home : homes) {
        for (const UpstreamRef &upstream : fixture.upstreams) {
            if (upstream->id == home) {
                fixture.picker.onLoad(*upstream, {60, 100, 64});
            }
        }
    }
    CHECK(homes.count(fixture.picker.pick(query).upstream->id) == 0);
}

TEST_CASE("all instances agree on the home engine of a prompt")
{
    PickerFixture first(9, 64);
    PickerFixture second(9, 64);
    for (std::uint64_t key = 1; key < 30; ++key) {
        PickQuery query = first.query();
        query.isEngine = true;
        query.affinityKey = key;
        query.sharedWork = milliseconds(310);
        query.sharedTokens = 5000;
        std::set<std::string> homes;
        for (int count = 0; count < 30; ++count) {
            homes.insert(first.picker.pick(query).upstream->id);
            query.candidates = second.upstreams;
            homes.insert(second.picker.pick(query).upstream->id);
            query.candidates = first.upstreams;
        }
        CHECK(homes.size() == 1);
    }
}

// Guards against requests to an upstream that said in an answer that it leaves, also when no other
// upstream is left or its registration still says that it is ready.
TEST_CASE("an upstream that said it is leaving is not picked again until it has restarted")
{
    PickerFixture fixture(2, 4);
    fixture.picker.onLeaving(*fixture.upstreams[0]);
    for (int count = 0; count < 20; ++count) {
        CHECK(fixture.picker.pick(fixture.query()).upstream->id == "u1");
    }
    fixture.picker.onLeaving(*fixture.upstreams[1]);
    fixture.picker.retain(UpstreamList()); // The registrations lapse and come back.
    fixture.clock.advance(seconds(60));
    CHECK(fixture.picker.pick(fixture.query()).problem == PickProblem::NoUpstream);
    UpstreamRecord restarted = *fixture.upstreams[0];
    restarted.bornMs = 1;
    fixture.upstreams[0] = std::make_shared<const UpstreamRecord>(restarted);
    CHECK(fixture.picker.pick(fixture.query()).upstream->id == "u0");
}

// Guards against requests to an upstream within the pause that it asked for, also when all have.
TEST_CASE("an upstream that asked for a pause gets nothing until the pause is over")
{
    PickerFixture fixture(2, 4);
    fixture.picker.onPauseRequested(*fixture.upstreams[0], seconds(3));
    fixture.clock.advance(seconds(1));
    CHECK(fixture.picker.pick(fixture.query()).upstream->id == "u1");
    fixture.picker.onPauseRequested(*fixture.upstreams[1], seconds(10));
    fixture.picker.onPauseRequested(*fixture.upstreams[0], seconds(1)); // Does not shorten it.
    const Pick none = fixture.picker.pick(fixture.query());
    CHECK(none.problem == PickProblem::AllPaused);
    CHECK(none.pauseLeft == seconds(2));
    fixture.clock.advance(seconds(2));
    CHECK(fixture.picker.pick(fixture.query()).upstream->id == "u0");
    fixture.picker.onLeaving(*fixture.upstreams[0]);
    CHECK(fixture.picker.pick(fixture.query()).pauseLeft == seconds(8));
}

TEST_CASE("a pause has a bound, so that a faulty upstream comes back")
{
    PickerFixture fixture(1, 4);
    fixture.picker.onPauseRequested(*fixture.upstreams[0], std::chrono::hours(1000));
    fixture.clock.advance(UpstreamNotices::kMaxPause);
    CHECK(fixture.picker.pick(fixture.query()).upstream);
}

// Guards against prompts that are fetched from an upstream which exits or has failed the request.
TEST_CASE("no prompt is fetched from an upstream that must not get the request")
{
    PickerFixture fixture(9, 64);
    PickQuery query = fixture.query();
    query.isEngine = true;
    query.affinityKey = 77;
    query.ownWork = milliseconds(38);
    query.sharedWork = milliseconds(338);
    query.sharedTokens = 5400;
    const UpstreamRef holder = fixture.picker.pick(query).upstream;
    fixture.engineEstimates.cachedPrompts.onPrefilled({77, PrefillBacklog::engineKey(*holder)});
    fixture.picker.onLoad(*holder, {60, 100, 64});
    REQUIRE(fixture.picker.pick(query).fetchFrom == holder);
    query.avoid = std::span(&holder->id, 1);
    CHECK_FALSE(fixture.picker.pick(query).fetchFrom);
    query.avoid = {};
    SECTION("it is leaving")
    {
        fixture.picker.onLeaving(*holder);
        CHECK_FALSE(fixture.picker.pick(query).fetchFrom);
    }
    SECTION("it has asked for a pause")
    {
        fixture.picker.onPauseRequested(*holder, seconds(2));
        CHECK_FALSE(fixture.picker.pick(query).fetchFrom);
        fixture.clock.advance(seconds(2));
        fixture.picker.onLoad(*holder, {60, 100, 64});
        CHECK(fixture.picker.pick(query).fetchFrom == holder);
    }
}

TEST_CASE("a cold upstream gets its share; when all are cold, the wait for the next one is told")
{
    PickerFixture fixture(2, 40);
    WarmupLimiter warmup({.instance = "one", .overrun = 1, .slack = 0}, fixture.clock);
    UpstreamPicker picker({}, fixture.engineEstimates, fixture.clock, 1, &warmup);
    warmup.setRates({{"models", {8, seconds(3)}}});
    fixture.clock.advance(seconds(10));
    for (UpstreamRef &upstream : fixture.upstreams) {
        UpstreamRecord record = *upstream;
        record.coldLeft = seconds(3);
        record.heardAt = fixture.clock.now();
        upstream = std::make_shared<const UpstreamRecord>(std::move(record));
    }
    warmup.setUpstreams(UpstreamList(fixture.upstreams));
    constexpr int kSharesOfBoth = 8; // Half of the rate of each.
    for (int count = 0; count < kSharesOfBoth; ++count) {
        const Pick pick = picker.pick(fixture.query());
        REQUIRE(pick.upstream);
        picker.onSent(*pick.upstream, {});
        CHECK(warmup.trySend(*pick.upstream));
    }
    const Pick none = picker.pick(fixture.query());
    CHECK(none.problem == PickProblem::AllPaused);
    CHECK(none.pauseLeft > Duration::zero());
    CHECK(none.pauseLeft <= WarmupOptions().window);
    fixture.clock.advance(none.pauseLeft);
    CHECK(picker.pick(fixture.query()).upstream);
    fixture.clock.advance(seconds(3));
    for (int count = 0; count < 20; ++count) { // Warm.
        const Pick pick = picker.pick(fixture.query());
        REQUIRE(pick.upstream);
        picker.onSent(*pick.upstream, {});
    }
}

TEST_CASE("an upstream that fails for other instances or answers none of them is avoided")
{
    PickerFixture fixture(3, 8);
    PickQuery query = fixture.query();
    query.liveInstances = 9;
    LoadEstimate &load = fixture.engineEstimates.load;
    const auto picksOf = [&](const std::string &id) {
        int count = 0;
        for (int number = 0; number < 60; ++number) {
            count += fixture.picker.pick(query).upstream->id == id ? 1 : 0;
        }
        return count;
    };
    const auto answerAll = [&](int except) {
        for (int number = 0; number < 3; ++number) {
            if (number != except) {
                fixture.picker.onLoad(*fixture.upstreams[static_cast<std::size_t>(number)],
                                      {1, 0, 8, {}});
            }
        }
    };
    answerAll(-1);
    CHECK(picksOf("u0") > 0);
    const std::uint32_t failing = PrefillBacklog::engineKey(*fixture.upstreams[0]);
    load.onOtherEnded({2, failing, 0, 0, 2});
    load.onOtherEnded({3, failing, 0, 0, 2});
    CHECK(picksOf("u0") == 0);
    const std::uint32_t silent = PrefillBacklog::engineKey(*fixture.upstreams[1]);
    fixture.clock.advance(milliseconds(100));
    for (int count = 0; count < 3; ++count) {
        load.onOtherSent(silent);
    }
    fixture.clock.advance(seconds(4));
    answerAll(1);
    CHECK(picksOf("u1") == 0);
    CHECK(picksOf("u2") > 0);
}
