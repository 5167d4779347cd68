// Load pattern: 95 instances choose between 80 upstreams at 80 % load while the reports that they
// share are 100 ms to 2 s old; one upstream turns slow in the middle of it.
#include <decision/UpstreamPicker.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <numeric>
#include <queue>
#include <random>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kUpstreams = 80;
constexpr int kSlots = 16;
constexpr int kInstances = 95;
constexpr Duration kWork = milliseconds(3500);
constexpr Duration kAnswer = milliseconds(100); ///< Until the answer begins.
constexpr Duration kTelling = milliseconds(50); ///< Until other instances learn of a request.
constexpr Duration kStep = milliseconds(1);
constexpr double kLoad = 0.8; ///< Share of the slots that is in use on average.

/// Instances that learn of the load by reports that arrive late, and upstreams that run what they
/// get.
class StaleFleet
{
public:
    StaleFleet()
    {
        for (int number = 0; number < kUpstreams; ++number) {
            UpstreamRecord record;
            record.id = "u" + std::to_string(number);
            record.service = "models";
            record.slots = kSlots;
            this->upstreams.push_back(std::make_shared<const UpstreamRecord>(record));
        }
        this->running.resize(kUpstreams);
        this->slowness.resize(kUpstreams, 1);
        for (std::uint64_t number = 0; number < kInstances; ++number) {
            this->instances.push_back(std::make_unique<Instance>(number, this->clock));
        }
    }

    /// Plays `time`; calls `check` every 50 ms.
    template <typename Check>
    void run(Duration time, Check check)
    {
        const double perStep = kLoad * kUpstreams * kSlots * toSeconds(kStep) / toSeconds(kWork);
        std::bernoulli_distribution arrives(perStep);
        std::uniform_int_distribution<int> anyInstance(0, kInstances - 1);
        const TimePoint end = this->clock.now() + time;
        for (std::int64_t step = 0; this->clock.now() < end; ++step) {
            this->clock.advance(kStep);
            this->endDue();
            this->answerDue();
            this->tellDue();
            this->deliver();
            if (arrives(this->random)) {
                this->send(anyInstance(this->random));
            }
            if (step % 50 == 0) {
                check();
            }
        }
    }

    int busiest() const { return *std::max_element(this->running.begin(), this->running.end()); }
    double mean() const
    {
        double sum = 0;
        for (const int count : this->running) {
            sum += count;
        }
        return sum / kUpstreams;
    }
    int runningAt(std::size_t upstream) const { return this->running[upstream]; }
    void slowDown(std::size_t upstream, double factor) { this->slowness[upstream] = factor; }
    int refusals() const { return this->refused; }

private:
    struct Instance
    {
        Instance(std::uint64_t number, const Clock &clock)
            : estimates{{{}, static_cast<std::uint32_t>(number), clock}, {{}, clock}}
            , picker({}, this->estimates, clock, number)
        { }
        EngineEstimates estimates;
        UpstreamPicker picker;
    };
    struct Running
    {
        TimePoint endsAt;
        std::size_t upstream = 0;
        int instance = 0;
        bool operator<(const Running &other) const { return this->endsAt > other.endsAt; }
    };
    struct Delivery
    {
        TimePoint at;
        PeerLoadReport report;
        std::size_t instance = 0;
        bool operator<(const Delivery &other) const { return this->at > other.at; }
    };

    void send(int number)
    {
        Instance &instance = *this->instances[static_cast<std::size_t>(number)];
        PickQuery query;
        query.candidates = this->upstreams;
        query.liveInstances = kInstances;
        const Pick picked = instance.picker.pick(query);
        if (!picked.upstream) {
            ++this->refused;
            return;
        }
        instance.picker.onSent(*picked.upstream, {});
        const auto upstream = static_cast<std::size_t>(std::stoi(picked.upstream->id.substr(1)));
        ++this->running[upstream];
        std::exponential_distribution<double> work(1 / toSeconds(kWork));
        const double seconds = work(this->random) * this->slowness[upstream];
        this->requests.push({this->clock.now() + fromSeconds(seconds), upstream, number});
        this->toTell.push({this->clock.now() + kTelling, upstream, number});
        const Duration untilAnswer = fromSeconds(toSeconds(kAnswer) * this->slowness[upstream]);
        this->answers.push({this->clock.now() + untilAnswer, upstream, number});
    }

