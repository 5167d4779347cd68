// Tests which upstreams requests get while a roll-out changes the versions that they may use.
#include "relay/UpstreamScheduler.h"

#include <InFiber.h>
#include <runtime/FiberRuntime.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

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
    WarmupLimiter warmup{{.instance = "one"}, this->clock};
    UpstreamScheduler scheduler{{},
                                this->engineEstimates,
                                this->warmup,
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

// Guards against an explanation that is not what happens, or that changes what happens.
TEST_CASE("what is explained is what the next request gets, on a paused clock", "[explain]")
{
    inFiber([](FiberRuntime &) {
        SchedulerFixture fixture;
        std::vector<UpstreamRef> list;
        for (int number = 0; number < 12; ++number) {
            list.push_back(upstream("u" + std::to_string(number), number < 8 ? "v1" : "v2"));
        }
        auto draining = std::make_shared<UpstreamRecord>(*list.front());
        draining->state = UpstreamState::Draining;
        list.front() = draining;
        fixture.setUpstreams(list);
        fixture.versions.excludedVersions = {"v2"};
        FiberEvent cancelled;
        std::vector<std::unique_ptr<UpstreamLease>> leases;
        for (int round = 0; round < 7; ++round) {
            (void)fixture.scheduler.explain(fixture.requirements());
            const AssignmentExplanation explained =
                fixture.scheduler.explain(fixture.requirements());
            AcquireResult acquired =
                fixture.scheduler.acquire(fixture.requirements(), seconds(1), cancelled);
            REQUIRE(acquired.lease);
            CHECK(explained.picked.pick.upstream == acquired.lease->upstreamRef());
            CHECK(explained.otherVersions.size() == 4);
            CHECK(explained.notReady.size() == 1);
            for (const CandidateExplanation &item : explained.picked.candidates) {
                const bool isTaken =
                    std::any_of(leases.begin(), leases.end(), [&](const auto &lease) {
                        return lease->upstreamRef() == item.upstream;
                    });
                CHECK((item.leftOut == "full") == isTaken);
            }
            leases.push_back(std::move(acquired.lease));
        }
        const AssignmentExplanation full = fixture.scheduler.explain(fixture.requirements());
        CHECK_FALSE(full.picked.pick.upstream);
        CHECK(fixture.scheduler.acquire(fixture.requirements(), {}, cancelled).error
              == AcquireError::TooBusy);
    });
}

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

TEST_CASE("requests that wait for upstreams whose failure domain goes out of service move on")
{
    inFiber([](FiberRuntime &runtime) {
        SchedulerFixture fixture;
        const auto in = [](const std::string &id, const std::string &domain) {
            UpstreamRecord record = *upstream(id, "v1");
            record.failureDomain = domain;
            return std::make_shared<const UpstreamRecord>(std::move(record));
        };
        const auto setList = [&](const std::vector<UpstreamRef> &list, const DomainNames &out) {
            fixture.scheduler.setUpstreams(std::make_shared<const UpstreamList>(list, out), 1);
        };
        const UpstreamRef north = in("north", "a");
        const UpstreamRef south = in("south", "b");
        setList({north}, {});
        FiberEvent cancelled;
        const AcquireResult first =
            fixture.scheduler.acquire(fixture.requirements(), seconds(1), cancelled);
        REQUIRE(first.lease);
        std::vector<AcquireResult> results;
        for (int number = 0; number < 2; ++number) {
            runtime.spawn([&] {
                const UpstreamRequirements requirements = fixture.requirements();
                results.push_back(
                    fixture.scheduler.acquire(requirements, seconds(5), FiberEvent()));
            });
        }
        runtime.sleepFor(milliseconds(5));
        REQUIRE(results.empty());
        setList({north, south}, {"a"});
        runtime.sleepFor(milliseconds(5));
        REQUIRE(results.size() == 1);
        REQUIRE(results[0].lease);
        CHECK(results[0].lease->upstream().id == "south");
        // Nothing is left, and nobody knows for how long: the other one is told at once.
        setList({north, south}, {"a", "b"});
        runtime.sleepFor(milliseconds(5));
        REQUIRE(results.size() == 2);
        CHECK(results[1].error == AcquireError::NoUpstream);
        CHECK(results[1].retryAfter >= seconds(1));
        CHECK(fixture.scheduler.waiterCount() == 0);
        results.clear();
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

// The load: a new version starts cold with a tenth of the requests; this instance may send it none.
TEST_CASE("while a new version warms up, the old one serves its share")
{
    inFiber([](FiberRuntime &) {
        SchedulerFixture fixture;
        fixture.warmup.setRates({{"models", {1, seconds(3)}}});
        const auto starting = [&](const std::string &id, const std::string &version,
                                  Duration coldLeft) {
            UpstreamRecord record = *upstream(id, version);
            record.coldLeft = coldLeft;
            record.heardAt = fixture.clock.now();
            return std::make_shared<const UpstreamRecord>(std::move(record));
        };
        fixture.setUpstreams({starting("bad", "v0", {}), starting("old", "v1", {}),
                              starting("new", "v2", seconds(3))});
        fixture.versions = {.onlyVersion = "v2", .excludedVersions = {"v0", "v2"}, .share = 0.1};
        FiberEvent cancelled;
        const auto servedBy = [&] {
            const AcquireResult result =
                fixture.scheduler.acquire(fixture.requirements(), seconds(1), cancelled);
            return result.lease ? result.lease->upstream().id : std::string("nobody");
        };
        CHECK(servedBy() == "old");
        fixture.clock.advance(seconds(4));
        CHECK(servedBy() == "new");
    });
}
