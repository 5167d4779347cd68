// The newest known version of each record, whoever told it: the store or another instance.
#pragma once

#include <replica/RecordStore.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// A version of a record, and the hash of its value: instances that agree on both have the same.
struct RecordState
{
    RecordVersion version = 0;
    std::uint64_t hash = 0;
    friend bool operator==(const RecordState &, const RecordState &) = default;
};

/// A join-semilattice over records: of two versions of a record the higher one counts. Deleted
/// records are remembered, so that an older version from a peer cannot bring them back.
/// Control thread only.
class Replica
{
public:
    /// Takes `record` if it is newer than what is known; true when it was. An unknown record of an
    /// earlier epoch than that in which its table was read is lost and taken as deleted.
    bool merge(const Record &record);
    /// Takes a whole table as read at `page.version`; returns the records that changed, among them
    /// deletions of records that the page lacks and whose rows are not unreadable.
    std::vector<Record> mergeTable(std::string_view table, const RecordPage &page);
    /// The record, also when it is deleted; null when it was never heard of.
    const Record *find(const RecordKey &key) const;
    /// The versions of a large record that valueAt() can rebuild, newest first. Empty for a small
    /// or a deleted record.
    std::vector<RecordState> states(const RecordKey &key) const;
    /// The value that the record had in `state`; empty when it isn't one of states().
    std::optional<std::string> valueAt(const RecordKey &key, const RecordState &state) const;

private:
    /// A version that has been replaced.
    struct Former
    {
        RecordState state;
        std::string delta; ///< From the next newer value to this one.
    };
    struct Entry
    {
        Record record;
        std::uint64_t hash = 0;    ///< Of the value of a large record.
        std::deque<Former> former; ///< Newest first.
    };

    static bool isLarge(const Record &record);
    static void replace(Entry &entry, const Record &next);

    std::map<RecordKey, Entry> records;
    /// By table; the newest version as of which it has been read whole.
    std::map<std::string, RecordVersion, std::less<>> readAt;
};

} // namespace basilnotch
