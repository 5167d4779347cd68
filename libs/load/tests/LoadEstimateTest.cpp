// Tests of the estimate of upstreams' load: what instances tell each other, how reports age, and
// bad input.
#include <load/LoadEstimate.h>

#include <catch2/catch.hpp>

#include <limits>

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
