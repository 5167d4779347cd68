// Tests what the watcher of the store's tables learns of while the store loses or refuses calls.
#include "site/TableWatcher.h"

#include <InFiber.h>

#include <runtime/FiberEvent.h>
#include <runtime/FiberRuntime.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace basilnotch;
using namespace basilnotch::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kFirst[] = "first";
constexpr char kSecond[] = "second, with a name too long to stand in the string itself";
constexpr Duration kCallTimeout = milliseconds(40);
constexpr Duration kPoll = milliseconds(2);
/// Far above the intervals of the tests and far below that of a watch.
constexpr Duration kSoon = seconds(5);

enum class Mood {
    Answers,
    Refuses, ///< New calls; watches from before go on.
    Loses,   ///< As above, but calls are never answered.
};

/// A store in memory. Watches end when their table changes.
class FakeStore final : public RecordStore
{
public:
    explicit FakeStore(FiberRuntime &runtime)
        : runtime(runtime)
    { }

    absl::StatusOr<RecordPage> readTable(std::string_view table) override
    {
        const RecordVersion kept = std::exchange(this->oldestKept, 0);
        auto page = this->watch(table, 0, Duration::zero());
        this->oldestKept = kept;
        return page;
    }
    absl::StatusOr<RecordPage> watch(std::string_view table, RecordVersion after,
                                     Duration wait) override
    {
        ++this->calls;
        const std::string name(table);
        if (wait > Duration::zero()) {
            this->cancelled.erase(name);
        }
        const bool isLost =
            this->mood == Mood::Loses || (this->losesWatches && wait > Duration::zero());
        if (wait == Duration::zero() && name == this->slowTable) {
            this->awaitSlowAnswer();
            this->isArgumentIntact = this->isArgumentIntact && table == name;
        }
        if (this->mood == Mood::Refuses || name == this->refusedTable) {
            return absl::UnavailableError("busy");
        }
        if (!isLost && after < this->oldestKept) {
            return absl::OutOfRangeError("history gone");
        }
        const TimePoint began = SystemClock().now();
        const TimePoint until = began + wait + (isLost ? kCallTimeout : Duration());
        while (SystemClock().now() < until && (isLost || this->changes[name] <= after)) {
            if (wait > Duration::zero() && began < this->endedAt) {
                return absl::UnavailableError("end of stream");
            }
            if (wait > Duration::zero() && name == this->goneTable) {
                this->runtime.sleepFor(kPoll);
                return absl::OutOfRangeError("history gone");
            }
            if (wait > Duration::zero() && this->cancelled.contains(name)) {
                return absl::CancelledError("cancelled");
            }
            this->runtime.sleepFor(kPoll);
        }
        if (isLost) {
            return absl::DeadlineExceededError("no answer");
        }
        RecordPage page;
        page.version = this->version;
        page.storeTime = SystemClock().now().time_since_epoch();
        if (this->changes[name] > after) {
            page.records.push_back({{name, "row"}, "value", this->changes[name], false});
        }
        return page;
    }
    void cancelWatch(std::string_view table) override { this->cancelled.emplace(table); }
    absl::StatusOr<CommitResult> commit(const std::vector<RecordCondition> &,
                                        const std::vector<RecordChange> &) override
    {
        return absl::UnimplementedError("commit");
    }

    RecordVersion change(const std::string &table)
    {
        return this->changes[table] = ++this->version;
    }

    /// Of the watches under way.
    void endConnections() { this->endedAt = SystemClock().now(); }

    Mood mood = Mood::Answers;
    bool losesWatches = false;    ///< Those that begin now, and only these.
    std::string slowTable;        ///< Calls for it without waiting are not answered meanwhile.
    int slowCalls = 0;            ///< Of these, under way.
    bool isArgumentIntact = true; ///< The caller's argument outlived each of these.
    std::string goneTable;        ///< Watches of it under way are told that the history is gone.
    std::string refusedTable;     ///< Calls for it are refused; a watch from before goes on.
    RecordVersion oldestKept = 0; ///< Watches from before are told that the history is gone.
    int calls = 0;

private:
    void awaitSlowAnswer()
    {
        ++this->slowCalls;
        while (!this->slowTable.empty()) {
            this->runtime.sleepFor(kPoll);
        }
        --this->slowCalls;
    }

    FiberRuntime &runtime;
    TimePoint endedAt{}; ///< Watches from before have ended.
    RecordVersion version = 1;
    std::map<std::string, RecordVersion> changes; ///< Latest change of each table.
    std::set<std::string> cancelled;
};

class NoLog final : public LogOutput
{
public:
    bool write(std::string_view) override { return true; }
};

