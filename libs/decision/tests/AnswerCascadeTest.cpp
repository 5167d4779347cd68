// Tests when a request is escalated to the large model: by confidence, worth of the answer and
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

/// Records first tokens of the large model after `took`, five per second for `length`.
void load(AnswerCascade &cascade, ManualClock &clock, Duration took, Duration length)
{
    for (Duration passed{}; passed < length; passed += milliseconds(200)) {
        clock.advance(milliseconds(200));
        cascade.onLargeFirstToken(took, kGoal);
    }
}

bool escalates(AnswerCascade &cascade, const CascadeRequest &request)
{
    return cascade.decide(request) == CascadeDecision::Escalate;
}

} // namespace

TEST_CASE(
    "with idle engines an answer of low confidence is escalated, one of high confidence is kept")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    CHECK(escalates(cascade, plan(20)));
    CHECK(escalates(cascade, answer(20)));
    CHECK(escalates(cascade, summary(10)));
    CHECK_FALSE(escalates(cascade, plan(100)));
    CHECK_FALSE(escalates(cascade, answer(90)));
    CHECK_FALSE(escalates(cascade, summary(70)));
}

TEST_CASE("an answer of high confidence is kept even where the large model costs nothing")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    CascadeRequest free = plan(95);
    free.costPerThousand = 0;
    CHECK_FALSE(escalates(cascade, free));
    free.confidence = 60;
    CHECK(escalates(cascade, free));
}

TEST_CASE("under load the requests with the least gain per unit of work stop escalating first, "
          "plans last")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    int summariesUntil = -1;
    int answersUntil = -1;
    int plansUntil = -1;
    for (int step = 0; step < 60; ++step) {
        load(cascade, clock, seconds(4), milliseconds(200));
        summariesUntil = escalates(cascade, summary(10)) ? step : summariesUntil;
        answersUntil = escalates(cascade, answer(10)) ? step : answersUntil;
        plansUntil = escalates(cascade, plan(10)) ? step : plansUntil;
    }
    CHECK(summariesUntil < answersUntil);
    CHECK(answersUntil < plansUntil);
    CHECK(plansUntil < 59);
}

TEST_CASE("slow streams raise the price of engine time, even though first tokens are early")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    const auto simulateStreams = [&](Duration perToken) {
        for (int step = 0; step < 100; ++step) {
            clock.advance(milliseconds(100));
            cascade.onLargeFirstToken(milliseconds(300), kGoal);
            cascade.onStreamRate(perToken * 48, 48);
            cascade.onAnswered("answers", 830, 740, 290, seconds(20));
        }
    };
    simulateStreams(milliseconds(10)); // An answer takes 3 s of the 20 s allowed.
    CHECK(escalates(cascade, summary(10)));
    // An answer takes 12 s, so that a lost instance loses many answers.
    simulateStreams(milliseconds(40));
    CHECK_FALSE(escalates(cascade, summary(10)));
    simulateStreams(milliseconds(10));
    CHECK(escalates(cascade, summary(10)));
}

TEST_CASE("after an overload the large model is used again within 8 seconds")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    load(cascade, clock, seconds(6), seconds(10));
    CHECK_FALSE(escalates(cascade, plan(10)));
    load(cascade, clock, milliseconds(300), seconds(8));
    CHECK(escalates(cascade, plan(10)));
}

TEST_CASE("the price falls while the large model gets no requests")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    load(cascade, clock, seconds(6), seconds(10));
    for (int step = 0; step < 100; ++step) {
        clock.advance(milliseconds(100));
        cascade.price();
    }
    CHECK(escalates(cascade, answer(10)));
}

TEST_CASE("a request that the large model could not finish in time is not escalated")
{
    ManualClock clock;
    AnswerCascade cascade({}, clock);
    for (int count = 0; count < 40; ++count) {
        clock.advance(milliseconds(200));
        cascade.onLargeFirstToken(milliseconds(500), kGoal);
        cascade.onStreamRate(seconds(6), 300); // 20 ms per token.
    }
    CascadeRequest longRequest = answer(10);
    longRequest.maxOutputTokens = 2000;
    longRequest.estimatedOutputTokens = 1500;
    CHECK_FALSE(escalates(cascade, longRequest));
    longRequest.estimatedOutputTokens = 200;
    CHECK(escalates(cascade, longRequest));
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
    small.promptTokens = 8'000; // Expensive to prefill, with little to gain.
    small.uncachedTokens = 8'000;
    CHECK_FALSE(escalates(cascade, small));
    CHECK(escalates(cascade, answer(52)));
}
