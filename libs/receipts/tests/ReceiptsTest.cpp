// Receipts: one for each request, whatever is repeated, lost or flushed by two.
#include <receipts/Billing.h>
#include <receipts/PeerCopies.h>
#include <receipts/ReceiptBook.h>

#include <FakeTable.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>
#include <set>

using namespace basilnotch;
using basilnotch::testing::FakeTable;
using basilnotch::testing::TableFault;

namespace {

Receipt receipt(int number, ReceiptState state)
{
    return {"r" + std::to_string(number),        "w", "m", "v1", state, 10,
            state == ReceiptState::Open ? 0 : 5, 1.0};
}

/// One flush as ReceiptWriter does it.
void flush(ReceiptBook &book, FakeTable &table)
{
    book.seal();
    for (const ReceiptBatch &batch : book.sealed(8)) {
        const auto result = table.writeOne({batch.key(), encodeReceipts(batch.receipts), 0});
        if (!result.ok()) {
            return;
        }
        book.flushed(batch.number, *decodeReceipts(result->row.value));
    }
}

Bill billOf(const FakeTable &table)
{
    Bill bill;
    for (const auto &[key, row] : table.rows) {
        const auto receipts = decodeReceipts(row.value);
        REQUIRE(receipts.ok());
        for (const Receipt &item : *receipts) {
            bill.add(item);
        }
    }
    return bill;
}

} // namespace

TEST_CASE("receipts survive the way to the table and back")
{
    const std::vector<Receipt> some{receipt(1, ReceiptState::Open),
                                    receipt(2, ReceiptState::Cancelled)};
    CHECK(*decodeReceipts(encodeReceipts(some)) == some);
    CHECK_FALSE(decodeReceipts("{}").ok());
    CHECK_FALSE(decodeReceipts("[1]").ok());
}

// Guards against processes that end because of one row of another writer.
TEST_CASE("receipts with a field of another type are refused")
{
    for (const char *odd :
         {R"([{"id":7}])", R"([{"id":"r","workspace":[]}])", R"([{"id":"r","prompt":"7"}])",
          R"([{"id":"r","amount":null}])", R"([{"id":null}])", R"([{}])", R"([[]])"}) {
        CAPTURE(odd);
        CHECK_FALSE(decodeReceipts(odd).ok());
    }
}

TEST_CASE("the bill does not depend on order or repetition")
{
    rc::prop("shuffled and repeated", [] {
        std::vector<Receipt> records;
        for (int number = 0; number < 10; ++number) {
            records.push_back(receipt(number, ReceiptState::Open));
            const auto end = *rc::gen::element(ReceiptState::Abandoned, ReceiptState::Cancelled,
                                               ReceiptState::Finished);
            records.push_back(receipt(number, end));
        }
        Bill once;
        for (const Receipt &record : records) {
            once.add(record);
        }
        std::vector<Receipt> twice = records;
        twice.insert(twice.end(), records.begin(), records.end());
        std::shuffle(twice.begin(), twice.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
        Bill shuffled;
        for (const Receipt &record : twice) {
            shuffled.add(record);
        }
        RC_ASSERT(once.receipts() == shuffled.receipts());
        RC_ASSERT(once.open().empty());
    });
}

TEST_CASE("the owner and its peer flush, answers are lost, and each request is billed once")
{
    rc::prop("owner, peer and a lossy table", [] {
        FakeTable table;
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        table.nextFault = [&] {
            const unsigned draw = random() % 4;
            return draw == 0 ? TableFault::LostBefore
                : draw == 1  ? TableFault::LostAfter
                             : TableFault::None;
        };
        ReceiptBook book("a-1", 1000);
        PeerCopies peer(1000);
        const int requests = *rc::gen::inRange(1, 30);
        std::set<std::string> opened;
        for (int number = 0; number < requests; ++number) {
            RC_ASSERT(book.append(receipt(number, ReceiptState::Open)).has_value());
            opened.insert(receipt(number, ReceiptState::Open).requestId);
            if (random() % 3 != 0) {
                for (const ReceiptBatch &part : book.takeUncopied()) {
                    RC_ASSERT(peer.hold(part));
                }
                book.copied(book.copyCursor());
            }
            if (random() % 4 == 0) {
                flush(book, table);
            }
            if (random() % 5 == 0) {
                // The peer takes the owner for dead and flushes its copies under the same keys.
                for (const ReceiptBatch &batch : peer.copiesOf("a-1")) {
                    (void)table.writeOne({batch.key(), encodeReceipts(batch.receipts), 0});
                }
            }
            book.append(receipt(number, ReceiptState::Finished));
        }
        table.nextFault = [] { return TableFault::None; };
        for (int round = 0; round < 20 && book.waiting() > 0; ++round) {
            flush(book, table);
        }
        RC_ASSERT(book.waiting() == 0u);
        const Bill bill = billOf(table);
        RC_ASSERT(bill.receipts().size() == opened.size());
        RC_ASSERT(bill.open().empty());
    });
}

TEST_CASE("the gate opens when the table or the peer has the record, not before")
{
    ReceiptBook book("a-1", 10);
    const auto first = book.append(receipt(1, ReceiptState::Open));
    CHECK(book.safePosition() < *first);
    book.takeUncopied();
    CHECK(book.safePosition() < *first);
    book.copied(book.copyCursor());
    CHECK(book.safePosition() >= *first);
    const auto second = book.append(receipt(2, ReceiptState::Open));
    CHECK(book.safePosition() < *second);
    FakeTable table;
    flush(book, table);
    CHECK(book.safePosition() >= *second);
}

TEST_CASE("a full book refuses new requests and still takes closings")
{
    ReceiptBook book("a-1", 2);
    CHECK(book.append(receipt(1, ReceiptState::Open)));
    CHECK(book.append(receipt(2, ReceiptState::Open)));
    CHECK_FALSE(book.append(receipt(3, ReceiptState::Open)));
    CHECK(book.append(receipt(1, ReceiptState::Finished)));
}

TEST_CASE("after a change of peer everything that is not in the table is handed out again")
{
    ReceiptBook book("a-1", 10);
    book.append(receipt(1, ReceiptState::Open));
    CHECK(book.takeUncopied().size() == 1);
    CHECK(book.takeUncopied().empty());
    book.restartCopies();
    CHECK(book.takeUncopied().size() == 1);
}

TEST_CASE("peer copies are bounded and released in order")
{
    PeerCopies peer(2);
    CHECK(peer.hold({"a-1", 1, {receipt(1, ReceiptState::Open)}}));
    CHECK(peer.hold({"a-1", 2, {receipt(2, ReceiptState::Open)}}));
    CHECK_FALSE(peer.hold({"a-1", 3, {receipt(3, ReceiptState::Open)}}));
    peer.release("a-1", 1);
    CHECK(peer.size() == 1);
    CHECK(peer.copiesOf("a-1").front().number == 2);
}

TEST_CASE("what a dead instance left open is closed without a charge")
{
    const std::vector<Receipt> records{receipt(1, ReceiptState::Open),
                                       receipt(2, ReceiptState::Open),
                                       receipt(2, ReceiptState::Finished)};
    const std::vector<Receipt> closing = closeAbandoned(records);
    REQUIRE(closing.size() == 1);
    CHECK(closing.front().requestId == "r1");
    CHECK(closing.front().state == ReceiptState::Abandoned);
    CHECK(closing.front().outputTokens == 0);
}
