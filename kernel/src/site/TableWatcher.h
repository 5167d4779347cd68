// Keeps up with tables of the platform's store: reads each table, then watches it from that version
// on. While the store is unavailable only one table retries and the others wait, because
// each call to the store has a cost.
#pragma once

#include <replica/RecordStore.h>
#include <runtime/FiberEvent.h>
#include <telemetry/EventLog.h>
#include <telemetry/Metrics.h>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace basilnotch {

class FiberRuntime;

struct TableWatcherOptions
{
    /// Duration of a watch without changes. A longer one needs fewer calls; keep-alive probes
    /// detect a dead connection meanwhile.
    Duration watchTimeout = std::chrono::seconds(20);
    Duration initialRetryDelay = std::chrono::milliseconds(120);
    /// Pause after a change. Further changes with the same cause usually follow at once, and one
    /// call then returns all of them.
    Duration batchDelay = std::chrono::milliseconds(150);
    /// Less than the time within which changes must take effect.
    Duration maxRetryDelay = std::chrono::milliseconds(900);
};

/// Callbacks, invoked on the control thread.
struct TableWatcherListener
{
    /// The whole table has been read.
    std::function<void(const std::string &table, const RecordPage &page)> onSnapshot;
    /// `page` has the records that have changed.
    std::function<void(const std::string &table, const RecordPage &page)> onChanges;
    /// The store has become available or unavailable.
    std::function<void(bool isAvailable)> onAvailability;
};

/// Control thread only.
class TableWatcher
{
public:
    TableWatcher(FiberRuntime &runtime, RecordStore &store, std::vector<std::string> tables,
                 TableWatcherOptions options, TableWatcherListener listener, const Clock &clock,
                 EventLog &log, Metrics &metrics, std::uint64_t seed);

    /// Starts one fiber for each table.
    void start();
    /// Sets whether this instance watches `table` itself or learns of changes from its peers. Each
    /// table is read once in any case.
    void setWatching(const std::string &table, bool watching);
    /// False after a failed call, until the next call succeeds.
    bool lastCallSucceeded() const { return this->consecutiveFailures == 0; }
    /// Current time of the store's steady clock; empty before the store's first answer.
    std::optional<Duration> storeTime() const;

private:
    void watchTable(const std::string &table);
    absl::StatusOr<RecordPage> fetch(const std::string &table, std::optional<RecordVersion> after);
    void onSuccess(const RecordPage &page);
    void onFailure(const std::string &table, const absl::Status &status);
    Duration retryDelay();

    FiberRuntime &runtime;
    RecordStore &store;
    const std::vector<std::string> tables;
    const TableWatcherOptions options;
    const TableWatcherListener listener;
    const Clock &clock;
    EventLog &log;
    Counter &calls;
    Counter &failedCalls;
    std::mt19937_64 random;
    FiberEvent available;                       ///< Set while the store is available.
    std::map<std::string, FiberEvent> watching; ///< By table; set while the table is watched.
    int consecutiveFailures = 0;                ///< Over all tables.
    TimePoint firstFailureAt{};                 ///< Of the latest series of failures.
    std::optional<Duration> clockOffset;        ///< Store's clock minus local clock.
};

} // namespace basilnotch
