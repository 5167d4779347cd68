// Load pattern: 600 upstreams report many times a second; what an instance passes on stays within
// its bound, and no upstream's news is left out.
#include <load/LoadReportBatch.h>

#include <catch2/catch.hpp>

#include <map>

using namespace basilnotch;
using std::chrono::milliseconds;

namespace {

PeerLoadReport report(std::uint32_t upstream, int running, TimePoint seenAt)
{
    PeerLoadReport made;
    made.upstream = upstream;
    made.running = running;
    made.seenAt = seenAt;
    return made;
}

} // namespace

TEST_CASE("reports beyond the rate wait, the latest of each upstream is sent in turn")
{
    ManualClock clock;
    const LoadReportBatchOptions options;
    LoadReportBatch batch(options, clock);
    std::map<std::uint32_t, int> sent;
    std::size_t count = 0;
    constexpr int kUpstreams = 200;
    for (int step = 0; step < 100; ++step) {
        for (std::uint32_t upstream = 0; upstream < kUpstreams; ++upstream) {
            batch.add(report(upstream, step, clock.now()));
        }
        for (const PeerLoadReport &taken : batch.take()) {
            CHECK(taken.running == step);
            ++sent[taken.upstream];
            ++count;
        }
        clock.advance(milliseconds(40));
    }
    CHECK(count <= 4 * options.reportsPerSecond + options.maxBurst);
    CHECK(sent.size() == kUpstreams);
    for (const auto &[upstream, times] : sent) {
        CHECK(times >= 3);
        CHECK(times <= 7);
    }
}

TEST_CASE("an older report does not replace a newer one, and outdated ones are dropped")
{
    ManualClock clock;
    LoadReportBatch batch({}, clock);
    const TimePoint before = clock.now();
    clock.advance(milliseconds(100));
    batch.add(report(1, 5, clock.now()));
    batch.add(report(1, 9, before));
    REQUIRE(batch.take().size() == 1);
    batch.add(report(1, 5, clock.now()));
    clock.advance(std::chrono::seconds(2));
    CHECK(batch.take().empty());
    CHECK(batch.empty());
}
