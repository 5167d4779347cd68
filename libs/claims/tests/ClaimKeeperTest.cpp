// Claims: at most one run for each key, and "not run" is true, over a table that loses answers.
#include <claims/ClaimKeeper.h>

#include <FakeTable.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <random>

using namespace basilnotch;
using basilnotch::testing::FakeTable;
using basilnotch::testing::TableFault;

namespace {

ClaimRequest request(const std::string &body = "digest", const std::string &holder = "a-1")
{
    return {"recife", "order-1", body, holder};
}

} // namespace

TEST_CASE("the first attempt acquires, a repeated one gets the recorded answer")
{
    FakeTable table;
    ClaimKeeper keeper(table);
    const ClaimDecision first = keeper.acquire(request());
    REQUIRE(first.verdict == ClaimVerdict::Acquired);
    CHECK(keeper.acquire(request()).verdict == ClaimVerdict::InDoubt);
    REQUIRE(keeper.finish(first.ticket, {200, "application/json", "done"}).ok());
    const ClaimDecision again = keeper.acquire(request("digest", "b-1"));
    CHECK(again.verdict == ClaimVerdict::Replay);
    CHECK(again.answer.body == "done");
    CHECK(keeper.acquire(request("another")).verdict == ClaimVerdict::BodyMismatch);
}

TEST_CASE("a lost answer is resolved by reading the row")
{
    FakeTable table;
    ClaimKeeper keeper(table);
    bool lost = false;
    table.nextFault = [&] {
        return std::exchange(lost, true) ? TableFault::None : TableFault::LostAfter;
    };
    CHECK(keeper.acquire(request()).verdict == ClaimVerdict::Acquired);
}

TEST_CASE("a claim of a dead holder is never taken over")
{
    FakeTable table;
    ClaimKeeper keeper(table);
    REQUIRE(keeper.acquire(request("digest", "dead-1")).verdict == ClaimVerdict::Acquired);
    const ClaimDecision other = keeper.acquire(request("digest", "b-1"));
    CHECK(other.verdict == ClaimVerdict::InDoubt);
    CHECK(other.holder == "dead-1");
}

// Guards against processes that end because of one row of another writer, and against a second run.
TEST_CASE("a claim that can't be read is taken by nobody")
{
    for (const char *odd : {"", "[]", "7", R"({"state":7})", R"({"state":"claimed","holder":[]})",
                            R"({"state":"done","status":"200"})"}) {
        CAPTURE(odd);
        FakeTable table;
        ClaimKeeper keeper(table);
        REQUIRE(keeper.acquire(request()).verdict == ClaimVerdict::Acquired);
        table.rows.begin()->second.value = odd;
        const ClaimVerdict verdict = keeper.acquire(request()).verdict;
        CHECK(verdict != ClaimVerdict::Acquired);
        CHECK(verdict != ClaimVerdict::Replay);
    }
}

TEST_CASE("a released claim can be acquired again, by one")
{
    FakeTable table;
    ClaimKeeper keeper(table);
    const ClaimDecision first = keeper.acquire(request());
    REQUIRE(keeper.release(first.ticket).ok());
    CHECK(keeper.acquire(request()).verdict == ClaimVerdict::Acquired);
    CHECK(keeper.acquire(request()).verdict == ClaimVerdict::InDoubt);
}

TEST_CASE(
    "releasing an attempt whose write is still on its way keeps that write from taking effect")
{
    FakeTable table;
    ClaimKeeper keeper(table);
    table.nextFault = [] { return TableFault::Late; };
    const ClaimDecision attempt = keeper.acquire(request());
    REQUIRE(attempt.verdict == ClaimVerdict::Unavailable);
    table.nextFault = [] { return TableFault::None; };
    REQUIRE(keeper.release(attempt.ticket).ok());
    table.deliverLate();
    CHECK(keeper.acquire(request()).verdict == ClaimVerdict::Acquired);
}

TEST_CASE("over any faults a key runs at most once, and what was refused as not run did not run")
{
    rc::prop("attempts at several instances", [] {
        FakeTable table;
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        table.nextFault = [&] {
            const unsigned draw = random() % 8;
            return draw == 0 ? TableFault::LostBefore
                : draw == 1  ? TableFault::LostAfter
                : draw == 2  ? TableFault::Late
                             : TableFault::None;
        };
        ClaimKeeper keeper(table);
        int runs = 0;
        std::vector<ClaimTicket> unavailable;
        const int attempts = *rc::gen::inRange(1, 12);
        for (int attempt = 0; attempt < attempts; ++attempt) {
            const ClaimDecision decision =
                keeper.acquire(request("digest", "i-" + std::to_string(attempt % 3)));
            if (decision.verdict == ClaimVerdict::Acquired) {
                const unsigned fate = random() % 4;
                if (fate == 0) {
                    (void)keeper.release(decision.ticket); // No upstream took a byte.
                } else {
                    ++runs;
                    if (fate > 1) {
                        (void)keeper.finish(decision.ticket, {200, "", "ok"});
                    } // Else the holder died after the run.
                }
            } else if (decision.verdict == ClaimVerdict::Unavailable) {
                unavailable.push_back(
                    decision.ticket); // Refused as not run: it must never count as run.
            }
            if (random() % 3 == 0) {
                table.deliverLate();
            }
            if (!unavailable.empty() && random() % 2 == 0) {
                (void)keeper.release(unavailable.back());
            }
        }
        RC_ASSERT(runs <= 1);
    });
}
