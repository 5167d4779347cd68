// Tests the control state on a table that loses requests and responses: rules versions never
// decrease, and leases never overlap.
#include "control/AbandonedReceiptSweeper.h"
#include "control/PeerPayloads.h"
#include "control/PoolController.h"
#include "control/RulesStore.h"

#include <receipts/Billing.h>

#include <FakeTable.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>
#include <random>

using namespace basilnotch;
using basilnotch::testing::FakeTable;
using basilnotch::testing::TableFault;

namespace {

std::string rulesText(int edit)
{
    return "model small v1 cost=" + std::to_string(edit) + " # edit\n";
}

} // namespace

TEST_CASE("of two concurrent edits one is stored and the other gets a conflict with the changes")
{
    FakeTable table;
    RulesStore first(table);
    RulesStore second(table);
    REQUIRE(first.refresh().ok());
    REQUIRE(second.refresh().ok());
    CHECK(first.apply(rulesText(1), 0).outcome == ApplyOutcome::Stored);
    const ApplyResult conflict = second.apply(rulesText(2), 0);
    CHECK(conflict.outcome == ApplyOutcome::Conflict);
    CHECK(conflict.version == 1);
    CHECK(conflict.changes.find("cost=1") != std::string::npos);
    CHECK(second.apply(rulesText(2), 1).outcome == ApplyOutcome::Stored);
}

TEST_CASE("an apply retried after a lost response reports that the edit was already stored")
{
    FakeTable table;
    RulesStore store(table);
    REQUIRE(store.refresh().ok());
    int writes = 0;
    table.nextFault = [&] { return ++writes == 2 ? TableFault::LostAfter : TableFault::None; };
    CHECK(store.apply(rulesText(1), 0).outcome == ApplyOutcome::Unavailable);
    const ApplyResult retried = store.apply(rulesText(1), 0);
    CHECK(retried.outcome == ApplyOutcome::AlreadyStored);
    CHECK(retried.version == 1);
}

TEST_CASE("an invalid rules file is rejected and changes nothing")
{
    FakeTable table;
    RulesStore store(table);
    REQUIRE(store.refresh().ok());
    REQUIRE(store.apply(rulesText(1), 0).outcome == ApplyOutcome::Stored);
    const ApplyResult invalid = store.apply("modle small v1 cost=1\n", 1);
    CHECK(invalid.outcome == ApplyOutcome::Invalid);
    CHECK(store.file().version == 1);
    CHECK(store.file().text == rulesText(1));
}

TEST_CASE("despite faults and races the version never decreases and no accepted edit is lost")
{
    rc::prop("three instances, random edits and polls", [] {
        FakeTable table;
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        table.nextFault = [&] {
            const unsigned draw = random() % 5;
            return draw == 0 ? TableFault::LostBefore
                : draw == 1  ? TableFault::LostAfter
                             : TableFault::None;
        };
        std::vector<std::unique_ptr<RulesStore>> stores;
        std::vector<std::uint64_t> seen(3, 0);
        for (int number = 0; number < 3; ++number) {
            stores.push_back(std::make_unique<RulesStore>(table));
        }
        std::map<std::uint64_t, std::string> accepted;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const std::size_t index = random() % 3;
            RulesStore &store = *stores[index];
            if (random() % 2 == 0) {
                (void)store.refresh();
            } else if (store.isLoaded()) {
                const std::string text = rulesText(step);
                const ApplyResult result = store.apply(text, store.file().version);
                if (result.outcome == ApplyOutcome::Stored
                    || result.outcome == ApplyOutcome::AlreadyStored) {
                    RC_ASSERT(!accepted.contains(result.version)
                              || accepted[result.version] == text);
                    accepted[result.version] = text;
                }
            } else {
                continue;
            }
            RC_ASSERT(store.file().version >= seen[index]);
            seen[index] = store.file().version;
            if (accepted.contains(store.file().version)) {
                RC_ASSERT(store.file().text == accepted[store.file().version]);
            }
        }
        table.nextFault = [] { return TableFault::None; };
        const std::uint64_t last = accepted.empty() ? 0 : accepted.rbegin()->first;
        for (const auto &store : stores) {
            RC_ASSERT(store->refresh().ok());
            RC_ASSERT(store->file().version >= last);
        }
    });
}

TEST_CASE("a higher version from a peer is adopted, a lower one is not")
{
    FakeTable table;
    RulesStore store(table);
    CHECK(store.adopt({3, "x", rulesText(3)}));
    CHECK_FALSE(store.adopt({2, "y", rulesText(2)}));
    REQUIRE(store.refresh().ok()); // An empty table must not revert the rules.
    CHECK(store.file().version == 3);
}

