// Follows tables of the platform's store: one read of the whole, then watches from its version on.
// While the store is away one table tries and the others wait, because each call is paid for.
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
    /// How long an idle watch lasts. Longer ones cost fewer calls; a connection that went silent is
    /// found by keep-alive probes.
    Duration watchWait = std::chrono::seconds(20);
    Duration firstRetry = std::chrono::milliseconds(120);
    /// After a change, more of the same cause follow: one call takes them all.
    Duration gather = std::chrono::milliseconds(150);
    Duration longestRetry =
        std::chrono::milliseconds(900); ///< Within the time that changes may take.
};

/// Called on the control thread.
struct TableWatcherListener
{
    /// A table has been read whole.
    std::function<void(const std::string &table, const RecordPage &page)> table;
    /// Some records have changed.
    std::function<void(const std::string &table, const RecordPage &page)> changes;
    /// The store has begun or ceased to answer.
    std::function<void(bool answers)> access;
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
    /// Whether this instance watches `table` itself; else it hears of changes from its peers. Each
    /// table is read once in any case.
    void setWatching(const std::string &table, bool watching);
    bool storeAnswers() const { return this->failures == 0; }
    /// The store's clock now, as far as known; nothing before its first answer.
    std::optional<Duration> storeTime() const;

private:
    void follow(const std::string &table);
    absl::StatusOr<RecordPage> fetch(const std::string &table, std::optional<RecordVersion> after);
    void onAnswer(const RecordPage &page);
    void onFailure(const std::string &table, const absl::Status &status);
    Duration retryPause();

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
    FiberEvent available;                       ///< Set while the store answers.
    std::map<std::string, FiberEvent> watching; ///< By table; set while it is watched.
    int failures = 0;                           ///< In a row, over all tables.
    TimePoint lostAt{};
    std::optional<Duration> clockOffset; ///< The store's clock less ours.
};

} // namespace basilnotch
