// Tests of the estimate of upstreams' load: what instances tell each other, how reports age, and
// bad input.
#include <load/LoadEstimate.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <random>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kUpstream = 7;
constexpr int kSlots = 10;

UpstreamLoad estimateOf(const LoadEstimate &estimate, std::uint32_t upstream, int live = 9)
{
    std::vector<UpstreamLoad> loads{{upstream, kSlots}, {upstream + 1, kSlots}};
    estimate.estimate(loads, seconds(1), live);
    return loads.front();
}

} // namespace

TEST_CASE("a report counts together with what has been sent since")
{
    ManualClock clock;
    LoadEstimate estimate({}, clock);
    estimate.onSent(kUpstream);
    clock.advance(milliseconds(1));
    estimate.onSample(kUpstream, {4, 1, kSlots, {}});
    clock.advance(milliseconds(1));
    estimate.onSent(kUpstream);
    const UpstreamLoad load = estimateOf(estimate, kUpstream);
    CHECK(load.requests == Approx(6).margin(0.1));
    CHECK(load.isReported);
    CHECK(load.pace == Approx(1));
    estimate.onEnded(kUpstream);
    estimate.onEnded(kUpstream);
    CHECK(estimateOf(estimate, kUpstream).requests == Approx(4).margin(0.1));
}

TEST_CASE("a report of another instance counts from when it was seen")
{
    ManualClock clock;
    LoadEstimate first({}, clock);
    LoadEstimate second({}, clock);
    second.onSent(kUpstream);
    first.onSample(kUpstream, {4, 0, kSlots, 0.5});
    std::vector<PeerLoadReport> reports;
    first.takeReports(reports);
    REQUIRE(reports.size() == 1);
    clock.advance(milliseconds(20));
    second.onSent(kUpstream); // After the report was seen, before it arrives.
    CHECK(second.applyReport(reports.front()));
    CHECK_FALSE(second.applyReport(reports.front()));
    const UpstreamLoad load = estimateOf(second, kUpstream);
    CHECK(load.requests == Approx(5).margin(0.1));
    CHECK(load.pace == Approx(0.5).margin(0.05));
    CHECK(load.capacity() == Approx(5).margin(0.5));
    CHECK(load.age >= milliseconds(20));
}

TEST_CASE("only material changes and refreshes are passed on, by one instance")
{
    ManualClock clock;
    LoadEstimate first({}, clock);
    LoadEstimate second({}, clock);
    std::vector<PeerLoadReport> reports;
    const auto taken = [&](LoadEstimate &estimate) {
        reports.clear();
        estimate.takeReports(reports);
        return reports.size();
    };
    first.onSample(kUpstream, {4, 0, kSlots, {}});
    CHECK(taken(first) == 1);
    second.applyReport(reports.front());
    clock.advance(milliseconds(100));
    first.onSample(kUpstream, {4, 0, kSlots, {}});
    CHECK(taken(first) == 0);
    second.onSample(kUpstream, {4, 0, kSlots, {}});
    CHECK(taken(second) == 0);
    second.onSample(kUpstream, {6, 0, kSlots, {}});
    CHECK(taken(second) == 1);
    clock.advance(milliseconds(500));
    first.onSample(kUpstream, {4, 0, kSlots, {}});
    CHECK(taken(first) == 1);
}

TEST_CASE("an old report gives way to the mean of the others, and its uncertainty grows")
{
    ManualClock clock;
    LoadEstimate estimate({}, clock);
    estimate.onSample(kUpstream, {kSlots, 8, kSlots, {}});
    const UpstreamLoad fresh = estimateOf(estimate, kUpstream);
    clock.advance(milliseconds(400));
    const UpstreamLoad older = estimateOf(estimate, kUpstream);
    CHECK(older.uncertainty > 2 * fresh.uncertainty);
    clock.advance(seconds(5));
    estimate.onSample(kUpstream + 1, {2, 0, kSlots, {}});
    CHECK(estimateOf(estimate, kUpstream).requests < 4);
    // Nothing is known of a third one but what its like have.
    CHECK(estimateOf(estimate, kUpstream + 1).requests == Approx(2).margin(0.5));
}

TEST_CASE("without any report, the others are assumed to send as much as this instance")
{
    ManualClock clock;
    LoadEstimate estimate({}, clock);
    estimate.onSent(kUpstream);
    CHECK(estimateOf(estimate, kUpstream).requests == 9);
    CHECK(estimateOf(estimate, kUpstream, 1).requests == 1);
}

TEST_CASE("a pace that is none is ignored, one beyond all measure clamped, and both are counted")
{
    ManualClock clock;
    LoadEstimate estimate({}, clock);
    constexpr double kInfinite = std::numeric_limits<double>::infinity();
    constexpr double kNone = std::numeric_limits<double>::quiet_NaN();
    for (const double pace : {0.0, -3.0, kInfinite, kNone}) {
        estimate.onSample(kUpstream, {4, 0, kSlots, pace});
        CHECK(estimateOf(estimate, kUpstream).pace == 1);
    }
    CHECK(estimate.invalidPaces() == 4);
    for (const double pace : {1e300, 1e-300}) {
        estimate.onSample(kUpstream, {4, 0, kSlots, pace});
        const UpstreamLoad load = estimateOf(estimate, kUpstream);
        CHECK(load.pace >= LoadOptions().minPace);
        CHECK(load.pace <= LoadOptions().maxPace);
    }
    CHECK(estimate.invalidPaces() == 6);
    estimate.onServiceTime(kUpstream, kNone);
    estimate.onServiceTime(kUpstream, 0);
    CHECK(estimateOf(estimate, kUpstream).requests > 0);
}

