// Tests what a roll-out's controller keeps and writes when the store comes back from a copy, and
// when it completes a roll-out.
#include "site/RolloutController.h"

#include "site/RolloutRecord.h"

#include <InFiber.h>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <vector>

using namespace basilnotch;
using namespace basilnotch::testing;

namespace {

constexpr char kService[] = "orders";
constexpr Duration kStoreTime = seconds(100);
const Endpoint kNowhere{"127.0.0.1", 1};

/// Records the commits, which all succeed.
class FakeStore final : public RecordStore
{
public:
    absl::StatusOr<RecordPage> readTable(std::string_view) override
    {
        return absl::UnimplementedError("read");
    }
    absl::StatusOr<RecordPage> watch(std::string_view, RecordVersion, Duration) override
    {
        return absl::UnimplementedError("watch");
    }
    void cancelWatch(std::string_view) override { }
    absl::StatusOr<CommitResult> commit(const std::vector<RecordCondition> &conditions,
                                        const std::vector<RecordChange> &changes) override
    {
        this->conditions.push_back(conditions.at(0).version);
        this->states.push_back(*parseRolloutState(changes.at(0).value));
        this->reports.push_back(changes.at(1).value);
        return CommitResult{true, ++this->version, {}};
    }

    RecordVersion version = makeVersion(2, 100);
    std::vector<RecordVersion> conditions;
    std::vector<RolloutState> states;
    std::vector<std::string> reports;
};

class FakeCodec final : public RecordCodec
{
public:
    std::vector<std::string> watchedTables() const override { return {}; }
    absl::StatusOr<SiteUpdate> decode(const Record &) const override { return IgnoredRecord(); }
    RecordChange rolloutReport(const RolloutState &state) const override
    {
        return {{"status", state.service}, std::string(phaseName(state.phase))};
    }
};

class NoLog final : public LogOutput
{
public:
    bool write(std::string_view /*line*/) override { return true; }
};

Settings settings()
{
    Settings settings;
    settings.name = "one";
    return settings;
}

RecordKey stateKey()
{
    return {kInternalTable, std::string("rollout/") + kService};
}

RolloutState stateOf(std::uint64_t order, const std::string &version, RolloutPhase phase)
{
    RolloutState state;
    state.service = kService;
    state.toVersion = version;
    state.order = order;
    state.phase = phase;
    state.deadline = seconds(30);
    return state;
}

UpstreamRef readyUpstream(const std::string &softwareVersion)
{
    UpstreamRecord upstream;
    upstream.id = "u";
    upstream.service = kService;
    upstream.softwareVersion = softwareVersion;
    return std::make_shared<const UpstreamRecord>(upstream);
}

struct Instance
{
    explicit Instance(FiberRuntime &runtime)
        : runtime(runtime)
        , gossip({"one", "one-1", kNowhere, kNowhere, "d", MemberState::Alive}, 2, {}, this->clock,
                 1)
        , peers(runtime, this->ownSettings, this->gossip, this->metrics)
        , rollouts(runtime, this->store, this->codec, this->gossip, this->peers, this->clock,
                   this->log)
    { }

    void order(const std::string &version, RecordVersion record)
    {
        this->rollouts.onOrder({kService, version, seconds(30)}, record);
    }
    void read(const RolloutState &state, RecordVersion version)
    {
        this->rollouts.onInternalRecord({stateKey(), serializeRolloutState(state), version, false});
    }
    void readMissing(RecordVersion version)
    {
        this->rollouts.onInternalRecord({stateKey(), {}, version, true});
    }
    /// Reports `count` answers of the version on one route.
    void answer(const std::string &version, AnswerOutcome outcome, int count)
    {
        for (int number = 0; number < count; ++number) {
            this->rollouts.onAnswer({kService, version, "plans", "u@0", outcome, false});
        }
    }
    void tick(const UpstreamList &upstreams = {})
    {
        this->rollouts.tick(kStoreTime, upstreams);
        this->runtime.sleepFor(milliseconds(5)); // Commits run in fibers of their own.
    }
    /// Makes this instance a collector that has followed sound answers of "v2".
    void followSoundAnswers(const RolloutState &started, RecordVersion version)
    {
        this->order("v2", started.order);
        this->read(started, version);
        this->tick();
        for (int second = 0; second < 4; ++second) {
            this->answer("v1", AnswerOutcome::Good, 200);
            this->answer("v2", AnswerOutcome::Good, 20);
            this->clock.advance(seconds(1));
            this->tick();
        }
    }
    RolloutState inForce() { return this->rollouts.rollouts(kStoreTime).at(kService).state; }

    FiberRuntime &runtime;
    FakeStore store;
    FakeCodec codec;
    ManualClock clock;
    NoLog output;
    EventLog log{this->output, this->clock, "i"};
    Metrics metrics;
    const Settings ownSettings = settings();
    Gossip gossip;
    PeerMessenger peers;
    RolloutController rollouts;
};

} // namespace

