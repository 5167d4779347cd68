// Versions decide; the order of arrival does not matter.
#include <replica/Replica.h>

#include <base/Hash.h>
#include <replica/RecordDelta.h>

#include <algorithm>
#include <set>
#include <utility>

namespace basilnotch {

namespace {

constexpr std::size_t kLargeBytes = 4096;
/// Changes that follow each other faster than they spread leave instances a few versions apart.
constexpr std::size_t kMaxFormer = 6;
constexpr std::size_t kMaxFormerBytes = 256 * 1024; ///< Deltas kept for one record.

} // namespace

bool Replica::isLarge(const Record &record)
{
    return !record.deleted && record.value.size() >= kLargeBytes;
}

void Replica::replace(Entry &entry, const Record &next)
{
    const bool isNextLarge = isLarge(next);
    if (!isNextLarge || !isLarge(entry.record)) {
        entry.former.clear();
    } else {
        entry.former.push_front(
            {{entry.record.version, entry.hash}, encodeDelta(next.value, entry.record.value)});
        std::size_t bytes = 0;
        std::size_t kept = 0;
        while (kept < entry.former.size() && kept < kMaxFormer
               && (bytes += entry.former[kept].delta.size()) <= kMaxFormerBytes) {
            ++kept;
        }
        entry.former.resize(kept);
    }
    entry.record = next;
    entry.hash = isNextLarge ? hash64(next.value) : 0;
}

bool Replica::merge(const Record &record)
{
    const auto [found, isNew] = this->records.try_emplace(record.key);
    if (!isNew && found->second.record.version >= record.version) {
        return false;
    }
    const auto read = this->readAt.find(record.key.table);
    const bool isLost =
        isNew && read != this->readAt.end() && epochOf(record.version) < epochOf(read->second);
    replace(found->second, isLost ? Record{record.key, {}, read->second, true} : record);
    return true;
}

std::vector<Record> Replica::mergeTable(std::string_view table, const RecordPage &page)
{
    RecordVersion &read = this->readAt[std::string(table)];
    read = std::max(read, page.version);
    std::vector<Record> changed;
    std::set<std::string, std::less<>> present;
    for (const Record &record : page.records) {
        present.insert(record.key.name);
        if (this->merge(record)) {
            changed.push_back(record);
        }
    }
    const auto mayExist = [&page](const std::string &name) {
        return std::any_of(page.unreadable.begin(), page.unreadable.end(),
                           [&name](const NameRange &range) { return range.contains(name); });
    };
    for (auto &[key, entry] : this->records) {
        const bool missing = key.table == table && !entry.record.deleted
            && entry.record.version <= page.version && !present.contains(key.name)
            && !mayExist(key.name);
        if (missing) {
            replace(entry, Record{key, {}, page.version, true});
            changed.push_back(entry.record);
        }
    }
    return changed;
}

const Record *Replica::find(const RecordKey &key) const
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second.record;
}

std::vector<RecordState> Replica::states(const RecordKey &key) const
{
    std::vector<RecordState> states;
    const auto found = this->records.find(key);
    if (found == this->records.end() || !isLarge(found->second.record)) {
        return states;
    }
    states.push_back({found->second.record.version, found->second.hash});
    for (const Former &former : found->second.former) {
        states.push_back(former.state);
    }
    return states;
}

std::optional<std::string> Replica::valueAt(const RecordKey &key, const RecordState &state) const
{
    const auto found = this->records.find(key);
    if (found == this->records.end() || !isLarge(found->second.record)) {
        return std::nullopt;
    }
    const Entry &entry = found->second;
    std::string value = entry.record.value;
    if (state == RecordState{entry.record.version, entry.hash}) {
        return value;
    }
    for (const Former &former : entry.former) {
        absl::StatusOr<std::string> older = applyDelta(value, former.delta, SIZE_MAX);
        if (!older.ok()) {
            break;
        }
        value = *std::move(older);
        if (former.state == state) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace basilnotch