TEST_CASE("at most one instance has a valid pool lease, despite pauses and lost responses")
{
    rc::prop("contenders on one clock, each paused at random", [] {
        ManualClock clock;
        FakeTable table;
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        table.nextFault = [&] {
            const unsigned draw = random() % 6;
            return draw == 0 ? TableFault::LostBefore
                : draw == 1  ? TableFault::LostAfter
                             : TableFault::None;
        };
        TimingSettings timing;
        std::vector<PoolLease> contenders;
        for (int number = 0; number < 3; ++number) {
            contenders.emplace_back("pool", "i" + std::to_string(number), timing,
                                    random() % 2 == 0);
        }
        std::uint64_t highest = 0;
        std::string holder;
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            clock.advance(milliseconds(50 + random() % 2000));
            contenders[random() % 3].acquireOrRenew(table, clock); // The others are paused.
            int active = 0;
            for (const PoolLease &lease : contenders) {
                if (lease.isValid(clock.now())) {
                    ++active;
                    RC_ASSERT(lease.fence() >= highest);
                    if (lease.fence() > highest) {
                        highest = lease.fence();
                        holder = lease.holder();
                    }
                    RC_ASSERT(lease.holder() == holder);
                }
            }
            RC_ASSERT(active <= 1);
        }
    });
}

TEST_CASE("wanted versions include both versions of a roll-out and no withdrawn one")
{
    Rules rules;
    rules.models = {{{"s", "v1"}, {}, 0}, {{"s", "v2"}, {}, 0}, {{"s", "v3"}, {}, 0}};
    rules.rollouts = {{"s", "v2", "v3", 0.1, {}, 0}};
    rules.withdrawals = {{{"s", "v1"}, 0}};
    const auto wanted = wantedVersions(rules, {"s"}, {{"s", "v1"}, {"s", "v0"}});
    CHECK(wanted == std::vector<ModelVersion>{{"s", "v2"}, {"s", "v3"}});
}

TEST_CASE(
    "copies of a failed instance are flushed under its keys and its open receipts closed once")
{
    ManualClock clock;
    FakeTable table;
    Metrics metrics;
    const Member self{"b", "b-1", {"127.0.0.1", 1}, {"127.0.0.1", 2}, "d", MemberState::Alive};
    Gossip gossip(self, 2, GossipOptions{}, clock, 1);
    PeerCopies copies(100);
    AbandonedReceiptSweeper sweeper(gossip, copies, table, clock, seconds(10), metrics);
    REQUIRE(sweeper.markOpen("b-1").ok());
    REQUIRE(table.writeOne({"incarnation/a-1", "open", 0}).ok());
    const Receipt open{"r1", "w", "m", "v", ReceiptState::Open, 0, 0, 0};
    REQUIRE(copies.hold({"a-1", 1, {open}}));
    sweeper.sweep();
    CHECK(copies.size() == 1); // The instance may still be running.
    clock.advance(seconds(11));
    sweeper.sweep();
    CHECK(copies.size() == 0);
    CHECK(table.rows.contains("receipts/a-1/000000000001"));
    clock.advance(seconds(11));
    sweeper.sweep();
    sweeper.sweep();
    Bill bill;
    for (const auto &[key, row] : table.rows) {
        if (key.starts_with("receipts/")) {
            const auto receipts = decodeReceipts(row.value);
            REQUIRE(receipts.ok());
            for (const Receipt &receipt : *receipts) {
                bill.add(receipt);
            }
        }
    }
    REQUIRE(bill.receipts().size() == 1);
    CHECK(bill.receipts().at("r1").state == ReceiptState::Abandoned);
    CHECK(table.rows.at("incarnation/a-1").value == "closed");
}

TEST_CASE("an incarnation that was closed during a pause is marked open again")
{
    ManualClock clock;
    FakeTable table;
    Metrics metrics;
    const Member self{"b", "b-1", {"127.0.0.1", 1}, {"127.0.0.1", 2}, "d", MemberState::Alive};
    Gossip gossip(self, 2, GossipOptions{}, clock, 1);
    PeerCopies copies(100);
    AbandonedReceiptSweeper sweeper(gossip, copies, table, clock, seconds(10), metrics);
    REQUIRE(sweeper.markOpen("b-1").ok());
    table.rows["incarnation/b-1"] = {"incarnation/b-1", "closed", 2};
    REQUIRE(sweeper.markOpen("b-1").ok());
    CHECK(table.rows["incarnation/b-1"].value == "open");
}

TEST_CASE("payloads round-trip through their encoding, and malformed ones are errors")
{
    VersionCounts counts{10, 2, 1, {}};
    counts.rated[{"plan", true}] = {5, 4};
    const auto decoded = decodeCounts(encodeCounts(counts));
    REQUIRE(decoded.ok());
    CHECK(decoded->errors == 2);
    CHECK(decoded->rated.at({"plan", true}).good == 4);
    QualityStats::Table table;
    table[{"w", "plan", "small", true, false, true}] = {7, 6, 5, 4, 300, 200};
    CHECK(*decodeQuality(encodeQuality(table)) == table);
    rc::prop("arbitrary bytes", [](const std::string &bytes) {
        (void)decodeCounts(bytes);
        (void)decodeQuality(bytes);
        (void)decodeLoad(bytes, {});
        (void)decodeUsage(bytes);
        (void)decodeBatches(bytes);
    });
}
