// Where requests go when upstreams are full, crashed, failing, or hold a shared prompt; and how
// many repeats a bad time may cause.
#include <decision/SlidingWindowRetryBudget.h>
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

struct PickerWorld
{
    ManualClock clock;
    EngineEstimates engineEstimates;
    std::vector<UpstreamRef> upstreams;
    UpstreamPicker picker;

    PickerWorld(int count, int slots)
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

TEST_CASE("a crashed upstream gets nothing for a while, then one trial at a time")
{
    PickerWorld world(2, 4);
    const UpstreamRecord &crashed = *world.upstreams[0];
    world.picker.onSent(crashed, {});
    CHECK(world.picker.onEnded(crashed, AttemptResult::ConnectFailed));
    for (int count = 0; count < 20; ++count) {
        CHECK(world.picker.pick(world.query()).upstream->id == "u1");
    }
    world.clock.advance(milliseconds(500));
    std::set<std::string> picked;
    for (int count = 0; count < 50; ++count) {
        const UpstreamRef upstream = world.picker.pick(world.query()).upstream;
        if (picked.insert(upstream->id).second) {
            world.picker.onSent(*upstream, {});
        }
    }
    CHECK(picked.size() == 2);
    for (int count = 0; count < 20; ++count) {
        const UpstreamRef upstream = world.picker.pick(world.query()).upstream;
        CHECK((!upstream || upstream->id == "u1"));
    }
}

TEST_CASE("an upstream that fails half of its answers is left out, one that fails few is not")
{
    PickerWorld world(3, 8);
    const UpstreamRecord &grey = *world.upstreams[0];
    const UpstreamRecord &usual = *world.upstreams[1];
    bool paused = false;
    for (int count = 0; count < 40; ++count) {
        world.picker.onSent(usual, {});
        CHECK_FALSE(world.picker.onEnded(
            usual, count % 7 == 0 ? AttemptResult::Failed : AttemptResult::Good));
    }
    for (int count = 0; count < 12; ++count) {
        world.picker.onSent(grey, {});
        paused |= world.picker.onEnded(
            grey, count % 3 == 0 ? AttemptResult::Good : AttemptResult::Failed);
    }
    CHECK(paused);
}

TEST_CASE("when all upstreams look sick, work still goes to one of them")
{
    PickerWorld world(2, 4);
    for (const UpstreamRef &upstream : world.upstreams) {
        world.picker.onSent(*upstream, {});
        world.picker.onEnded(*upstream, AttemptResult::ConnectFailed);
    }
    CHECK(world.picker.pick(world.query()).upstream != nullptr);
}

TEST_CASE("full upstreams are told apart from missing ones")
{
    PickerWorld world(1, 2);
    for (int count = 0; count < 2; ++count) {
        world.picker.onSent(*world.upstreams[0], {});
    }
    CHECK(world.picker.pick(world.query()).problem == PickProblem::AllFull);
    PickQuery none;
    CHECK(world.picker.pick(none).problem == PickProblem::NoUpstream);
    const std::vector<std::string> avoid{"u0"};
    PickQuery avoiding = world.query();
    avoiding.avoid = avoid;
    CHECK(world.picker.pick(avoiding).problem == PickProblem::NoUpstream);
}

TEST_CASE("requests that share a prompt stay at its home until that is behind")
{
    PickerWorld world(9, 64);
    PickQuery query = world.query();
    query.isEngine = true;
    query.affinityKey = 77;
    query.ownWork = milliseconds(38);
    query.sharedWork = milliseconds(338);
    query.sharedTokens = 5400;
    std::set<std::string> homes;
    for (int count = 0; count < 40; ++count) {
        homes.insert(world.picker.pick(query).upstream->id);
    }
    CHECK(homes.size() == 1);
    for (const std::string &home : homes) {
        for (const UpstreamRef &upstream : world.upstreams) {
            if (upstream->id == home) {
                world.picker.onLoad(*upstream, {60, 100, 64});
            }
        }
    }
    CHECK(homes.count(world.picker.pick(query).upstream->id) == 0);
}

TEST_CASE("all instances agree on the home of a prompt")
{
    PickerWorld first(9, 64);
    PickerWorld second(9, 64);
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

TEST_CASE("repeats stay within the ratio and the share of the slack of this instance")
{
    ManualClock clock;
    SlidingWindowRetryOptions options;
    options.ratio = 0.5;
    options.slack = 20;
    options.reserve = 1;
    SlidingWindowRetryBudget window(options, clock);
    for (int count = 0; count < 20; ++count) {
        window.onFirstAttempt();
    }
    int taken = 0;
    while (window.tryAcquire(10)) {
        ++taken;
    }
    CHECK(taken == 12); // 0.5 * 20 + 20 / 10
    clock.advance(seconds(11));
    CHECK(window.tryAcquire(10)); // The old ones no longer count; the slack is there again.
}
