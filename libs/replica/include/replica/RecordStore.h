// The platform's store of versioned records, as the product sees it.
#pragma once

#include <base/Clock.h>
#include <base/Failure.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Grows when the store comes back from a copy. Changes that the copy lacks are gone, and the store
/// gives their numbers out again.
using StoreEpoch = std::uint64_t;

/// The store's epoch in the upper bits, its counter of changes in the lower ones: one for the whole
/// store. Grows with every change of any record. Invariant: a version of a later epoch is above all
/// versions of earlier ones. 0: no record.
using RecordVersion = std::uint64_t;

inline constexpr int kCounterBits = 40;
inline constexpr std::uint64_t kMaxCounter = (std::uint64_t{1} << kCounterBits) - 1;
/// Versions fit into a signed integer.
inline constexpr StoreEpoch kMaxEpoch = (std::uint64_t{1} << (63 - kCounterBits)) - 1;

/// `epoch` and `counter` must not exceed kMaxEpoch and kMaxCounter.
constexpr RecordVersion makeVersion(StoreEpoch epoch, std::uint64_t counter)
{
    return (epoch << kCounterBits) | counter;
}

constexpr StoreEpoch epochOf(RecordVersion version)
{
    return version >> kCounterBits;
}

constexpr std::uint64_t counterOf(RecordVersion version)
{
    return version & kMaxCounter;
}

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

/// Names from `first` on, in byte order, without `end`; all further ones when `end` is empty.
struct NameRange
{
    std::string first;
    std::optional<std::string> end;

    bool contains(std::string_view name) const
    {
        return name >= this->first && (!this->end || name < *this->end);
    }
};

/// Records, and how new the answer is.
struct RecordPage
{
    std::vector<Record> records;
    /// Of a whole table: where it has rows that can't be read. A record of such a name may exist
    /// although it is not among `records`.
    std::vector<NameRange> unreadable;
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
    std::vector<Record> current; ///< Those of the conditions that exist, when one did not hold.
};

/// Calls block the calling fiber. Errors: kUnavailable (nothing was done), kDeadlineExceeded and
/// kUnknown (a commit may have been done), kOutOfRange (watch: the history is gone, the store
/// is in another epoch, or an answer does not hold all changes or holds one that can't be read;
/// read again), kAborted (commit: a condition is of an earlier epoch, nothing was done),
/// kResourceExhausted (too many calls), kCancelled (watch: ended by cancelWatch()).
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
