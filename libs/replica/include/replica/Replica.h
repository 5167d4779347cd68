// The newest known version of each record, whoever told it: the store or another instance.
#pragma once

#include <replica/RecordStore.h>

#include <map>
#include <string_view>
#include <vector>

namespace basilnotch {

/// A join-semilattice over records: of two versions of a record the higher one counts. Deleted
/// records are remembered, so that an older version from a peer cannot bring them back.
/// Control thread only.
class Replica
{
public:
    /// Takes `record` if it is newer than what is known; true when it was.
    bool merge(const Record &record);
    /// Takes a whole table as read at `page.version`; returns the records that changed, among them
    /// deletions of records that the page lacks.
    std::vector<Record> mergeTable(std::string_view table, const RecordPage &page);
    /// The record, also when it is deleted; null when it was never heard of.
    const Record *find(const RecordKey &key) const;

private:
    std::map<RecordKey, Record> records;
};

} // namespace basilnotch
