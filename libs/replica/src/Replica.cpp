// Versions decide; the order of arrival does not matter.
#include <replica/Replica.h>

#include <set>

namespace basilnotch {

bool Replica::merge(const Record &record)
{
    const auto found = this->records.find(record.key);
    if (found != this->records.end() && found->second.version >= record.version) {
        return false;
    }
    this->records.insert_or_assign(record.key, record);
    return true;
}

std::vector<Record> Replica::mergeTable(std::string_view table, const RecordPage &page)
{
    std::vector<Record> changed;
    std::set<std::string, std::less<>> present;
    for (const Record &record : page.records) {
        present.insert(record.key.name);
        if (this->merge(record)) {
            changed.push_back(record);
        }
    }
    for (auto &[key, record] : this->records) {
        const bool missing = key.table == table && !record.deleted && record.version <= page.version
            && !present.contains(key.name);
        if (missing) {
            record.deleted = true;
            record.value.clear();
            record.version = page.version;
            changed.push_back(record);
        }
    }
    return changed;
}

const Record *Replica::find(const RecordKey &key) const
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

} // namespace basilnotch
