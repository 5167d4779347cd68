// Tests that instances of different versions understand each other's datagrams on upstreams, and
// that damaged ones are refused.
#include "relay/BacklogMessage.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::milliseconds;

namespace {

PeerLoadReport someReport(TimePoint seenAt)
{
    PeerLoadReport report;
    report.upstream = 4'000'000'000U;
    report.running = 12;
    report.waiting = 3;
    report.slots = 24;
    report.pace = 0.4;
    report.measuredPace = 1.25;
    report.seenAt = seenAt;
    return report;
}

std::string packed(const nlohmann::json &envelope)
{
    std::string datagram;
    nlohmann::json::to_msgpack(envelope, datagram);
    return datagram;
}

} // namespace

TEST_CASE("load reports and ended requests pass between instances, reports with their age")
{
    ManualClock clock;
    const TimePoint seenAt = clock.now();
    clock.advance(milliseconds(70));
    const BacklogMessage message{
        BacklogStage::ToCollectors, {}, {}, {someReport(seenAt)}, {{5, 6, 2, 1, 3}}};
    ManualClock receiver;
    receiver.advance(std::chrono::hours(3));
    const auto decoded = decodeBacklog(encodeBacklog(message, clock.now()), receiver.now());
    REQUIRE(decoded.ok());
    REQUIRE(decoded->loadReports.size() == 1);
    const PeerLoadReport &report = decoded->loadReports.front();
    CHECK(report.upstream == 4'000'000'000U);
    CHECK(report.running == 12);
    CHECK(report.pace == Approx(0.4));
    CHECK(report.measuredPace == Approx(1.25));
    CHECK(receiver.now() - report.seenAt == milliseconds(70));
    REQUIRE(decoded->ended.size() == 1);
    CHECK(decoded->ended.front().count == 2);
    CHECK(decoded->ended.front().good == 1);
    CHECK(decoded->ended.front().failed == 3);
}

TEST_CASE("messages of the version before still decode, and unknown parts are skipped")
{
    const TimePoint now = ManualClock().now();
    const std::string older = packed({1, 2, {{7, 8, 9, 300}}, nlohmann::json::array({{10, 11}})});
    REQUIRE(decodeBacklog(older, now).ok());
    CHECK(decodeBacklog(older, now)->backlogUpdates.size() == 1);
    // The version before reads the backlog, which is sent without the new parts.
    const BacklogMessage backlog{
        BacklogStage::ToMembers, {{7, 8, 9, milliseconds(300)}}, {}, {}, {}};
    CHECK(nlohmann::json::from_msgpack(encodeBacklog(backlog, now)).size() == 4);
    const auto none = nlohmann::json::array();
    CHECK(decodeBacklog(packed({1, 2, none, none, none, none, "new", {{"a", 1}}}), now).ok());
}

TEST_CASE("damaged load reports are refused")
{
    const TimePoint now = ManualClock().now();
    const auto none = nlohmann::json::array();
    const auto decodes = [&](const nlohmann::json &report) {
        return decodeBacklog(packed({1, 2, none, none, nlohmann::json::array({report})}), now).ok();
    };
    CHECK(decodes({1, 2, 3, 4, 100, 0, 50}));
    CHECK_FALSE(decodes({1, 2, 3, 4, 100, 0}));
    CHECK_FALSE(decodes({1, -2, 3, 4, 100, 0, 50}));
    CHECK_FALSE(decodes({1, 2, 3, 4, 1e300, 0, 50}));
    CHECK_FALSE(decodes({1, 2'000'000'000, 3, 4, 100, 0, 50}));
    CHECK_FALSE(decodeBacklog(packed({1, 2, none, none, "text"}), now).ok());
}