/// A watcher of two tables, and what it has told.
struct Watched
{
    explicit Watched(FiberRuntime &runtime, TableWatcherOptions options = Watched::options())
        : runtime(runtime)
        , store(runtime)
        , watcher(runtime, this->store, {kFirst, kSecond}, options,
                  {[this](const auto &table, const auto &page) { this->onPage(table, page); },
                   [this](const auto &table, const auto &page) { this->onPage(table, page); },
                   [](const auto &, TimePoint) {},
                   [this](bool isAvailable) { this->isAvailable = isAvailable; }},
                  this->clock, this->log, this->metrics, 1)
    {
        this->watcher.setWatchers(kFirst, 0, 1);
        this->watcher.setWatchers(kSecond, 0, 1);
        this->watcher.start();
        this->sleep(milliseconds(50));
    }

    static TableWatcherOptions options()
    {
        TableWatcherOptions options;
        options.checkInterval = milliseconds(50);
        options.initialRetryDelay = milliseconds(10);
        options.batchDelay = milliseconds(5);
        options.maxRetryDelay = milliseconds(20);
        return options;
    }
    void onPage(const std::string &table, const RecordPage &page)
    {
        for (const Record &record : page.records) {
            this->told[table] = std::max(this->told[table], record.version);
        }
    }
    void sleep(Duration duration) { this->runtime.sleepFor(duration); }
    /// Whether the watcher tells `version` of `table` soon.
    bool learns(const std::string &table, RecordVersion version)
    {
        const TimePoint until = SystemClock().now() + kSoon;
        while (this->told[table] < version && SystemClock().now() < until) {
            this->sleep(kPoll);
        }
        return this->told[table] >= version;
    }

    FiberRuntime &runtime;
    SystemClock clock;
    NoLog logOutput;
    EventLog log{this->logOutput, this->clock, "i"};
    Metrics metrics;
    FakeStore store;
    std::map<std::string, RecordVersion> told; ///< By table.
    bool isAvailable = true;
    TableWatcher watcher;
};

void withWatcher(const std::function<void(Watched &)> &test,
                 TableWatcherOptions options = Watched::options())
{
    inFiber([&](FiberRuntime &runtime) {
        Watched watched(runtime, options);
        test(watched);
        watched.watcher.stop();
        while (!watched.watcher.hasStopped()) {
            watched.sleep(kPoll);
        }
    });
}

} // namespace

// Guards against a watch that a silent store has never received and that lasts its whole time.
TEST_CASE("a watch that began while the store was silent is renewed when it answers", "[watcher]")
{
    withWatcher([](Watched &watched) {
        REQUIRE(watched.learns(kSecond, watched.store.change(kSecond)));
        watched.store.mood = Mood::Loses;
        watched.sleep(milliseconds(300));
        CHECK_FALSE(watched.isAvailable);
        watched.store.mood = Mood::Answers;
        CHECK(watched.learns(kSecond, watched.store.change(kSecond)));
        CHECK(watched.learns(kFirst, watched.store.change(kFirst)));
        CHECK(watched.isAvailable);
    });
}

// Guards against tables that wait, after two refused calls, for the watch of another table.
TEST_CASE("a watch that outlasts an outage keeps no other table waiting", "[watcher]")
{
    withWatcher([](Watched &watched) {
        watched.store.mood = Mood::Refuses;
        watched.sleep(milliseconds(5)); // Both watches began before.
        const RecordVersion version = watched.store.change(kSecond);
        REQUIRE(watched.learns(kSecond, version));
        watched.sleep(milliseconds(200));
        CHECK_FALSE(watched.isAvailable);
        watched.store.mood = Mood::Answers;
        CHECK(watched.learns(kSecond, watched.store.change(kSecond)));
        CHECK(watched.learns(kFirst, watched.store.change(kFirst)));
    });
}

// Guards against an instance for which the store stays unavailable because the history of a table
// that it does not watch is gone.
TEST_CASE("the store is available again although the history of a table is gone", "[watcher]")
{
    withWatcher([](Watched &watched) {
        watched.watcher.setWatchers(kFirst, 1, 1);
        REQUIRE(watched.learns(kFirst, watched.store.change(kFirst))); // Ends the watch.
        watched.store.mood = Mood::Refuses;
        REQUIRE(watched.learns(kSecond, watched.store.change(kSecond)));
        watched.sleep(milliseconds(200));
        CHECK_FALSE(watched.isAvailable);
        watched.store.oldestKept = watched.store.change(kSecond);
        watched.store.mood = Mood::Answers;
        CHECK(watched.learns(kSecond, watched.store.change(kSecond)));
        CHECK(watched.isAvailable);
    });
}

// Guards against a change that is learnt of with the end of the watch because its answer is lost
// while all other calls are answered.
TEST_CASE("a change whose watch has lost its answer is found by a check", "[watcher]")
{
    withWatcher([](Watched &watched) {
        watched.store.losesWatches = true;
        REQUIRE(watched.learns(kSecond, watched.store.change(kSecond))); // A watch of before.
        watched.sleep(milliseconds(20));
        watched.store.losesWatches = false;
        CHECK(watched.learns(kSecond, watched.store.change(kSecond)));
    });
}

