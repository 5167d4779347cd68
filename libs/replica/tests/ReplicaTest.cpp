// Records that arrive late, twice, crossed, and from peers that know less.
#include <replica/Replica.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace basilnotch;

namespace {

Record record(const std::string &name, RecordVersion version, const std::string &value)
{
    return {{"op", name}, value, version, false};
}

Record removal(const std::string &name, RecordVersion version)
{
    return {{"op", name}, "", version, true};
}

} // namespace

TEST_CASE("an older version never replaces a newer one")
{
    Replica replica;
    CHECK(replica.merge(record("config", 7, "seven")));
    CHECK_FALSE(replica.merge(record("config", 5, "five")));
    CHECK_FALSE(replica.merge(record("config", 7, "seven")));
    CHECK(replica.find({"op", "config"})->value == "seven");
}

TEST_CASE("a deleted record stays deleted when a peer tells an older version")
{
    Replica replica;
    replica.merge(record("one", 3, "x"));
    CHECK(replica.merge(removal("one", 9)));
    CHECK_FALSE(replica.merge(record("one", 3, "x")));
    CHECK(replica.find({"op", "one"})->deleted);
}

TEST_CASE("a table read whole deletes what it lacks, but nothing newer than the read")
{
    Replica replica;
    replica.merge(record("lapsed", 3, "x"));
    replica.merge(record("newer", 12, "y"));
    RecordPage page;
    page.version = 10;
    page.records = {record("fresh", 8, "z")};
    const std::vector<Record> changed = replica.mergeTable("op", page);
    REQUIRE(changed.size() == 2);
    CHECK(replica.find({"op", "lapsed"})->deleted);
    CHECK_FALSE(replica.find({"op", "newer"})->deleted);
    CHECK(replica.find({"op", "fresh"})->value == "z");
}

// Guards against records that are taken as deleted because their rows could not be read.
TEST_CASE("a record whose row may be an unreadable one is not taken as deleted")
{
    Replica replica;
    for (const char *name : {"a", "m", "n", "p", "z"}) {
        replica.merge(record(name, 3, "x"));
    }
    RecordPage page;
    page.version = 10;
    page.records = {record("c", 4, "y"), record("p", 8, "z")};
    page.unreadable = {{std::string("c\0", 2), "p"}, {std::string("x\0", 2), std::nullopt}};
    CHECK(replica.mergeTable("op", page).size() == 3);
    CHECK(replica.find({"op", "a"})->deleted);
    CHECK_FALSE(replica.find({"op", "m"})->deleted);
    CHECK_FALSE(replica.find({"op", "n"})->deleted);
    CHECK_FALSE(replica.find({"op", "z"})->deleted);
    page.unreadable.clear();
    page.version = 11;
    CHECK(replica.mergeTable("op", page).size() == 3);
    CHECK(replica.find({"op", "m"})->deleted);
}

// Guards against records that keep their old content after the store has returned from a copy.
TEST_CASE("a record of a later epoch replaces one with a higher counter")
{
    Replica replica;
    replica.merge(record("config", makeVersion(1, 50), "lost"));
    replica.merge(record("added", makeVersion(1, 48), "lost"));
    RecordPage page;
    page.version = makeVersion(2, 40);
    page.records = {record("config", makeVersion(2, 30), "copy")};
    CHECK(replica.mergeTable("op", page).size() == 2);
    CHECK(replica.find({"op", "config"})->value == "copy");
    CHECK(replica.find({"op", "added"})->deleted);
    CHECK(replica.merge(record("added", makeVersion(2, 41), "again")));
    CHECK_FALSE(replica.merge(record("config", makeVersion(1, 51), "late")));
}

// Guards against a record that only peers know from before a restore and that never goes.
TEST_CASE("an unknown record of an epoch before the last read is taken as deleted")
{
    Replica replica;
    RecordPage page;
    page.version = makeVersion(2, 40);
    replica.mergeTable("op", page);
    CHECK(replica.merge(record("lost", makeVersion(1, 50), "x")));
    CHECK(replica.find({"op", "lost"})->deleted);
    CHECK(replica.merge(record("lost", makeVersion(2, 41), "again")));
    CHECK(replica.merge(record("fresh", makeVersion(2, 39), "x")));
    CHECK_FALSE(replica.find({"op", "fresh"})->deleted);
}

TEST_CASE("two replicas that heard the same records in any order agree")
{
    rc::prop("order does not matter", [] {
        std::vector<Record> heard;
        const auto versions = *rc::gen::container<std::vector<RecordVersion>>(
            12, rc::gen::inRange<RecordVersion>(1, 9));
        for (const RecordVersion version : versions) {
            const std::string name = std::to_string(version % 3);
            heard.push_back(version % 4 == 0 ? removal(name, version)
                                             : record(name, version, std::to_string(version)));
        }
        Replica first;
        Replica second;
        for (const Record &item : heard) {
            first.merge(item);
        }
        std::reverse(heard.begin(), heard.end());
        for (const Record &item : heard) {
            second.merge(item);
        }
        for (const Record &item : heard) {
            RC_ASSERT(first.find(item.key)->version == second.find(item.key)->version);
            RC_ASSERT(first.find(item.key)->value == second.find(item.key)->value);
        }
    });
}
