// Tests which prompt parts are quarantined when upstreams crash, on a paused clock.
#include <decision/PromptQuarantine.h>

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> kSound{"system", "report"};
const std::vector<std::string> kDeadly{"system", "deadly"};

struct QuarantineFixture
{
    ManualClock clock;
    PromptQuarantine quarantine{{}, this->clock};

    /// Sends a request that crashes its upstream.
    std::vector<PromptPartReport> crash(const std::vector<std::string> &parts)
    {
        return this->quarantine.onCrash(parts, this->quarantine.chains(parts), true);
    }
    bool isQuarantined(const std::vector<std::string> &parts) const
    {
        return this->quarantine.findQuarantined(parts).has_value();
    }
};

} // namespace

// Guards against requests of one kind that crash one upstream after the other, no two alike.
TEST_CASE("a prompt part that crashes three upstreams in turn is quarantined, its neighbours not")
{
    QuarantineFixture fixture;
    fixture.quarantine.onAnswered(kSound);
    for (int count = 0; count < 3; ++count) {
        CHECK_FALSE(fixture.isQuarantined(kDeadly));
        fixture.crash(kDeadly);
        fixture.clock.advance(milliseconds(100));
    }
    CHECK(fixture.quarantine.findQuarantined(kDeadly)
          == "deadly"); // "system" is known to be sound.
    CHECK_FALSE(fixture.isQuarantined(kSound));
}

// Guards against rejecting a whole route because its prompts were running where a rack failed.
TEST_CASE("upstreams that crash at the same moment are no evidence against their prompts")
{
    QuarantineFixture fixture;
    const PromptQuarantine::PromptChains sent = fixture.quarantine.chains(kSound);
    for (int count = 0; count < 40; ++count) {
        fixture.quarantine.onCrash(kSound, sent, true);
    }
    fixture.clock.advance(seconds(1));
    CHECK_FALSE(fixture.isQuarantined(kSound));
    CHECK(fixture.quarantine.chains(kSound) == PromptQuarantine::PromptChains{2, 2});
}

// Guards against a quarantine that never comes because requests wait long where others crash.
TEST_CASE("crashes that are apart make a chain also of requests that were sent before")
{
    QuarantineFixture fixture;
    fixture.quarantine.onAnswered(std::vector<std::string>{"system"});
    const PromptQuarantine::PromptChains sent = fixture.quarantine.chains(kDeadly);
    for (int count = 0; count < 3; ++count) {
        CHECK_FALSE(fixture.isQuarantined(kDeadly));
        fixture.quarantine.onCrash(kDeadly, sent, true);
        fixture.clock.advance(milliseconds(300));
    }
    CHECK(fixture.isQuarantined(kDeadly));
}

// Guards against prompts that are rejected because they waited at upstreams that others crashed.
TEST_CASE("a crash while a prompt may have been waiting counts for half")
{
    QuarantineFixture fixture;
    fixture.quarantine.onAnswered(std::vector<std::string>{"system"});
    for (int count = 0; count < 6; ++count) {
        CHECK_FALSE(fixture.isQuarantined(kSound));
        fixture.quarantine.onCrash(kSound, fixture.quarantine.chains(kSound), false);
    }
    CHECK(fixture.isQuarantined(kSound));
}

TEST_CASE("an answer clears a part, before and after its quarantine")
{
    QuarantineFixture fixture;
    fixture.crash(kSound);
    fixture.crash(kSound);
    CHECK(fixture.quarantine.onAnswered(kSound).size() == 2);
    CHECK(fixture.quarantine.onAnswered(kSound).empty());
    fixture.crash(kSound);
    fixture.crash(kSound);
    fixture.clock.advance(seconds(1));
    CHECK_FALSE(fixture.isQuarantined(kSound));
    fixture.crash(kSound);
    fixture.clock.advance(seconds(1));
    CHECK(fixture.isQuarantined(kSound));
    const auto reports = fixture.quarantine.onAnswered(kSound); // It was sent before.
    REQUIRE(reports.size() == 2);
    CHECK(reports[0].isQuarantined);
    CHECK(reports[0].isCleared);
    CHECK_FALSE(fixture.isQuarantined(kSound));
}

// Guards against instances that each need crashes of their own before they stop.
TEST_CASE("crashes that different instances see make one chain")
{
    ManualClock clock;
    std::vector<PromptQuarantine> instances(3, PromptQuarantine({}, clock));
    for (PromptQuarantine &crashing : instances) {
        for (const PromptPartReport &report :
             crashing.onCrash(kDeadly, crashing.chains(kDeadly), true)) {
            for (PromptQuarantine &other : instances) {
                other.onReport(report);
            }
        }
    }
    clock.advance(milliseconds(500));
    for (PromptQuarantine &instance : instances) {
        CHECK(instance.findQuarantined(kDeadly).has_value());
        instance.onReport({"system", 6, true, false});
        CHECK(instance.findQuarantined(kDeadly) == "deadly");
        CHECK_FALSE(instance.findQuarantined(kSound));
    }
}

TEST_CASE("an instance that starts later takes a quarantine over, and its end")
{
    QuarantineFixture fixture;
    fixture.quarantine.onReport({"deadly", 10, false, true});
    fixture.clock.advance(milliseconds(500));
    CHECK(fixture.isQuarantined(kDeadly));
    CHECK(fixture.quarantine.chains(kDeadly) == PromptQuarantine::PromptChains{0, 10});
    fixture.quarantine.onReport({"deadly", 10, true, true});
    CHECK_FALSE(fixture.isQuarantined(kDeadly));
}

TEST_CASE("a quarantine ends after its retention, and what is remembered has a bound")
{
    ManualClock clock;
    PromptQuarantine quarantine({.maxParts = 8}, clock);
    for (int count = 0; count < 3; ++count) {
        quarantine.onCrash(kDeadly, quarantine.chains(kDeadly), true);
    }
    clock.advance(seconds(1));
    CHECK(quarantine.findQuarantined(kDeadly).has_value());
    clock.advance(std::chrono::minutes(2));
    CHECK_FALSE(quarantine.findQuarantined(kDeadly).has_value());
    for (int part = 0; part < 100; ++part) {
        const std::vector<std::string> one{std::to_string(part)};
        clock.advance(milliseconds(1));
        quarantine.onCrash(one, quarantine.chains(one), true);
        quarantine.onAnswered({});
    }
    CHECK(quarantine.chains(std::vector<std::string>{"0"}) == PromptQuarantine::PromptChains{0});
    CHECK(quarantine.chains(std::vector<std::string>{"99"}) == PromptQuarantine::PromptChains{2});
}

TEST_CASE("the latest quarantine is known from its beginning to its end")
{
    QuarantineFixture fixture;
    CHECK_FALSE(fixture.quarantine.latestQuarantine());
    fixture.quarantine.onAnswered(kSound);
    for (int count = 0; count < 3; ++count) {
        fixture.crash(kDeadly);
        fixture.clock.advance(milliseconds(300));
    }
    const TimePoint began = fixture.clock.now() - milliseconds(300);
    CHECK(fixture.quarantine.latestQuarantine() == began);
    fixture.clock.advance(std::chrono::minutes(2));
    CHECK_FALSE(fixture.quarantine.latestQuarantine());
}