// Guards against a finished roll-out that traffic and the operators see undone by a restored store.
TEST_CASE("a roll-out state that a restored store lacks is kept and written again")
{
    const RecordVersion order = makeVersion(1, 30);
    const RolloutState known = stateOf(order, "v2", RolloutPhase::Reverted);
    for (const bool isMissing : {true, false}) {
        inFiber([&](FiberRuntime &runtime) {
            Instance instance(runtime);
            instance.order("v2", order);
            instance.read(known, makeVersion(1, 50));
            if (isMissing) {
                instance.readMissing(makeVersion(2, 40));
            } else {
                instance.read(stateOf(order, "v2", RolloutPhase::InProgress), makeVersion(2, 35));
            }
            CHECK(instance.inForce().phase == RolloutPhase::Reverted);
            instance.tick();
            instance.tick();
            REQUIRE(instance.store.states.size() == 1);
            CHECK(instance.store.conditions[0] == (isMissing ? 0 : makeVersion(2, 35)));
            CHECK(instance.store.states[0].order == order);
            CHECK(instance.store.states[0].phase == RolloutPhase::Reverted);
            CHECK(instance.store.reports[0] == phaseName(RolloutPhase::Reverted));
        });
    }
}

// Guards against a roll-out that starts anew because its order has another version after a restore.
TEST_CASE("an order that a restored store has again is the known one, a second one is new")
{
    inFiber([](FiberRuntime &runtime) {
        Instance instance(runtime);
        instance.order("v2", makeVersion(1, 30));
        instance.read(stateOf(makeVersion(1, 30), "v2", RolloutPhase::Completed),
                      makeVersion(1, 50));
        instance.order("v2", makeVersion(2, 30));
        instance.read(stateOf(makeVersion(1, 30), "v2", RolloutPhase::Completed),
                      makeVersion(2, 39));
        instance.tick();
        CHECK(instance.inForce().phase == RolloutPhase::Completed);
        CHECK(instance.store.states.empty());
        instance.order("v2", makeVersion(2, 60));
        instance.tick();
        REQUIRE(instance.store.states.size() == 1);
        CHECK(instance.store.conditions[0] == makeVersion(2, 39));
        CHECK(instance.store.states[0].order == makeVersion(2, 60));
        CHECK(instance.store.states[0].phase == RolloutPhase::InProgress);
    });
}

// Guards against a return to a version that the operators have replaced before the restore.
TEST_CASE("a copy of an order that a later one has replaced is ignored")
{
    inFiber([](FiberRuntime &runtime) {
        Instance instance(runtime);
        instance.order("v2", makeVersion(1, 30));
        instance.order("v3", makeVersion(1, 50));
        instance.read(stateOf(makeVersion(1, 50), "v3", RolloutPhase::Completed),
                      makeVersion(1, 55));
        instance.order("v2", makeVersion(2, 30));
        instance.tick();
        CHECK(instance.inForce().toVersion == "v3");
        CHECK(instance.store.states.empty());
        instance.order("v3", makeVersion(2, 47));
        instance.tick();
        CHECK(instance.inForce().phase == RolloutPhase::Completed);
        CHECK(instance.store.states.empty());
        instance.order("v2", makeVersion(2, 60));
        instance.tick();
        REQUIRE(instance.store.states.size() == 1);
        CHECK(instance.store.states[0].toVersion == "v2");
    });
}

// Guards against a version that is completed without the time under full load in which a failure
// under load shows: a store that writes late makes the approval known after its ramp is over.
TEST_CASE("a version whose approval becomes known late is not completed at once")
{
    inFiber([](FiberRuntime &runtime) {
        Instance instance(runtime);
        const UpstreamList upstreams({readyUpstream("v2")});
        const RecordVersion order = makeVersion(1, 30);
        RolloutState state = stateOf(order, "v2", RolloutPhase::InProgress);
        state.startedAt = kStoreTime - seconds(4);
        instance.followSoundAnswers(state, makeVersion(1, 50));
        state.startedAt = kStoreTime - state.deadline;
        state.approvedAt = kStoreTime - seconds(2);
        instance.read(state, makeVersion(1, 51));
        instance.tick(upstreams);
        CHECK(instance.store.states.empty());
        instance.clock.advance(rampTime(state) - milliseconds(1));
        instance.tick(upstreams);
        CHECK(instance.store.states.empty());
        instance.clock.advance(milliseconds(1));
        instance.tick(upstreams);
        REQUIRE(instance.store.states.size() == 1);
        CHECK(instance.store.states[0].phase == RolloutPhase::Completed);
    });
}

