// The first table probes a store that is away; its first answer wakes the others.
#include "TableWatcher.h"

#include <runtime/FiberRuntime.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr int kFailuresUntilAway = 2; // One failed call may be a cut connection.

} // namespace

TableWatcher::TableWatcher(FiberRuntime &runtime, RecordStore &store,
                           std::vector<std::string> tables, TableWatcherOptions options,
                           TableWatcherListener listener, const Clock &clock, EventLog &log,
                           Metrics &metrics, std::uint64_t seed)
    : runtime(runtime)
    , store(store)
    , tables(std::move(tables))
    , options(options)
    , listener(std::move(listener))
    , clock(clock)
    , log(log)
    , calls(metrics.counter("store_calls_total"))
    , failedCalls(metrics.counter("store_calls_failed_total"))
    , random(seed)
{
    this->available.set();
    for (const std::string &table : this->tables) {
        this->watching[table]; // Not set: who watches is decided later.
    }
}

void TableWatcher::setWatching(const std::string &table, bool watches)
{
    const FiberEvent &event = this->watching.at(table);
    watches ? event.set() : event.reset();
}

void TableWatcher::start()
{
    for (const std::string &table : this->tables) {
        this->runtime.post([this, table] { this->follow(table); });
    }
}

std::optional<Duration> TableWatcher::storeTime() const
{
    if (!this->clockOffset) {
        return std::nullopt;
    }
    return this->clock.now().time_since_epoch() + *this->clockOffset;
}

void TableWatcher::follow(const std::string &table)
{
    const bool probes = table == this->tables.front();
    std::optional<RecordVersion> after;
    while (true) {
        if (!probes) {
            (void)this->available.waitFor(std::chrono::hours(1));
        }
        if (after) {
            (void)this->watching.at(table).waitFor(std::chrono::hours(1));
        }
        const absl::StatusOr<RecordPage> page = this->fetch(table, after);
        if (page.ok()) {
            this->onAnswer(*page);
            (after ? this->listener.changes : this->listener.table)(table, *page);
            after = std::max(after.value_or(0), page->version);
            if (!probes && !page->records.empty()) {
                this->runtime.sleepFor(this->options.gather);
            }
        } else if (absl::IsOutOfRange(page.status())) {
            this->log.write(LogKind::State, "store history gone",
                            {{"table", table}, {"after", static_cast<std::int64_t>(*after)}});
            after.reset();
        } else {
            this->onFailure(table, page.status());
            this->runtime.sleepFor(this->retryPause());
        }
    }
}

absl::StatusOr<RecordPage> TableWatcher::fetch(const std::string &table,
                                               std::optional<RecordVersion> after)
{
    this->calls.add();
    if (!after) {
        return this->store.readTable(table);
    }
    // While the store is away, a short watch tells soon that it is back.
    const Duration wait = this->failures == 0 ? this->options.watchWait : Duration::zero();
    return this->store.watch(table, *after, wait);
}

void TableWatcher::onAnswer(const RecordPage &page)
{
    const TimePoint now = this->clock.now();
    this->clockOffset = page.storeTime - now.time_since_epoch();
    if (this->failures == 0) {
        return;
    }
    const bool wasAway = this->failures >= kFailuresUntilAway;
    this->failures = 0;
    if (wasAway) {
        this->log.write(LogKind::State, "store regained",
                        {{"awayMs", wholeMillis(now - this->lostAt)},
                         {"version", static_cast<std::int64_t>(page.version)}});
        this->available.set();
        this->listener.access(true);
    }
}

void TableWatcher::onFailure(const std::string &table, const absl::Status &status)
{
    this->failedCalls.add();
    ++this->failures;
    if (this->failures == 1) {
        this->lostAt = this->clock.now();
    }
    if (this->failures == kFailuresUntilAway) {
        this->available.reset();
        const std::string why = describe(status);
        this->log.write(LogKind::State, "store lost", {{"table", table}, {"why", why}});
        this->listener.access(false);
    }
}

Duration TableWatcher::retryPause()
{
    const int doublings = std::clamp(this->failures - 1, 0, 10);
    const Duration longest =
        std::min(this->options.firstRetry * (1 << doublings), this->options.longestRetry);
    std::uniform_real_distribution<double> jitter(0.5, 1.0); // Instances do not return together.
    return fromSeconds(toSeconds(longest) * jitter(this->random));
}

} // namespace basilnotch
