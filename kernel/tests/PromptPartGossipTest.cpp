// Tests what instances that start later learn of quarantined prompt parts, on a paused clock.
#include "site/PromptPartGossip.h"

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr Duration kRetention = minutes(2);
const std::vector<std::string> kParts{"system", "deadly"};

struct Instance
{
    Instance(const std::string &name, const Clock &clock)
        : gossip({name, name + "-1", {}, {}, "d", MemberState::Alive}, 2, {}, clock, 1)
        , parts(gossip, clock, kRetention)
        , quarantine({}, clock)
    { }

    void crash()
    {
        for (const PromptPartReport &report :
             this->quarantine.onCrash(kParts, this->quarantine.chains(kParts), true)) {
            this->parts.announce(report);
        }
    }
    void answer()
    {
        for (const PromptPartReport &report : this->quarantine.onAnswered(kParts)) {
            this->parts.announce(report);
        }
    }
    /// Takes over the rumors that a repair brings.
    void learnFrom(const Instance &other)
    {
        other.gossip.store().forEach(RumorKind::Quarantine, [this](const Rumor &rumor) {
            this->gossip.store().merge(rumor);
        });
        this->parts.processRumors(
            [this](const PromptPartReport &report) { this->quarantine.onReport(report); });
    }
    bool isQuarantined() const { return this->quarantine.findQuarantined(kParts).has_value(); }

    Gossip gossip;
    PromptPartGossip parts;
    PromptQuarantine quarantine;
};

} // namespace

// Guards against reports that instances take for another kind of evidence than they are.
TEST_CASE("an instance that starts learns on what evidence a part is quarantined")
{
    ManualClock clock;
    Instance old("old", clock);
    old.parts.announce({"deadly", 6, false, true, PromptEvidence::WholeAnswer, true});
    old.parts.announce({"deadly", 8, false, true, PromptEvidence::Beginning, false});
    Instance starting("starting", clock);
    for (const RumorKind kind : {RumorKind::Quarantine, RumorKind::Crash}) {
        old.gossip.store().forEach(
            kind, [&](const Rumor &rumor) { starting.gossip.store().merge(rumor); });
    }
    int whole = 0;
    int beginning = 0;
    starting.parts.processRumors([&](const PromptPartReport &report) {
        CHECK(report.part == "deadly");
        CHECK_FALSE(report.isCleared);
        const bool isWhole = report.basis == PromptEvidence::WholeAnswer;
        CHECK(report.evidence == (isWhole ? 6 : 8));
        CHECK(report.isOnlySuspect == isWhole);
        (isWhole ? whole : beginning) += 1;
    });
    CHECK(whole == 2); // One rumor is forgotten, the other is repaired.
    CHECK(beginning == 2);
}

// Guards against a second quarantine that instances which start during it never learn of.
TEST_CASE("an instance that starts learns of each quarantine of a part, and of its end")
{
    ManualClock clock;
    Instance old("old", clock);
    const auto isKnownToStarting = [&] {
        Instance starting("starting", clock);
        starting.learnFrom(old);
        clock.advance(seconds(1));
        return starting.isQuarantined();
    };
    for (int round = 0; round < 3; ++round) {
        INFO("round " << round);
        // More crashes in the first round than a quarantine needs.
        for (int crashes = 0; crashes < (round == 0 ? 5 : 3); ++crashes) {
            CHECK_FALSE((crashes < 3 && isKnownToStarting()));
            old.crash();
            clock.advance(seconds(1));
        }
        CHECK(old.isQuarantined());
        CHECK(isKnownToStarting());
        if (round == 1) {
            old.answer();
        } else {
            clock.advance(kRetention);
            old.parts.expire();
        }
        CHECK_FALSE(old.isQuarantined());
        CHECK_FALSE(isKnownToStarting());
    }
}
