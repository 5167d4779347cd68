// Tests which upstreams requests get while a roll-out changes the versions that they may use.
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
    auto record = std::make_shared<UpstreamRecord>();
    record->id = id;
    record->service = "models";
    record->softwareVersion = version;
    record->slots = 1;
    return record;
}

/// A scheduler with its dependencies, on a paused clock.
struct SchedulerFixture
{
    ManualClock clock;
    EngineEstimates engineEstimates{{{}, 1, this->clock}, {{}, this->clock}};
    UpstreamScheduler scheduler{{},
                                this->engineEstimates,
                                this->clock,
                                1,
                                {[] {}, [] {}, [](const PromptCacheUpdate &) {}}};
    VersionFilter versions;

    void setUpstreams(std::vector<UpstreamRef> list)
    {
        this->scheduler.setUpstreams(std::make_shared<const UpstreamList>(std::move(list)), 1);
    }

    UpstreamRequirements requirements()
    {
        UpstreamRequirements requirements;
        requirements.service = "models";
        requirements.versions = [this] { return this->versions; };
        return requirements;
    }
};

} // namespace

TEST_CASE("a request queued before a roll-out is not assigned to the new version")
{
    inFiber([](FiberRuntime &runtime) {
        SchedulerFixture fixture;
        fixture.setUpstreams({upstream("old", "v1")});
        FiberEvent cancelled;
        AcquireResult first =
            fixture.scheduler.acquire(fixture.requirements(), seconds(1), cancelled);
        REQUIRE(first.lease);
        std::string assignedId;
        bool ended = false;
        runtime.spawn([&] {
            const UpstreamRequirements requirements = fixture.requirements();
            const AcquireResult waited =
                fixture.scheduler.acquire(requirements, seconds(1), cancelled);
            assignedId = waited.lease ? waited.lease->upstream().id : "nothing";
            ended = true;
        });
        runtime.sleepFor(milliseconds(5));
        // The roll-out is ordered after the request has been queued.
        fixture.versions.excludedVersions = {"v2"};
        fixture.setUpstreams({upstream("old", "v1"), upstream("new", "v2")});
        runtime.sleepFor(milliseconds(5));
        CHECK_FALSE(ended);
        first.lease.reset();
        runtime.sleepFor(milliseconds(5));
        CHECK(ended);
        CHECK(assignedId == "old");
    });
}

TEST_CASE("a small share of a new version is served by few of its upstreams")
{
    inFiber([](FiberRuntime &) {
        SchedulerFixture fixture;
        std::vector<UpstreamRef> list;
        for (int number = 0; number < 20; ++number) {
            list.push_back(upstream("old" + std::to_string(number), "v1"));
            list.push_back(upstream("new" + std::to_string(number), "v2"));
        }
        fixture.setUpstreams(list);
        fixture.versions.onlyVersion = "v2";
        fixture.versions.share = 0.1;
        fixture.versions.rolloutOrder = 5;
        FiberEvent cancelled;
        std::set<std::string> used;
        for (int number = 0; number < 50; ++number) {
            const AcquireResult acquired =
                fixture.scheduler.acquire(fixture.requirements(), seconds(1), cancelled);
            REQUIRE(acquired.lease);
            CHECK(acquired.lease->upstream().softwareVersion == "v2");
            used.insert(acquired.lease->upstream().id);
        }
        CHECK(used.size() == 2);
        // When the canaries are full, the request uses another upstream of the new version instead
        // of waiting.
        const AcquireResult one =
            fixture.scheduler.acquire(fixture.requirements(), seconds(1), cancelled);
        const AcquireResult two =
            fixture.scheduler.acquire(fixture.requirements(), seconds(1), cancelled);
        const AcquireResult third =
            fixture.scheduler.acquire(fixture.requirements(), seconds(1), cancelled);
        REQUIRE(third.lease);
        CHECK_FALSE(used.contains(third.lease->upstream().id));
    });
}

// Guards against an instance that falls behind because each freed slot costs a full pick for each
// waiting request.
TEST_CASE("a freed slot costs few picks, however many requests wait for one")
{
    inFiber([](FiberRuntime &runtime) {
        constexpr int kUpstreams = 140;
        constexpr int kWaiters = 50;
        constexpr int kMaxPicksPerSlot = 3;
        SchedulerFixture fixture;
        std::vector<UpstreamRef> list;
        for (int number = 0; number < kUpstreams; ++number) {
            list.push_back(upstream("e" + std::to_string(number), "v1"));
        }
        fixture.setUpstreams(list);
        FiberEvent cancelled;
        std::vector<AcquireResult> leases;
        for (int number = 0; number < kUpstreams; ++number) {
            leases.push_back(
                fixture.scheduler.acquire(fixture.requirements(), seconds(1), cancelled));
            REQUIRE(leases.back().lease);
        }
        std::vector<AcquireResult> waited;
        for (int number = 0; number < kWaiters; ++number) {
            runtime.spawn([&] {
                const UpstreamRequirements requirements = fixture.requirements();
                const FiberEvent ownCancelled;
                AcquireResult result =
                    fixture.scheduler.acquire(requirements, seconds(5), ownCancelled);
                waited.push_back(std::move(result));
            });
        }
        runtime.sleepFor(milliseconds(5));
        const std::int64_t picksBefore = fixture.scheduler.pickCount();
        leases.back().lease.reset();
        runtime.sleepFor(milliseconds(5));
        CHECK(waited.size() == 1);
        CHECK(fixture.scheduler.pickCount() - picksBefore <= kMaxPicksPerSlot);
        // Each request that waits gets its slot all the same.
        for (AcquireResult &result : leases) {
            result.lease.reset();
        }
        runtime.sleepFor(milliseconds(5));
        REQUIRE(waited.size() == kWaiters);
        for (const AcquireResult &result : waited) {
            CHECK(result.lease);
        }
    });
}

// Load pattern: one workspace fills the queue before another sends its first request.
TEST_CASE("a freed slot goes to the workspace that has had less, whoever came first")
{
    inFiber([](FiberRuntime &runtime) {
        SchedulerFixture fixture;
        fixture.setUpstreams({upstream("e", "v1")});
        FiberEvent cancelled;
        AcquireResult running =
            fixture.scheduler.acquire(fixture.requirements(), seconds(1), cancelled);
        REQUIRE(running.lease);
        std::vector<std::string> served;
        const auto send = [&](const std::string &workspace) {
            runtime.spawn([&, workspace] {
                UpstreamRequirements requirements = fixture.requirements();
                requirements.workspace = workspace;
                requirements.ownWork = milliseconds(300);
                const FiberEvent ownCancelled;
                const AcquireResult result =
                    fixture.scheduler.acquire(requirements, seconds(5), ownCancelled);
                if (result.lease) {
                    served.push_back(workspace);
                }
            });
        };
        for (int number = 0; number < 5; ++number) {
            send("hot");
        }
        send("other");
        runtime.sleepFor(milliseconds(5));
        CHECK(fixture.scheduler.waiterCount() == 6);
        running.lease.reset();
        runtime.sleepFor(milliseconds(20));
        REQUIRE(served.size() == 6);
        CHECK(served[1] == "other");
        CHECK(fixture.scheduler.waiterCount() == 0);
    });
}
