// Tests which prompt parts are quarantined when upstreams crash after the beginning of an answer,
// on a paused clock.
#include <decision/PromptGuard.h>

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

using Parts = std::vector<std::string>;
using CrashedAt = PromptGuard::CrashedAt;

const Parts kSound{"system", "report"};
const Parts kDeadly{"system", "deadly"};
constexpr Duration kApart = milliseconds(300); ///< Crashes so far apart have several causes.

struct GuardFixture
{
    ManualClock clock;
    PromptGuard guard{minutes(2), this->clock};

    /// An upstream gives some events and crashes.
    std::vector<PromptPartReport> breakOff(const Parts &parts, const std::string &request)
    {
        this->guard.onBegun(parts);
        const auto reports = this->guard.onCrash(parts, this->guard.chains(parts), CrashedAt::Later,
                                                 request, "u" + request);
        this->clock.advance(kApart);
        return reports;
    }
    bool isQuarantined(const Parts &parts) const
    {
        return this->guard.findQuarantined(parts).has_value();
    }
};

} // namespace

// Guards against a deadly part that the events of its answers, however many, clear of suspicion.
TEST_CASE("a part whose answers always break off with a crash is quarantined after three requests")
{
    GuardFixture fixture;
    fixture.guard.onAnswered(kSound);
    for (int request = 0; request < 3; ++request) {
        CHECK_FALSE(fixture.isQuarantined(kDeadly));
        fixture.breakOff(kDeadly, std::to_string(request));
    }
    CHECK(fixture.guard.findQuarantined(kDeadly) == "deadly");
    CHECK_FALSE(fixture.isQuarantined(kSound));
}

// Guards against a deadly part that is found at some event number only.
TEST_CASE("crashes at the beginning of an answer and later ones are evidence together")
{
    GuardFixture fixture;
    fixture.guard.onAnswered(kSound);
    fixture.breakOff(kDeadly, "0");
    fixture.guard.onCrash(kDeadly, fixture.guard.chains(kDeadly), CrashedAt::Beginning, "1", "u1");
    fixture.clock.advance(kApart);
    CHECK_FALSE(fixture.isQuarantined(kDeadly));
    fixture.breakOff(kDeadly, "2");
    CHECK(fixture.isQuarantined(kDeadly));
}

// Guards against sessions that are refused because their stream was broken off again and again.
TEST_CASE("a request whose answer breaks off many times counts once against its parts")
{
    GuardFixture fixture;
    fixture.guard.onAnswered(Parts{"system"});
    const Parts session{"system", "first turn"};
    for (int repeat = 0; repeat < 20; ++repeat) {
        fixture.breakOff(session, "second turn");
        CHECK_FALSE(fixture.isQuarantined(session));
    }
}

// Guards against a route that is refused because upstreams crash in a series.
TEST_CASE("a part that was answered lately is not blamed for answers that break off")
{
    GuardFixture fixture;
    const Parts single{"system"};
    fixture.guard.onAnswered(single);
    for (int crash = 0; crash < 60; ++crash) {
        fixture.breakOff(single, "a" + std::to_string(crash));
        fixture.breakOff({"system", "b" + std::to_string(crash)}, "b" + std::to_string(crash));
        CHECK_FALSE(fixture.isQuarantined(single));
        if (crash % 30 == 0) {
            fixture.guard.onAnswered(single);
        }
    }
}

// Guards against refused sessions where each of their answers is broken off once and resumed.
TEST_CASE("a whole answer clears a part, the events of another one do not")
{
    GuardFixture fixture;
    fixture.guard.onAnswered(Parts{"system"});
    const Parts session{"system", "first turn"};
    for (int turn = 0; turn < 10; ++turn) {
        fixture.breakOff(session, std::to_string(2 * turn));
        fixture.breakOff(session, std::to_string(2 * turn + 1));
        fixture.guard.onAnswered(session);
        fixture.clock.advance(seconds(31)); // It is not trusted any more.
        fixture.guard.onAnswered(Parts{"system"});
        CHECK_FALSE(fixture.isQuarantined(session));
    }
    fixture.breakOff(session, "a");
    fixture.guard.onBegun(session);
    fixture.breakOff(session, "b");
    fixture.guard.onBegun(session);
    fixture.breakOff(session, "c");
    CHECK(fixture.isQuarantined(session));
}

// Guards against a route that is refused by an instance that started during a series of crashes.
TEST_CASE("an instance without whole answers of its own waits for those of the others")
{
    ManualClock clock;
    PromptGuard started(minutes(2), clock);
    PromptGuard old(minutes(2), clock);
    const Parts single{"system"};
    old.onAnswered(single);
    std::vector<PromptPartReport> reports;
    for (int crash = 0; crash < 3; ++crash) {
        for (const PromptPartReport &report : started.onCrash(
                 single, started.chains(single), CrashedAt::Later, std::to_string(crash), "u")) {
            old.onReport(report);
        }
        clock.advance(kApart);
    }
    CHECK_FALSE(started.findQuarantined(single));
    CHECK_FALSE(old.findQuarantined(single));
    clock.advance(seconds(1));
    for (const PromptPartReport &report : old.onAnswered(single)) {
        started.onReport(report);
    }
    clock.advance(seconds(10));
    CHECK_FALSE(started.findQuarantined(single));
    CHECK_FALSE(old.findQuarantined(single));
}

// Guards against a rack whose end quarantines the prompts that were running there.
TEST_CASE("answers that break off at the same moment count once against a part they share")
{
    GuardFixture fixture;
    const Parts single{"system"};
    const PromptGuard::Chains sent = fixture.guard.chains(single);
    for (int request = 0; request < 40; ++request) {
        fixture.guard.onCrash(single, sent, CrashedAt::Later, std::to_string(request), "u");
    }
    fixture.clock.advance(seconds(10));
    CHECK_FALSE(fixture.isQuarantined(single));
}

// Guards against crashes that each instance counts for itself.
TEST_CASE("instances that hear of each other's broken answers quarantine a part together")
{
    ManualClock clock;
    std::vector<PromptGuard> instances(3, PromptGuard(minutes(2), clock));
    for (PromptGuard &instance : instances) {
        instance.onAnswered(kSound);
    }
    int request = 0;
    for (PromptGuard &crashing : instances) {
        for (const PromptPartReport &report :
             crashing.onCrash(kDeadly, crashing.chains(kDeadly), CrashedAt::Later,
                              std::to_string(request++), "u")) {
            for (PromptGuard &other : instances) {
                other.onReport(report);
            }
        }
        clock.advance(kApart);
    }
    clock.advance(milliseconds(1500));
    for (const PromptGuard &instance : instances) {
        CHECK(instance.findQuarantined(kDeadly) == "deadly");
        CHECK_FALSE(instance.findQuarantined(kSound));
    }
}

// Guards against a flood of reports between the instances where many upstreams crash at once.
TEST_CASE("upstreams that crash at the same moment make few reports of broken answers")
{
    GuardFixture fixture;
    std::size_t reports = 0;
    for (int request = 0; request < 400; ++request) {
        const Parts own{"turn" + std::to_string(request)};
        reports += fixture.guard
                       .onCrash(own, fixture.guard.chains(own), CrashedAt::Later,
                                std::to_string(request), "u" + std::to_string(request % 40))
                       .size();
        fixture.clock.advance(milliseconds(2));
    }
    CHECK(reports > 0);
    CHECK(reports <= 8);
}
