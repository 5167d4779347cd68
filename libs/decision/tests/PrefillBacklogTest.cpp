// Tests of the exchange of prefill backlogs, of prefill time estimates, and of the thundering herd
// that the exchange prevents: instances that all send long prompts to the same busy engine.
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

TEST_CASE("reported work counts until its prefill is complete")
{
    ManualClock clock;
    PrefillBacklog first({}, 1, clock);
    PrefillBacklog second({}, 2, clock);
    first.onSent(kEngine, milliseconds(300));
    for (const BacklogUpdate &update : first.takeUpdates()) {
        CHECK(second.applyUpdate(update));
        CHECK_FALSE(second.applyUpdate(update)); // A duplicate of the same update.
    }
    CHECK(second.pendingWork(kEngine) == milliseconds(300));
    second.onSent(kEngine, milliseconds(40));
    CHECK(second.pendingWork(kEngine) == milliseconds(340));
    first.onPrefilled(kEngine, milliseconds(300));
    for (const BacklogUpdate &update : first.takeUpdates()) {
        second.applyUpdate(update);
    }
    CHECK(second.pendingWork(kEngine) == milliseconds(40));
    CHECK(first.takeUpdates().empty());
}

TEST_CASE("a late update does not replace a newer one")
{
    ManualClock clock;
    PrefillBacklog first({}, 1, clock);
    PrefillBacklog second({}, 2, clock);
    first.onSent(kEngine, milliseconds(300));
    const std::vector<BacklogUpdate> older = first.takeUpdates();
    first.onPrefilled(kEngine, milliseconds(300));
    for (const BacklogUpdate &update : first.takeUpdates()) {
        second.applyUpdate(update);
    }
    CHECK_FALSE(second.applyUpdate(older.front()));
    CHECK(second.pendingWork(kEngine) == Duration::zero());
}

TEST_CASE("unchanged work is reported again, and work that is not reported again expires")
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
    CHECK(second.pendingWork(kEngine) == Duration::zero()); // The second update is not delivered.
}

TEST_CASE("short prompts are not reported")
{
    ManualClock clock;
    PrefillBacklog backlog({}, 1, clock);
    backlog.onSent(kEngine, milliseconds(4));
    CHECK(backlog.takeUpdates().empty());
    CHECK(backlog.pendingWork(kEngine) == milliseconds(4));
    backlog.onSent(kEngine, milliseconds(8));
    CHECK(backlog.takeUpdates().size() == 1);
}

TEST_CASE("a restarted engine has a new key, and so no backlog")
{
    UpstreamRecord record;
    record.id = "e1";
    record.bornMs = 1000;
    UpstreamRecord again = record;
    again.bornMs = 9000;
    CHECK(PrefillBacklog::engineKey(record) != PrefillBacklog::engineKey(again));
}

TEST_CASE("the prefill time estimate follows fast first tokens, not delayed ones")
{
    PrefillTimeEstimator estimator;
    std::mt19937 random(3);
    std::uniform_int_distribution<int> wait(0, 900);
    for (int number = 0; number < 200; ++number) {
        const int tokens = 2000 + number * 40;
        const bool waited = number % 2 == 0;
        estimator.onFirstToken("large", tokens,
                               std::chrono::microseconds(62 * tokens)
                                   + milliseconds(waited ? wait(random) : 0));
    }
    CHECK(estimator.prefillTime("large", 10'000) > milliseconds(600));
    CHECK(estimator.prefillTime("large", 10'000) < milliseconds(700));
    estimator.onFirstToken("large", 20, milliseconds(1)); // Too short to be a sample.
    CHECK(estimator.prefillTime("large", 10'000) > milliseconds(600));
}

TEST_CASE("nine instances that exchange their backlogs spread long prompts over the engines")
{
    // Nine engines and nine instances; prefills of 100 to 2,000 ms use 60 % of the engine time.
    // Each engine processes one prefill after another.
    constexpr int kCount = 9;
    const auto p95Wait = [](bool sharesBacklog) {
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
        struct Prefill
        {
            int instance;
            UpstreamRef engine;
            Duration work;
            TimePoint doneAt;
        };
        std::vector<Prefill> prefills;
        std::map<std::string, TimePoint> freeAt;
        std::mt19937 random(11);
        std::uniform_int_distribution<int> instanceOf(0, kCount - 1);
        std::lognormal_distribution<double> size(5.5, 0.9);
        std::vector<Duration> waits;
        const auto exchangeUpdates = [&] {
            for (const auto &sender : engineEstimates) {
                for (const BacklogUpdate &update : sender->backlog.takeUpdates()) {
                    for (const auto &receiver : engineEstimates) {
                        receiver->backlog.applyUpdate(update);
                    }
                }
            }
        };
        for (int number = 0; number < 3000; ++number) {
            clock.advance(milliseconds(68)); // 0.37 s each, nine engines: 60 % utilization.
            for (const Prefill &prefill : prefills) {
                if (prefill.doneAt <= clock.now()) {
                    pickers[prefill.instance]->onPrefilled(*prefill.engine, prefill.work);
                }
            }
            std::erase_if(prefills,
                          [&](const Prefill &prefill) { return prefill.doneAt <= clock.now(); });
            if (sharesBacklog) {
                exchangeUpdates();
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
            prefills.push_back({instance, pick.upstream, pick.work, free});
        }
        std::sort(waits.begin(), waits.end());
        return waits[waits.size() * 95 / 100];
    };
    const Duration sharedWait = p95Wait(true);
    CHECK(sharedWait < milliseconds(150));
    CHECK(sharedWait < p95Wait(false) / 4);
}
