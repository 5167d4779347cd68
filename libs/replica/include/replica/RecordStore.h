// The platform's store of versioned records, as the product sees it.
#pragma once

#include <base/Clock.h>
#include <base/Failure.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Grows with every change of any record; one counter for the whole store.
using RecordVersion = std::uint64_t;

struct RecordKey
{
    std::string table;
    std::string name;
    friend auto operator<=>(const RecordKey &, const RecordKey &) = default;
};

struct Record
{
    RecordKey key;
    std::string value;
    RecordVersion version = 0;
    bool deleted = false;
};

/// Records, and how new the answer is.
struct RecordPage
{
    std::vector<Record> records;
    RecordVersion version = 0; ///< Everything up to this version is in the answer.
    Duration storeTime{};      ///< The store's own steady clock.
};

/// A record that must have `version` for a commit to take effect; 0: it must not exist.
struct RecordCondition
{
    RecordKey key;
    RecordVersion version = 0;
};

struct RecordChange
{
    RecordKey key;
    std::string value;
};

struct CommitResult
{
    bool committed = false;
    RecordVersion version = 0;   ///< Of the records written, when committed.
    std::vector<Record> current; ///< Of the conditions, when one did not hold.
};

/// Calls block the calling fiber. Errors: kUnavailable (nothing was done), kDeadlineExceeded and
/// kUnknown (a commit may have been done), kOutOfRange (watch: the history is gone or an answer
/// does not hold all changes, read again), kResourceExhausted (too many calls), kCancelled (watch:
/// ended by cancelWatch()).
class RecordStore
{
public:
    virtual ~RecordStore() = default;
    /// All records of a table.
    virtual absl::StatusOr<RecordPage> readTable(std::string_view table) = 0;
    /// Changes of a table after `after`, as soon as there are any or `wait` has passed.
    virtual absl::StatusOr<RecordPage> watch(std::string_view table, RecordVersion after,
                                             Duration wait) = 0;
    /// Ends the watch of `table` with a `wait` above zero that is under way, if there is one. There
    /// is at most one for each table.
    virtual void cancelWatch(std::string_view table) = 0;
    /// Writes all of `changes` if all of `conditions` hold.
    virtual absl::StatusOr<CommitResult> commit(const std::vector<RecordCondition> &conditions,
                                                const std::vector<RecordChange> &changes) = 0;
};

} // namespace basilnotch