TEST_CASE("a pace that answers show is learned, told and forgotten")
{
    ManualClock clock;
    LoadEstimate first({}, clock);
    LoadEstimate second({}, clock);
    std::vector<PeerLoadReport> reports;
    for (int count = 0; count < 15; ++count) {
        clock.advance(milliseconds(600));
        first.onSample(kUpstream, {4, 0, kSlots, {}});
        first.onServiceTime(kUpstream, 5);
        reports.clear();
        first.takeReports(reports);
        for (const PeerLoadReport &report : reports) {
            second.applyReport(report);
        }
    }
    CHECK(estimateOf(first, kUpstream).pace < 0.4);
    CHECK(estimateOf(second, kUpstream).pace < 0.4);
    clock.advance(seconds(40));
    CHECK(estimateOf(second, kUpstream).pace > 0.9);
}

TEST_CASE("an upstream without requests and news is forgotten")
{
    ManualClock clock;
    LoadEstimate estimate({}, clock);
    estimate.onSample(kUpstream, {4, 0, kSlots, {}});
    estimate.onSent(kUpstream + 1);
    clock.advance(seconds(60));
    estimate.expire();
    CHECK_FALSE(estimateOf(estimate, kUpstream).isReported);
    CHECK(estimate.inFlight(kUpstream + 1) == 1);
}

// Load pattern: an upstream fails; each instance would otherwise have to fail there by itself.
TEST_CASE("an upstream that fails for two other instances is avoided until the evidence fades")
{
    ManualClock clock;
    LoadEstimate estimate({}, clock);
    const auto tell = [&](std::uint32_t instance, int good, int failed) {
        estimate.onOtherEnded({instance, kUpstream, 0, good, failed});
    };
    tell(1, 0, 5);
    CHECK_FALSE(
        estimateOf(estimate, kUpstream).failsForOthers); // Perhaps that instance's own fault.
    clock.advance(milliseconds(50));
    tell(2, 0, 1);
    CHECK(estimateOf(estimate, kUpstream).failsForOthers);
    clock.advance(seconds(3));
    CHECK_FALSE(estimateOf(estimate, kUpstream).failsForOthers);
}

TEST_CASE("an upstream that fails a small share of its requests is not avoided")
{
    ManualClock clock;
    LoadEstimate estimate({}, clock);
    for (std::uint32_t instance = 1; instance < 60; ++instance) {
        clock.advance(milliseconds(20));
        estimate.onOtherEnded({instance, kUpstream, 1, 8, 2});
        CHECK_FALSE(estimateOf(estimate, kUpstream).failsForOthers);
    }
}

TEST_CASE("results are told when one has failed or many were good")
{
    ManualClock clock;
    LoadEstimate estimate({}, clock);
    std::vector<EndedRequests> ended;
    estimate.onResult(kUpstream, true);
    estimate.takeEnded(ended);
    CHECK(ended.empty());
    estimate.onResult(kUpstream, false);
    estimate.takeEnded(ended);
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().good == 1);
    CHECK(ended.front().failed == 1);
    ended.clear();
    estimate.onToldEnded(kUpstream);
    estimate.takeEnded(ended);
    CHECK(ended.size() == 1);
}

// Load pattern: an upstream goes dark; it takes requests and answers none, and each instance would
// otherwise wait for its own timeout.
TEST_CASE("an upstream that answers no instance is silent, until its requests are long past")
{
    ManualClock clock;
    LoadEstimate estimate({}, clock);
    const auto play = [&](Duration time) {
        for (Duration passed{}; passed < time; passed += milliseconds(100)) {
            clock.advance(milliseconds(100));
            estimate.onSample(kUpstream + 1, {2, 0, kSlots, {}});
        }
    };
    estimate.onSample(kUpstream, {2, 0, kSlots, {}});
    play(milliseconds(100));
    estimate.onSent(kUpstream);
    estimate.onOtherSent(kUpstream);
    play(milliseconds(100));
    estimate.onOtherSent(kUpstream);
    play(seconds(2));
    CHECK_FALSE(estimateOf(estimate, kUpstream).isSilent);
    play(seconds(2));
    CHECK(estimateOf(estimate, kUpstream).isSilent);
    play(seconds(6));
    CHECK_FALSE(estimateOf(estimate, kUpstream).isSilent);
    // One answer to any instance is enough.
    for (int count = 0; count < 5; ++count) {
        estimate.onOtherSent(kUpstream);
    }
    play(milliseconds(500));
    PeerLoadReport report;
    report.upstream = kUpstream;
    report.slots = kSlots;
    report.seenAt = clock.now();
    estimate.applyReport(report);
    play(seconds(4));
    CHECK_FALSE(estimateOf(estimate, kUpstream).isSilent);
}

// Load pattern: answers of equal upstreams take times that differ by half or more.
TEST_CASE("answers that differ by chance do not make an upstream slow")
{
    ManualClock clock;
    LoadEstimate estimate({}, clock);
    std::mt19937_64 random(3);
    std::normal_distribution<double> logRatio(0, 0.4);
    int different = 0;
    constexpr int kAnswers = 500;
    for (int count = 0; count < kAnswers; ++count) {
        clock.advance(milliseconds(100));
        estimate.onSample(kUpstream, {4, 0, kSlots, {}});
        estimate.onServiceTime(kUpstream, std::exp(logRatio(random)));
        const double pace = estimateOf(estimate, kUpstream).pace;
        CHECK(pace > 0.75);
        CHECK(pace < 1.35);
        different += pace != 1 ? 1 : 0;
    }
    CHECK(different < kAnswers / 3);
}
