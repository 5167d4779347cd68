// Google Benchmark of one routing decision, by number of upstreams.
#include <decision/Router.h>
#include <decision/UpstreamPicker.h>

#include <benchmark/benchmark.h>

using namespace basilnotch;

namespace {

void chooseUpstream(benchmark::State &state)
{
    ManualClock clock;
    std::vector<UpstreamInfo> infos;
    for (int number = 0; number < state.range(0); ++number) {
        infos.push_back({"u" + std::to_string(number), "d" + std::to_string(number % 8), 48});
    }
    RouterOptions options;
    options.entries = 9;
    Router router(infos, "d0", options, clock, 1);
    for (int number = 0; number < state.range(0); ++number) {
        LoadReport report;
        report.measuredAt = clock.now();
        report.running = number * 7 % 40;
        report.queuedPrefillTokens = number * 131 % 5000;
        report.loaded = {{"m", "v1"}};
        router.applyReport(number, report);
    }
    RouteQuery query;
    query.version = router.versionId({"m", "v1"});
    query.promptTokens = 1500;
    query.prefixHash = 7;
    query.prefixTokens = 900;
    while (state.KeepRunning()) {
        const auto choice = router.choose(query);
        router.onDispatched(*choice, query);
        router.onFirstToken(*choice, std::chrono::milliseconds(200));
        router.onEnded(*choice, CompletionStatus::Finished, std::chrono::seconds(3));
        clock.advance(std::chrono::microseconds(500));
    }
    state.SetComplexityN(state.range(0));
}

/// The choice on a site, with a prompt that is shared.
void pickUpstream(benchmark::State &state)
{
    ManualClock clock;
    std::vector<UpstreamRef> upstreams;
    for (int number = 0; number < state.range(0); ++number) {
        UpstreamRecord record;
        record.id = "i-" + std::to_string(number);
        record.failureDomain = "d" + std::to_string(number % 8);
        record.slots = 48;
        upstreams.push_back(std::make_shared<const UpstreamRecord>(record));
    }
    EngineEstimates engineEstimates{{{}, 1, clock}, {{}, clock}};
    UpstreamPicker picker({}, engineEstimates, clock, 1);
    for (const UpstreamRef &upstream : upstreams) {
        picker.onLoad(*upstream, {.running = 30, .waiting = 2, .slots = 48, .pace = 0.8});
    }
    PickQuery query;
    query.candidates = upstreams;
    query.liveInstances = 95;
    query.affinityKey = 7;
    query.ownWork = std::chrono::milliseconds(37);
    query.sharedWork = std::chrono::milliseconds(56);
    query.sharedTokens = 900;
    query.isEngine = true;
    while (state.KeepRunning()) {
        const Pick picked = picker.pick(query);
        picker.onSent(*picked.upstream, picked.work);
        picker.onPrefilled(*picked.upstream, picked.work);
        picker.onEnded(*picked.upstream, AttemptResult::Good);
        clock.advance(std::chrono::microseconds(500));
    }
    state.SetComplexityN(state.range(0));
}

BENCHMARK(pickUpstream)->Arg(12)->Arg(80)->Arg(150)->Arg(600)->Complexity(benchmark::oN);

BENCHMARK(chooseUpstream)
    ->Arg(12)
    ->Arg(75)
    ->Arg(150)
    ->Arg(300)
    ->Arg(600)
    ->Complexity(benchmark::oN);

} // namespace

BENCHMARK_MAIN();
