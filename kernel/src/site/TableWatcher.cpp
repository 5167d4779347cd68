// A store that refuses calls ends the watches under way or lets them wait on. One that does not
// answer may have lost them without a sign, so they are renewed once it answers again.
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
    , renewedWatches(metrics.counter("store_watches_renewed_total"))
    , random(seed)
{
    this->available.set();
    for (const std::string &table : this->tables) {
        this->watching[table]; // Not set until setWatching() assigns the watches.
    }
}

void TableWatcher::setWatchers(const std::string &table, std::size_t rank, std::size_t watchers)
{
    const FiberEvent &event = this->watching.at(table);
    rank < watchers ? event.set() : event.reset();
    this->shares[table] = {rank, std::max<std::size_t>(watchers, 1)};
}

void TableWatcher::start()
{
    const auto run = [this](std::function<void()> work) {
        ++this->activeFibers;
        this->runtime.post([this, work = std::move(work)] {
            work();
            --this->activeFibers;
        });
    };
    for (const std::string &table : this->tables) {
        run([this, table] { this->watchTable(table); });
    }
    run([this] { this->checkTables(); });
}

void TableWatcher::stop()
{
    this->stopping = true;
    this->available.set();
    for (const std::string &table : this->tables) {
        this->watching.at(table).set();
        this->store.cancelWatch(table);
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
    std::optional<TimePoint> forgottenAt; // When the table last had to be read again.
    // Until the first table has been read there is nothing to check, so its read is retried.
    const bool isFirst = table == this->tables.front();
    while (!this->stopping) {
        const bool isRead = this->known.contains(table);
        if (isRead || !isFirst) {
            (void)this->available.waitFor(std::chrono::hours(1));
        }
        if (isRead) {
            (void)this->watching.at(table).waitFor(std::chrono::hours(1));
        }
        const TimePoint beganAt = this->clock.now();
        const absl::StatusOr<RecordPage> page = this->fetch(table);
        if (page.ok()) {
            this->clockOffset = page->storeTime - this->clock.now().time_since_epoch();
            this->onAnswer();
            if (isRead) {
                this->applyChanges(table, *page, beganAt);
            } else {
                this->applySnapshot(table, *page, beganAt);
            }
            if (!isFirst && !page->records.empty()) {
                this->runtime.sleepFor(this->options.batchDelay);
            }
        } else if (absl::IsOutOfRange(page.status())) {
            // The store no longer has the changes after this version, so the table is read again.
            const std::string why = describe(page.status());
            this->log.write(LogKind::State, "store history gone",
                            {{"table", table},
                             {"after", static_cast<std::int64_t>(this->known[table])},
                             {"why", why}});
            this->known.erase(table);
            // A store that never has them would be asked without a pause.
            if (forgottenAt && this->clock.now() - *forgottenAt < this->options.maxRetryDelay) {
                this->runtime.sleepFor(this->retryDelay());
            }
            forgottenAt = this->clock.now();
        } else if (!absl::IsCancelled(page.status())) {
            this->onFailure(table, page.status(), beganAt);
            this->runtime.sleepFor(this->retryDelay());
        }
    }
}

absl::StatusOr<RecordPage> TableWatcher::fetch(const std::string &table)
{
    this->calls.add();
    const auto known = this->known.find(table);
    if (known == this->known.end()) {
        return this->store.readTable(table);
    }
    // After a failure, a watch without waiting shows at once whether the store is available again.
    const Duration wait =
        this->consecutiveFailures == 0 ? this->options.watchTimeout : Duration::zero();
    return this->store.watch(table, known->second, wait);
}

void TableWatcher::checkTables()
{
    Duration lastRetryTook{}; // A call that has timed out has been a pause already.
    while (!this->stopping) {
        if (this->consecutiveFailures == 0) {
            // The store's clock gives all instances the same turns.
            const Duration now = this->storeTime().value_or(Duration::zero());
            const Duration pause = this->options.checkInterval - now % this->options.checkInterval;
            if (!this->unavailable.waitFor(pause)) {
                this->checkTablesInTurn();
            }
            continue;
        }
        this->runtime.sleepFor(
            std::max(this->options.initialRetryDelay / 2, this->retryDelay() - lastRetryTook));
        const TimePoint retriedAt = this->clock.now();
        if (!this->known.empty() && this->consecutiveFailures > 0) {
            // The store may refuse one table only, so each retry asks for the next one.
            const auto next = static_cast<Duration::rep>(this->retries++ % this->known.size());
            // A copy: the entry may be erased during the call.
            const std::string table = std::next(this->known.begin(), next)->first;
            (void)this->checkTable(table);
        }
        lastRetryTook = this->clock.now() - retriedAt;
    }
}

void TableWatcher::checkTablesInTurn()
{
    const Duration now = this->storeTime().value_or(Duration::zero());
    const auto turn = static_cast<std::size_t>(now / this->options.checkInterval);
    for (const std::string &table : this->tables) {
        const WatchShare &share = this->shares[table];
        if (this->known.contains(table) && this->watching.at(table).isSet()
            && turn % share.watchers == share.rank) {
            (void)this->checkTable(table);
        }
    }
}

void TableWatcher::refresh(const std::string &table)
{
    if (!this->known.contains(table)) {
        return; // The table is being read for the first time, or anew.
    }
    const absl::Status checked = this->checkTable(table);
    if (absl::IsOutOfRange(checked)) {
        this->readTable(table);
    }
}

void TableWatcher::readTable(const std::string &table)
{
    this->calls.add();
    const TimePoint beganAt = this->clock.now();
    const auto page = this->store.readTable(table);
    if (!page.ok()) {
        this->onFailure(table, page.status(), beganAt);
        return;
    }
    this->onAnswer();
    this->applySnapshot(table, *page, beganAt);
}

absl::Status TableWatcher::checkTable(const std::string &table)
{
    this->calls.add();
    const TimePoint beganAt = this->clock.now();
    const RecordVersion before = this->known.at(table);
    const auto page = this->store.watch(table, before, Duration::zero());
    if (page.ok()) {
        this->clockOffset = page->storeTime - this->clock.now().time_since_epoch();
        this->onAnswer();
        const auto known = this->known.find(table);
        const bool isMissed =
            !page->records.empty() && known != this->known.end() && known->second == before;
        if (isMissed && this->watching.at(table).isSet()) {
            // The answer of the watch is lost, or about to arrive.
            this->renewWatch(table);
        }
        this->applyChanges(table, *page, beganAt);
    } else if (absl::IsOutOfRange(page.status())) {
        this->onAnswer();
        this->renewWatch(table); // It finds the history gone as well and reads the table.
    } else {
        this->onFailure(table, page.status(), beganAt);
    }
    return page.status();
}

void TableWatcher::applySnapshot(const std::string &table, const RecordPage &page,
                                 TimePoint beganAt)
{
    this->listener.onSnapshot(table, page);
    RecordVersion &known = this->known[table];
    known = std::max(known, page.version);
    this->listener.onCurrent(table, beganAt);
}

void TableWatcher::applyChanges(const std::string &table, const RecordPage &page, TimePoint beganAt)
{
    const auto known = this->known.find(table);
    if (known == this->known.end()) {
        return; // The table is about to be read again.
    }
    known->second = std::max(known->second, page.version);
    this->listener.onChanges(table, page);
    this->listener.onCurrent(table, beganAt);
}

void TableWatcher::onAnswer()
{
    if (this->consecutiveFailures == 0) {
        return;
    }
    const bool wasUnavailable = this->consecutiveFailures >= kFailuresUntilUnavailable;
    const bool mayHaveLostWatches = this->hasTimedOut;
    this->consecutiveFailures = 0;
    this->hasTimedOut = false;
    this->answeringSince = this->clock.now();
    if (wasUnavailable) {
        this->log.write(LogKind::State, "store regained",
                        {{"awayMs", wholeMillis(this->clock.now() - this->firstFailureAt)}});
        this->unavailable.reset();
        this->available.set();
        this->listener.onAvailability(true);
    }
    if (mayHaveLostWatches) {
        this->renewWatches();
    }
}

void TableWatcher::renewWatches()
{
    for (const std::string &table : this->tables) {
        this->renewWatch(table);
    }
}

void TableWatcher::renewWatch(const std::string &table)
{
    this->renewedWatches.add();
    this->store.cancelWatch(table);
}

void TableWatcher::onFailure(const std::string &table, const absl::Status &status,
                             TimePoint beganAt)
{
    const TimePoint now = this->clock.now();
    if (this->consecutiveFailures == 0
        && now - this->answeringSince >= this->options.maxRetryDelay) {
        this->failedRounds = 0;
    }
    // Calls that one disruption has ended together count once.
    if (this->failedRounds == 0 || beganAt >= this->latestFailureAt) {
        ++this->failedRounds;
    }
    this->latestFailureAt = now;
    this->failedCalls.add();
    ++this->consecutiveFailures;
    this->hasTimedOut = this->hasTimedOut || absl::IsDeadlineExceeded(status);
    if (this->consecutiveFailures == 1) {
        this->firstFailureAt = now;
    }
    if (this->consecutiveFailures == kFailuresUntilUnavailable) {
        this->available.reset();
        this->unavailable.set();
        const std::string why = describe(status);
        this->log.write(LogKind::State, "store lost", {{"table", table}, {"why", why}});
        this->listener.onAvailability(false);
    }
}

Duration TableWatcher::retryDelay()
{
    const int doublings = std::clamp(this->failedRounds - 1, 0, 10);
    const Duration longest =
        std::min(this->options.initialRetryDelay * (1 << doublings), this->options.maxRetryDelay);
    // Jitter keeps instances from retrying together.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return fromSeconds(toSeconds(longest) * jitter(this->random));
}

} // namespace basilnotch
