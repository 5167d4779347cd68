// Who knows of whose unread prompts, and what becomes of a herd of instances that send long ones.
#include <decision/PrefillBacklog.h>
#include <decision/PrefillTimeEstimator.h>
#include <decision/UpstreamPicker.h>

#include <catch2/catch.hpp>

#include <memory>
#include <random>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kEngine = 7;

} // namespace

TEST_CASE("work that is told is known until it is read")
{
    ManualClock clock;
    PrefillBacklog first({}, 1, clock);
    PrefillBacklog second({}, 2, clock);
    first.onSent(kEngine, milliseconds(300));
    for (const BacklogUpdate &note : first.takeUpdates()) {
        CHECK(second.applyUpdate(note));
        CHECK_FALSE(second.applyUpdate(note)); // The same note by another way.
    }
    CHECK(second.pendingWork(kEngine) == milliseconds(300));
    second.onSent(kEngine, milliseconds(40));
    CHECK(second.pendingWork(kEngine) == milliseconds(340));
    first.onPrefilled(kEngine, milliseconds(300));
    for (const BacklogUpdate &note : first.takeUpdates()) {
        second.applyUpdate(note);
    }
    CHECK(second.pendingWork(kEngine) == milliseconds(40));
    CHECK(first.takeUpdates().empty());
}

TEST_CASE("a note that comes late does not undo a newer one")
{
    ManualClock clock;
    PrefillBacklog first({}, 1, clock);
    PrefillBacklog second({}, 2, clock);
    first.onSent(kEngine, milliseconds(300));
    const std::vector<BacklogUpdate> older = first.takeUpdates();
    first.onPrefilled(kEngine, milliseconds(300));
    for (const BacklogUpdate &note : first.takeUpdates()) {
        second.applyUpdate(note);
    }
    CHECK_FALSE(second.applyUpdate(older.front()));
    CHECK(second.pendingWork(kEngine) == Duration::zero());
}

TEST_CASE("what stands is told again, what is not told again is forgotten")
{
    ManualClock clock;
    PrefillBacklog first({}, 1, clock);
    PrefillBacklog second({}, 2, clock);
    first.onSent(kEngine, milliseconds(300));
    second.applyUpdate(first.takeUpdates().front());
    CHECK(first.takeUpdates().empty());
    clock.advance(milliseconds(500));
    CHECK(first.takeUpdates().size() == 1);
    clock.advance(milliseconds(1100));
    second.expire();
    CHECK(second.pendingWork(kEngine) == Duration::zero()); // The second note never arrived.
}

TEST_CASE("short prompts are not worth a note")
{
    ManualClock clock;
    PrefillBacklog backlog({}, 1, clock);
    backlog.onSent(kEngine, milliseconds(4));
    CHECK(backlog.takeUpdates().empty());
    CHECK(backlog.pendingWork(kEngine) == milliseconds(4));
    backlog.onSent(kEngine, milliseconds(8));
    CHECK(backlog.takeUpdates().size() == 1);
}

TEST_CASE("an engine that has started again has nothing of before")
{
    UpstreamRecord record;
    record.id = "e1";
    record.bornMs = 1000;
    UpstreamRecord again = record;
    again.bornMs = 9000;
    CHECK(PrefillBacklog::engineKey(record) != PrefillBacklog::engineKey(again));
}

TEST_CASE("the speed of a model follows fast first tokens, not those that waited")
{
    PrefillTimeEstimator speed;
    std::mt19937 random(3);
    std::uniform_int_distribution<int> wait(0, 900);
    for (int number = 0; number < 200; ++number) {
        const int tokens = 2000 + number * 40;
        const bool waited = number % 2 == 0;
        speed.onFirstToken("large", tokens,
                           std::chrono::microseconds(62 * tokens)
                               + milliseconds(waited ? wait(random) : 0));
    }
    CHECK(speed.prefillTime("large", 10'000) > milliseconds(600));
    CHECK(speed.prefillTime("large", 10'000) < milliseconds(700));
    speed.onFirstToken("large", 20, milliseconds(1)); // Too short to tell anything.
    CHECK(speed.prefillTime("large", 10'000) > milliseconds(600));
}

TEST_CASE("a herd: nine instances that tell each other keep long prompts apart")
{
    // Nine engines, nine instances, prompts of 100 to 2,000 ms that keep the engines busy for six
    // tenths of the time; each engine reads one prompt after another.
    constexpr int kCount = 9;
    const auto worstWait = [](bool tells) {
        ManualClock clock;
        std::vector<UpstreamRef> engines;
        for (int number = 0; number < kCount; ++number) {
            UpstreamRecord record;
            record.id = "e" + std::to_string(number);
            record.slots = 64;
            engines.push_back(std::make_shared<const UpstreamRecord>(record));
        }
        std::vector<std::unique_ptr<EngineEstimates>> engineEstimates;
        std::vector<std::unique_ptr<UpstreamPicker>> pickers;
        for (std::uint32_t number = 0; number < kCount; ++number) {
            engineEstimates.push_back(std::make_unique<EngineEstimates>(
                EngineEstimates{{{}, number, clock}, {{}, clock}}));
            pickers.push_back(std::make_unique<UpstreamPicker>(
                PickerOptions(), *engineEstimates.back(), clock, number));
        }
        struct Reading
        {
            int instance;
            UpstreamRef engine;
            Duration work;
            TimePoint readAt;
        };
        std::vector<Reading> readings;
        std::map<std::string, TimePoint> freeAt;
        std::mt19937 random(11);
        std::uniform_int_distribution<int> instanceOf(0, kCount - 1);
        std::lognormal_distribution<double> size(5.5, 0.9);
        std::vector<Duration> waits;
        const auto tellAll = [&] {
            for (const auto &teller : engineEstimates) {
                for (const BacklogUpdate &note : teller->backlog.takeUpdates()) {
                    for (const auto &listener : engineEstimates) {
                        listener->backlog.applyUpdate(note);
                    }
                }
            }
        };
        for (int number = 0; number < 3000; ++number) {
            clock.advance(milliseconds(68)); // 0.37 s each, nine engines: busy for six tenths.
            for (const Reading &reading : readings) {
                if (reading.readAt <= clock.now()) {
                    pickers[reading.instance]->onPrefilled(*reading.engine, reading.work);
                }
            }
            std::erase_if(readings,
                          [&](const Reading &reading) { return reading.readAt <= clock.now(); });
            if (tells) {
                tellAll();
            }
            const int instance = instanceOf(random);
            PickQuery query;
            query.candidates = engines;
            query.isEngine = true;
            query.ownWork = milliseconds(std::clamp(static_cast<std::int64_t>(size(random)),
                                                    std::int64_t{50}, std::int64_t{3000}));
            const Pick pick = pickers[instance]->pick(query);
            pickers[instance]->onSent(*pick.upstream, pick.work);
            TimePoint &free = freeAt[pick.upstream->id];
            const TimePoint begins = std::max(free, clock.now());
            free = begins + pick.work;
            waits.push_back(begins - clock.now());
            readings.push_back({instance, pick.upstream, pick.work, free});
        }
        std::sort(waits.begin(), waits.end());
        return waits[waits.size() * 95 / 100];
    };
    const Duration apart = worstWait(true);
    CHECK(apart < milliseconds(150));
    CHECK(apart < worstWait(false) / 4);
}
