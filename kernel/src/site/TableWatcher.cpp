// The first table retries while the store is unavailable; a successful call wakes the other tables.
#include "TableWatcher.h"

#include <runtime/FiberRuntime.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr int kFailuresUntilUnavailable = 2; // One failed call may be a closed connection.

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
        this->watching[table]; // Not set until setWatching() assigns the watches.
    }
}

void TableWatcher::setWatching(const std::string &table, bool isWatched)
{
    const FiberEvent &event = this->watching.at(table);
    isWatched ? event.set() : event.reset();
}

void TableWatcher::start()
{
    for (const std::string &table : this->tables) {
        this->runtime.post([this, table] { this->watchTable(table); });
    }
}

std::optional<Duration> TableWatcher::storeTime() const
{
    if (!this->clockOffset) {
        return std::nullopt;
    }
    return this->clock.now().time_since_epoch() + *this->clockOffset;
}

void TableWatcher::watchTable(const std::string &table)
{
    const bool isProbe = table == this->tables.front();
    std::optional<RecordVersion> after;
    while (true) {
        if (!isProbe) {
            (void)this->available.waitFor(std::chrono::hours(1));
        }
        if (after) {
            (void)this->watching.at(table).waitFor(std::chrono::hours(1));
        }
        const absl::StatusOr<RecordPage> page = this->fetch(table, after);
        if (page.ok()) {
            this->onSuccess(*page);
            (after ? this->listener.onChanges : this->listener.onSnapshot)(table, *page);
            after = std::max(after.value_or(0), page->version);
            if (!isProbe && !page->records.empty()) {
                this->runtime.sleepFor(this->options.batchDelay);
            }
        } else if (absl::IsOutOfRange(page.status())) {
            // The store no longer has the changes after this version, so the table is read again.
            this->log.write(LogKind::State, "store history gone",
                            {{"table", table}, {"after", static_cast<std::int64_t>(*after)}});
            after.reset();
        } else {
            this->onFailure(table, page.status());
            this->runtime.sleepFor(this->retryDelay());
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
    // After a failure, a watch without waiting shows at once whether the store is available again.
    const Duration wait =
        this->consecutiveFailures == 0 ? this->options.watchTimeout : Duration::zero();
    return this->store.watch(table, *after, wait);
}

void TableWatcher::onSuccess(const RecordPage &page)
{
    const TimePoint now = this->clock.now();
    this->clockOffset = page.storeTime - now.time_since_epoch();
    if (this->consecutiveFailures == 0) {
        return;
    }
    const bool wasUnavailable = this->consecutiveFailures >= kFailuresUntilUnavailable;
    this->consecutiveFailures = 0;
    if (wasUnavailable) {
        this->log.write(LogKind::State, "store regained",
                        {{"awayMs", wholeMillis(now - this->firstFailureAt)},
                         {"version", static_cast<std::int64_t>(page.version)}});
        this->available.set();
        this->listener.onAvailability(true);
    }
}

void TableWatcher::onFailure(const std::string &table, const absl::Status &status)
{
    this->failedCalls.add();
    ++this->consecutiveFailures;
    if (this->consecutiveFailures == 1) {
        this->firstFailureAt = this->clock.now();
    }
    if (this->consecutiveFailures == kFailuresUntilUnavailable) {
        this->available.reset();
        const std::string why = describe(status);
        this->log.write(LogKind::State, "store lost", {{"table", table}, {"why", why}});
        this->listener.onAvailability(false);
    }
}

Duration TableWatcher::retryDelay()
{
    const int doublings = std::clamp(this->consecutiveFailures - 1, 0, 10);
    const Duration longest =
        std::min(this->options.initialRetryDelay * (1 << doublings), this->options.maxRetryDelay);
    // Jitter keeps instances from retrying together.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return fromSeconds(toSeconds(longest) * jitter(this->random));
}

} // namespace basilnotch
