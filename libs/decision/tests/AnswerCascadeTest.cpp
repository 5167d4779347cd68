// When a small model's answer is dropped for the large model's: by confidence, by worth and by
// load.
#include <decision/AnswerCascade.h>

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kGoal = seconds(4);

CascadeRequest plan(int confidence)
{
    return {"plans", 0, 12'000, 6'600, 960, 400, seconds(24), 0.26, confidence};
}
CascadeRequest answer(int confidence)
{
    return {"answers", 1, 830, 630, 740, 0, seconds(19), 0.26, confidence};
}
CascadeRequest summary(int confidence)
{
    return {"summaries", 2, 2'400, 1'800, 60, 0, seconds(4), 0.26, confidence};
}

/// First tokens of the large model that take `took`, five a second.
void load(AnswerCascade &cascade, ManualClock &clock, Duration took, Duration length)
{
    for (Duration passed{}; passed < length; passed += milliseconds(200)) {
        clock.advance(milliseconds(200));
        cascade.onLargeFirstToken(took, kGoal);
    }
}

bool wantsLarge(AnswerCascade &cascade, const CascadeRequest &question)
{
    return cascade.decide(question) == CascadeDecision::Escalate;
}

} // namespace

TEST_CASE("with idle engines an unsure answer is asked again, a sure one is kept")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    CHECK(wantsLarge(cascade, plan(20)));
    CHECK(wantsLarge(cascade, answer(20)));
    CHECK(wantsLarge(cascade, summary(10)));
    CHECK_FALSE(wantsLarge(cascade, plan(100)));
    CHECK_FALSE(wantsLarge(cascade, answer(90)));
    CHECK_FALSE(wantsLarge(cascade, summary(70)));
}

TEST_CASE("a sure answer is kept even where the large model costs nothing")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    CascadeRequest free = plan(95);
    free.costPerThousand = 0;
    CHECK_FALSE(wantsLarge(cascade, free));
    free.confidence = 60;
    CHECK(wantsLarge(cascade, free));
}

TEST_CASE("a rush: what gains least for its work gives way first, the plans last")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    int summariesUntil = -1;
    int answersUntil = -1;
    int plansUntil = -1;
    for (int step = 0; step < 60; ++step) {
        load(cascade, clock, seconds(4), milliseconds(200));
        summariesUntil = wantsLarge(cascade, summary(10)) ? step : summariesUntil;
        answersUntil = wantsLarge(cascade, answer(10)) ? step : answersUntil;
        plansUntil = wantsLarge(cascade, plan(10)) ? step : plansUntil;
    }
    CHECK(summariesUntil < answersUntil);
    CHECK(answersUntil < plansUntil);
    CHECK(plansUntil < 59);
}

TEST_CASE("streams that crawl make engine time dear, though first tokens come at once")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    const auto crawl = [&](Duration perToken) {
        for (int step = 0; step < 100; ++step) {
            clock.advance(milliseconds(100));
            cascade.onLargeFirstToken(milliseconds(300), kGoal);
            cascade.onStreamRate(perToken * 48, 48);
            cascade.onAnswered("answers", 830, 740, 290, seconds(20));
        }
    };
    crawl(milliseconds(10)); // An answer takes 3 s of 20.
    CHECK(wantsLarge(cascade, summary(10)));
    crawl(milliseconds(40)); // 12 s: each instance that is lost takes many with it.
    CHECK_FALSE(wantsLarge(cascade, summary(10)));
    crawl(milliseconds(10));
    CHECK(wantsLarge(cascade, summary(10)));
}

TEST_CASE("after a rush the large model is used again within some seconds")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    load(cascade, clock, seconds(6), seconds(10));
    CHECK_FALSE(wantsLarge(cascade, plan(10)));
    load(cascade, clock, milliseconds(300), seconds(8));
    CHECK(wantsLarge(cascade, plan(10)));
}

TEST_CASE("when nobody uses the large model any more, its price falls by itself")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    load(cascade, clock, seconds(6), seconds(10));
    for (int step = 0; step < 100; ++step) {
        clock.advance(milliseconds(100));
        cascade.price();
    }
    CHECK(wantsLarge(cascade, answer(10)));
}

TEST_CASE("an answer that the large model could not finish in time stays with the small one")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    for (int count = 0; count < 40; ++count) {
        clock.advance(milliseconds(200));
        cascade.onLargeFirstToken(milliseconds(500), kGoal);
        cascade.onStreamRate(seconds(6), 300); // 20 ms a token
    }
    CascadeRequest longOne = answer(10);
    longOne.maxOutputTokens = 2000;
    longOne.estimatedOutputTokens = 1500;
    CHECK_FALSE(wantsLarge(cascade, longOne));
    longOne.estimatedOutputTokens = 200;
    CHECK(wantsLarge(cascade, longOne));
}

TEST_CASE("a large request of a route is worth more than a small one")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    for (int count = 0; count < 50; ++count) {
        cascade.onAnswered("answers", 830, 740, 290, seconds(20));
    }
    CascadeRequest small = answer(52);
    small.maxOutputTokens = 10;
    small.promptTokens = 8'000; // Long to read, little to gain.
    small.uncachedTokens = 8'000;
    CHECK_FALSE(wantsLarge(cascade, small));
    CHECK(wantsLarge(cascade, answer(52)));
}
