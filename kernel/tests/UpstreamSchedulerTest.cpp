// Requests that wait for a place while what they may use changes.
#include "relay/UpstreamScheduler.h"

#include <InFiber.h>
#include <runtime/FiberRuntime.h>

#include <catch2/catch.hpp>

#include <set>

using namespace basilnotch;
using basilnotch::testing::inFiber;

namespace {

UpstreamRef upstream(const std::string &id, const std::string &version)
{
    auto made = std::make_shared<UpstreamRecord>();
    made->id = id;
    made->service = "models";
    made->softwareVersion = version;
    made->slots = 1;
    return made;
}

/// A desk with what it needs, on a paused clock.
struct Desk
{
    ManualClock clock;
    EngineEstimates engineEstimates{{{}, 1, this->clock}, {{}, this->clock}};
    UpstreamScheduler desk{
        {}, this->engineEstimates, this->clock, 1, {[] {}, [](const PromptCacheUpdate &) {}}};
    VersionFilter versions;

    void setUpstreams(std::vector<UpstreamRef> list)
    {
        this->desk.setUpstreams(std::make_shared<const UpstreamList>(std::move(list)), 1);
    }

    UpstreamRequirements want()
    {
        UpstreamRequirements want;
        want.service = "models";
        want.versions = [this] { return this->versions; };
        return want;
    }
};

} // namespace

TEST_CASE("a request that waited since before a roll-out gets nothing of the new version")
{
    inFiber([](FiberRuntime &runtime) {
        Desk world;
        world.setUpstreams({upstream("old", "v1")});
        FiberEvent cancelled;
        AcquireResult first = world.desk.acquire(world.want(), seconds(1), cancelled);
        REQUIRE(first.lease);
        std::string given;
        bool ended = false;
        runtime.spawn([&] {
            const UpstreamRequirements want = world.want();
            const AcquireResult waited = world.desk.acquire(want, seconds(1), cancelled);
            given = waited.lease ? waited.lease->upstream().id : "nothing";
            ended = true;
        });
        runtime.sleepFor(milliseconds(5));
        world.versions.closed = {"v2"}; // Ordered after the request came.
        world.setUpstreams({upstream("old", "v1"), upstream("new", "v2")});
        runtime.sleepFor(milliseconds(5));
        CHECK_FALSE(ended);
        first.lease.reset();
        runtime.sleepFor(milliseconds(5));
        CHECK(ended);
        CHECK(given == "old");
    });
}

TEST_CASE("while the share of a new version is small, few of its upstreams get it")
{
    inFiber([](FiberRuntime &) {
        Desk world;
        std::vector<UpstreamRef> list;
        for (int number = 0; number < 20; ++number) {
            list.push_back(upstream("old" + std::to_string(number), "v1"));
            list.push_back(upstream("new" + std::to_string(number), "v2"));
        }
        world.setUpstreams(list);
        world.versions.only = "v2";
        world.versions.share = 0.1;
        world.versions.order = 5;
        FiberEvent cancelled;
        std::set<std::string> used;
        for (int number = 0; number < 50; ++number) {
            const AcquireResult acquired = world.desk.acquire(world.want(), seconds(1), cancelled);
            REQUIRE(acquired.lease);
            CHECK(acquired.lease->upstream().softwareVersion == "v2");
            used.insert(acquired.lease->upstream().id);
        }
        CHECK(used.size() == 2);
        // When these are full, the request does not wait beside idle ones.
        const AcquireResult one = world.desk.acquire(world.want(), seconds(1), cancelled);
        const AcquireResult two = world.desk.acquire(world.want(), seconds(1), cancelled);
        const AcquireResult third = world.desk.acquire(world.want(), seconds(1), cancelled);
        REQUIRE(third.lease);
        CHECK_FALSE(used.contains(third.lease->upstream().id));
    });
}