    /// The others learn of requests that were sent and that have ended.
    void tellDue()
    {
        while (!this->endsToTell.empty() && this->endsToTell.top().endsAt <= this->clock.now()) {
            const Running ended = this->endsToTell.top();
            this->endsToTell.pop();
            const std::uint32_t key = PrefillBacklog::engineKey(*this->upstreams[ended.upstream]);
            for (int other = 0; other < kInstances; ++other) {
                if (other != ended.instance) {
                    this->instances[static_cast<std::size_t>(other)]->estimates.load.onOtherEnded(
                        {static_cast<std::uint32_t>(ended.instance), key, 1});
                }
            }
        }
        while (!this->toTell.empty() && this->toTell.top().endsAt <= this->clock.now()) {
            const Running sent = this->toTell.top();
            this->toTell.pop();
            const std::uint32_t key = PrefillBacklog::engineKey(*this->upstreams[sent.upstream]);
            for (int other = 0; other < kInstances; ++other) {
                if (other != sent.instance) {
                    this->instances[static_cast<std::size_t>(other)]->estimates.load.onOtherSent(
                        key);
                }
            }
        }
    }

    void answerDue()
    {
        while (!this->answers.empty() && this->answers.top().endsAt <= this->clock.now()) {
            const Running answer = this->answers.top();
            this->answers.pop();
            Instance &instance = *this->instances[static_cast<std::size_t>(answer.instance)];
            const double took = toSeconds(kAnswer) * this->slowness[answer.upstream];
            instance.picker.onAnswered(*this->upstreams[answer.upstream], fromSeconds(took),
                                       kAnswer);
            this->report(instance, answer.upstream);
        }
    }

    /// The answer begins, and with it comes the load of the upstream; the others learn it late.
    void report(Instance &instance, std::size_t upstream)
    {
        LoadSample sample{std::min(this->running[upstream], kSlots),
                          std::max(0, this->running[upstream] - kSlots), kSlots,
                          1 / this->slowness[upstream]};
        instance.picker.onLoad(*this->upstreams[upstream], sample);
        std::vector<PeerLoadReport> reports;
        instance.estimates.load.takeReports(reports);
        std::uniform_int_distribution<int> delayMs(100, 2000);
        for (const PeerLoadReport &report : reports) {
            for (std::size_t other = 0; other < kInstances; ++other) {
                this->deliveries.push(
                    {this->clock.now() + milliseconds(delayMs(this->random)), report, other});
            }
        }
    }

    void endDue()
    {
        while (!this->requests.empty() && this->requests.top().endsAt <= this->clock.now()) {
            const Running ended = this->requests.top();
            this->requests.pop();
            --this->running[ended.upstream];
            this->instances[static_cast<std::size_t>(ended.instance)]->picker.onEnded(
                *this->upstreams[ended.upstream], AttemptResult::Good);
            this->endsToTell.push({this->clock.now() + kTelling, ended.upstream, ended.instance});
        }
    }

    void deliver()
    {
        while (!this->deliveries.empty() && this->deliveries.top().at <= this->clock.now()) {
            const Delivery &next = this->deliveries.top();
            this->instances[next.instance]->estimates.load.applyReport(next.report);
            this->deliveries.pop();
        }
    }

    ManualClock clock;
    std::mt19937_64 random{7};
    std::vector<UpstreamRef> upstreams;
    std::vector<int> running; ///< And waiting, by upstream.
    std::vector<double> slowness;
    std::vector<std::unique_ptr<Instance>> instances;
    std::priority_queue<Running> requests;
    std::priority_queue<Running> answers;
    std::priority_queue<Running> toTell;
    std::priority_queue<Running> endsToTell;
    std::priority_queue<Delivery> deliveries;
    int refused = 0;
};

} // namespace

TEST_CASE("with stale reports, the busiest upstream stays near the mean of a loaded fleet")
{
    StaleFleet fleet;
    fleet.run(seconds(12), [] {});
    std::vector<double> ratios;
    std::vector<double> ratiosOfRunning;
    fleet.run(seconds(12), [&] {
        ratios.push_back(fleet.busiest() / fleet.mean());
        ratiosOfRunning.push_back(std::min(kSlots, fleet.busiest()) / fleet.mean());
    });
    const double mean =
        std::accumulate(ratios.begin(), ratios.end(), 0.0) / static_cast<double>(ratios.size());
    std::sort(ratiosOfRunning.begin(), ratiosOfRunning.end());
    CHECK(mean <= 1.3); // Requests that wait there included.
    CHECK(ratiosOfRunning[ratiosOfRunning.size() * 95 / 100] <= 1.3);
    CHECK(fleet.refusals() == 0);
}

TEST_CASE("an upstream that slows by five in a burst sheds its share")
{
    StaleFleet fleet;
    fleet.run(seconds(8), [] {});
    fleet.slowDown(3, 5);
    fleet.run(seconds(10), [] {});
    // What it had is still there; at the usual pace it would get five times the mean.
    CHECK(fleet.runningAt(3) < fleet.mean());
}
