// Records of roll-outs: what is written is read, and what can't be read is refused.
#include "site/RolloutRecord.h"

#include <catch2/catch.hpp>

#include <string>

using namespace basilnotch;

namespace {

constexpr char kRecord[] = R"({"abandoned":["v0"],"service":"models","to":"v2","order":7,)"
                           R"("phase":0,"startedNs":5,"deadlineNs":6,"approvedNs":8})";

std::string with(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a roll-out that is written is read")
{
    const auto state = parseRolloutState(kRecord);
    REQUIRE(state);
    CHECK(state->order == 7);
    CHECK(state->approvedAt == Duration(8));
    CHECK(parseRolloutState(serializeRolloutState(*state))->abandoned == state->abandoned);
}

// Guards against processes that end, at each start again, because of a number in one record.
TEST_CASE("a roll-out with a number that does not fit is refused")
{
    for (const std::string name : {"order", "phase", "startedNs", "deadlineNs"}) {
        const std::string field = "\"" + name + "\":";
        const std::string value(1, kRecord[std::string(kRecord).find(field) + field.size()]);
        for (const std::string odd : {"1e300", "-1e300", "1e19", "18446744073709551615", "-1",
                                      "0.5", "\"7\"", "null", "[]"}) {
            CAPTURE(name, odd);
            CHECK_FALSE(parseRolloutState(with(kRecord, field + value, field + odd)));
        }
    }
    // Sums with such a time would not fit.
    CHECK_FALSE(parseRolloutState(with(kRecord, R"("startedNs":5)", R"("startedNs":9e18)")));
    CHECK(parseRolloutState(with(kRecord, R"("order":7)", R"("order":9223372036854775807)")));
    const auto state =
        parseRolloutState(with(kRecord, R"("approvedNs":8)", R"("approvedNs":1e300)"));
    REQUIRE(state);
    CHECK_FALSE(state->approvedAt);
}