// Guards against a bad version that a canary's few answers have approved by chance, and that is
// completed although all requests then show it.
TEST_CASE("an approved version is completed only while its answers still speak for it")
{
    struct Case
    {
        int good;
        int bad;
        std::vector<RolloutPhase> stored;
    };
    for (const Case &late : std::vector<Case>{
             {20, 0, {RolloutPhase::Completed}}, {0, 2, {}}, {40, 12, {RolloutPhase::Reverted}}}) {
        inFiber([&late](FiberRuntime &runtime) {
            Instance instance(runtime);
            const UpstreamList upstreams({readyUpstream("v2")});
            const RecordVersion order = makeVersion(1, 30);
            RolloutState state = stateOf(order, "v2", RolloutPhase::InProgress);
            state.startedAt = kStoreTime - seconds(4);
            instance.followSoundAnswers(state, makeVersion(1, 50));
            state.startedAt = kStoreTime - state.deadline;
            state.approvedAt = kStoreTime - seconds(2);
            instance.read(state, makeVersion(1, 51));
            instance.answer("v2", AnswerOutcome::Good, late.good);
            instance.answer("v2", AnswerOutcome::Bad, late.bad);
            instance.clock.advance(rampTime(state));
            instance.tick(upstreams);
            instance.tick(upstreams);
            std::vector<RolloutPhase> stored;
            for (const RolloutState &next : instance.store.states) {
                stored.push_back(next.phase);
            }
            INFO("good " << late.good << " bad " << late.bad);
            CHECK(stored == late.stored);
        });
    }
}

// Guards against the completion of a late version that hardly any requests have seen.
TEST_CASE("a version that has missed its deadline gets all requests for a while first")
{
    inFiber([](FiberRuntime &runtime) {
        Instance instance(runtime);
        const UpstreamList upstreams({readyUpstream("v2")});
        const RecordVersion order = makeVersion(1, 30);
        RolloutState state = stateOf(order, "v2", RolloutPhase::InProgress);
        state.startedAt = kStoreTime - seconds(4);
        instance.followSoundAnswers(state, makeVersion(1, 50));
        state.startedAt = kStoreTime - state.deadline - seconds(10);
        state.approvedAt = kStoreTime - seconds(5);
        instance.read(state, makeVersion(1, 51));
        instance.clock.advance(rampTime(state) + seconds(3) - milliseconds(1));
        instance.tick(upstreams);
        CHECK(instance.store.states.empty());
        instance.clock.advance(milliseconds(1));
        instance.tick(upstreams);
        REQUIRE(instance.store.states.size() == 1);
        CHECK(instance.store.states[0].phase == RolloutPhase::Completed);
    });
}

// Guards against the approval of a version that has just turned bad, by an instance that becomes a
// collector and gets the answers of before and after in one report.
TEST_CASE("a collector that takes over approves a version by the answers that it has followed")
{
    inFiber([](FiberRuntime &runtime) {
        Instance instance(runtime);
        const RecordVersion order = makeVersion(1, 30);
        RolloutState state = stateOf(order, "v2", RolloutPhase::InProgress);
        state.startedAt = kStoreTime - seconds(29);
        instance.order("v2", order);
        instance.read(state, makeVersion(1, 50));
        instance.answer("v2", AnswerOutcome::Good, 100);
        instance.answer("v2", AnswerOutcome::Bad, 5);
        instance.tick();
        CHECK(instance.store.states.empty());
        for (int round = 0; round < 3; ++round) {
            instance.answer("v2", AnswerOutcome::Good, 20);
            instance.clock.advance(seconds(1));
            instance.tick();
        }
        REQUIRE(instance.store.states.size() == 1);
        CHECK(instance.store.states[0].approvedAt);
    });
}

// Guards against a bad version that is completed on a service with few requests, as nothing speaks
// against it yet.
TEST_CASE("on a service with few requests a version needs answers that speak for it")
{
    inFiber([](FiberRuntime &runtime) {
        Instance instance(runtime);
        const RecordVersion order = makeVersion(1, 30);
        RolloutState state = stateOf(order, "v2", RolloutPhase::InProgress);
        state.startedAt = kStoreTime - seconds(27); // Too soon for an approval.
        instance.order("v2", order);
        instance.read(state, makeVersion(1, 50));
        instance.answer("v1", AnswerOutcome::Good, 90);
        instance.answer("v2", AnswerOutcome::Good, 6);
        instance.tick();
        instance.clock.advance(seconds(27));
        state.startedAt = kStoreTime - seconds(29);
        instance.read(state, makeVersion(1, 51));
        instance.tick();
        CHECK(instance.store.states.empty());
        instance.answer("v2", AnswerOutcome::Good, 6);
        instance.clock.advance(seconds(1));
        instance.tick();
        REQUIRE(instance.store.states.size() == 1);
        CHECK(instance.store.states[0].approvedAt);
    });
}

// Guards against a roll-out that waits for answers which never come.
TEST_CASE("a version of a service that gets next to no requests does not wait for answers")
{
    inFiber([](FiberRuntime &runtime) {
        Instance instance(runtime);
        const RecordVersion order = makeVersion(1, 30);
        RolloutState state = stateOf(order, "v2", RolloutPhase::InProgress);
        state.startedAt = kStoreTime - seconds(27); // Too soon for an approval.
        instance.order("v2", order);
        instance.read(state, makeVersion(1, 50));
        instance.answer("v1", AnswerOutcome::Good, 30);
        instance.answer("v2", AnswerOutcome::Good, 2);
        instance.tick();
        instance.clock.advance(seconds(27));
        state.startedAt = kStoreTime - seconds(29);
        instance.read(state, makeVersion(1, 51));
        instance.tick();
        REQUIRE(instance.store.states.size() == 1);
        CHECK(instance.store.states[0].approvedAt);
    });
}