// Guards against checks by each instance, whose calls would grow with the number of instances.
TEST_CASE("the instances that watch a table check it in turn", "[watcher]")
{
    withWatcher([](Watched &watched) {
        constexpr int kRounds = 6;
        constexpr std::size_t kWatchers = 3;
        for (const std::string table : {kFirst, kSecond}) {
            watched.watcher.setWatchers(table, 1, kWatchers);
        }
        watched.sleep(milliseconds(60)); // The round under way.
        const int before = watched.store.calls;
        watched.sleep(Watched::options().checkInterval * kWatchers * kRounds);
        CHECK(watched.store.calls - before <= 2 * (kRounds + 1));
        CHECK(watched.store.calls > before);
    });
}

// Guards against the cost of calls for tables that other instances watch.
TEST_CASE("an instance that watches nothing makes no calls while the store answers", "[watcher]")
{
    withWatcher([](Watched &watched) {
        watched.watcher.setWatchers(kFirst, 1, 1);
        watched.watcher.setWatchers(kSecond, 1, 1);
        (void)watched.learns(kFirst, watched.store.change(kFirst)); // Ends the watches under way.
        (void)watched.learns(kSecond, watched.store.change(kSecond));
        const int before = watched.store.calls;
        watched.sleep(milliseconds(200));
        CHECK(watched.store.calls == before);
    });
}

// Guards against changes that wait for the next check after the store has ended its connections.
TEST_CASE("a store that ends all watches at once is asked again at once", "[watcher]")
{
    TableWatcherOptions options = Watched::options();
    options.checkInterval = seconds(2);
    options.initialRetryDelay = milliseconds(20);
    options.maxRetryDelay = seconds(2);
    withWatcher(
        [&options](Watched &watched) {
            constexpr Duration kLongest = milliseconds(500);
            for (int time = 0; time < 3; ++time) {
                watched.store.endConnections();
                watched.sleep(milliseconds(10)); // The watches have noticed.
                const RecordVersion version = watched.store.change(kSecond);
                watched.store.change(kFirst);
                const TimePoint changedAt = watched.clock.now();
                CHECK(watched.learns(kSecond, version));
                CHECK(watched.clock.now() - changedAt < kLongest);
                CHECK(watched.isAvailable);
                watched.sleep(options.maxRetryDelay);
            }
        },
        options);
}

// Guards against a store that refuses one table and thereby hides the changes of all others.
TEST_CASE("a table that the store refuses keeps no other table waiting", "[watcher]")
{
    TableWatcherOptions options = Watched::options();
    options.checkInterval = seconds(1);
    options.initialRetryDelay = milliseconds(50);
    options.batchDelay = milliseconds(150);
    options.maxRetryDelay = milliseconds(300);
    withWatcher(
        [](Watched &watched) {
            watched.store.refusedTable = kFirst;
            watched.store.change(kFirst); // Ends its watch.
            for (int change = 0; change < 3; ++change) {
                CHECK(watched.learns(kSecond, watched.store.change(kSecond)));
                watched.sleep(milliseconds(400));
            }
        },
        options);
}

// Guards against a check that goes on with the name of a table that was freed while its call to the
// store was under way: a process that ends by itself.
TEST_CASE("a check under way survives that the history of its table is gone", "[watcher]")
{
    withWatcher([](Watched &watched) {
        watched.store.refusedTable = kFirst;
        watched.store.slowTable = kSecond;
        watched.store.change(kFirst); // Ends its watch, so that the retries begin.
        const TimePoint until = watched.clock.now() + kSoon;
        while (watched.store.slowCalls == 0 && watched.clock.now() < until) {
            watched.sleep(kPoll);
        }
        REQUIRE(watched.store.slowCalls == 1);
        watched.store.goneTable = kSecond;
        watched.sleep(milliseconds(50));
        watched.store.goneTable.clear();
        watched.store.slowTable.clear();
        watched.sleep(milliseconds(50));
        CHECK(watched.store.isArgumentIntact);
        watched.store.refusedTable.clear();
        CHECK(watched.learns(kSecond, watched.store.change(kSecond)));
    });
}

// Guards against a store that is asked without a pause while it has no history of a table.
TEST_CASE("a table whose history is gone again and again is read with pauses", "[watcher]")
{
    TableWatcherOptions options = Watched::options();
    options.checkInterval = seconds(10);
    options.initialRetryDelay = milliseconds(100);
    options.maxRetryDelay = milliseconds(900);
    withWatcher(
        [](Watched &watched) {
            watched.store.goneTable = kSecond;
            const int before = watched.store.calls;
            watched.sleep(seconds(1));
            constexpr int kMaxCalls = 2 * 20 + 2; // Two for each half of a retry's delay.
            CHECK(watched.store.calls - before <= kMaxCalls);
            CHECK(watched.learns(kFirst, watched.store.change(kFirst)));
            watched.store.goneTable.clear();
            CHECK(watched.learns(kSecond, watched.store.change(kSecond)));
        },
        options);
}
