// Keeps up with tables of the platform's store: reads each table, then watches it from that version
// on. A watch that the store has never received looks like one without changes, so short calls
// check that no change is missing. Each call to the store has a cost, so the instances that watch a
// table check it in turn and learn from each other what a check finds. While the store is
// unavailable, an instance makes only the short calls.
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
    /// Duration of a watch without changes. A longer one needs fewer calls.
    Duration watchTimeout = std::chrono::seconds(20);
    /// Between two checks of a table, by all instances that watch it. Less than the time within
    /// which changes must take effect.
    Duration checkInterval = std::chrono::seconds(1);
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
    /// Every change of `table` before `asOf` has been passed to the callbacks above.
    std::function<void(const std::string &table, TimePoint asOf)> onCurrent;
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
    /// Makes the fibers end with the calls and pauses under way.
    void stop();
    /// Asks the store for the changes of `table`, or for the whole table if the store no longer has
    /// them. Blocks the calling fiber, for the time of which `table` must stay as it is.
    void refresh(const std::string &table);
    /// Ends the watches under way, which start anew from what is known.
    void renewWatches();
    /// Whether all fibers have ended.
    bool hasStopped() const { return this->activeFibers == 0; }
    /// Sets how many instances watch `table` and the rank of this one. It watches the table itself
    /// if the rank is below that number and otherwise learns of changes from its peers. Each table
    /// is read once in any case.
    void setWatchers(const std::string &table, std::size_t rank, std::size_t watchers);
    /// False after a failed call, until the next call succeeds.
    bool lastCallSucceeded() const { return this->consecutiveFailures == 0; }
    /// Whether the store counts as available; see TableWatcherListener::onAvailability.
    bool isAvailable() const { return this->available.isSet(); }
    /// Current time of the store's steady clock; empty before the store's first answer.
    std::optional<Duration> storeTime() const;

private:
    /// This instance's part in the checks of a table.
    struct WatchShare
    {
        std::size_t rank = 0;
        std::size_t watchers = 1; ///< Invariant: above 0.
    };

    /// One fiber for each table.
    void watchTable(const std::string &table);
    /// One fiber: checks the tables whose turn it is, or any while the store is unavailable.
    void checkTables();
    void checkTablesInTurn();
    /// Fetches the changes of a table without waiting. Blocks the calling fiber: `table` must not
    /// belong to a member that changes meanwhile.
    absl::Status checkTable(const std::string &table);
    /// Reads the whole table.
    void readTable(const std::string &table);
    absl::StatusOr<RecordPage> fetch(const std::string &table);
    /// Applies `page`, the answer to a call for the changes after the known version that began at
    /// `beganAt`.
    void applyChanges(const std::string &table, const RecordPage &page, TimePoint beganAt);
    /// Applies `page`, the whole table, read by a call that began at `beganAt`.
    void applySnapshot(const std::string &table, const RecordPage &page, TimePoint beganAt);
    void onAnswer();
    /// `beganAt` is the start of the call that has failed.
    void onFailure(const std::string &table, const absl::Status &status, TimePoint beganAt);
    /// Ends the watch of `table` that is under way, if any. It starts anew from the known version.
    void renewWatch(const std::string &table);
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
    Counter &renewedWatches;
    std::mt19937_64 random;
    FiberEvent available;                       ///< Set while the store is available.
    FiberEvent unavailable;                     ///< Invariant: set when `available` is not.
    std::map<std::string, FiberEvent> watching; ///< By table; set while the table is watched.
    std::map<std::string, WatchShare> shares;   ///< By table.
    std::map<std::string, RecordVersion> known; ///< By table, once it has been read.
    int consecutiveFailures = 0;                ///< Over all tables.
    /// Failures one after the other, since the store last was available for longer than a retry
    /// takes. Sets the time until the next retry.
    int failedRounds = 0;
    std::size_t retries = 0;  ///< Made by checkTables() so far.
    bool hasTimedOut = false; ///< One of these failures is a timeout.
    bool stopping = false;
    std::size_t activeFibers = 0;
    TimePoint firstFailureAt{}; ///< Of the latest series of failures.
    TimePoint latestFailureAt{};
    TimePoint answeringSince{};          ///< First answer after the latest failure.
    std::optional<Duration> clockOffset; ///< Store's clock minus local clock.
};

} // namespace basilnotch
