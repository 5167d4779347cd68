// Starts the threads, waits for a stop signal and drains the requests under way.
#include <kernel/EntryProcess.h>

#include "control/ControlThread.h"
#include "traffic/TrafficThread.h"

#include <memory/MemoryAccount.h>
#include <memory/ProcessLimits.h>

#include <glog/logging.h>

#include <csignal>
#include <thread>

namespace basilnotch {

namespace {

constexpr Duration kDrainPollInterval = milliseconds(50);
constexpr int kIdlePolls = 4; // In a row; each thread publishes its request count with a delay.

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

struct EntryProcess::Impl
{
    explicit Impl(Settings initialSettings)
        : settings(std::move(initialSettings))
        , spans(static_cast<std::size_t>(this->settings.traces.bufferedSpans))
        , limits(
              processLimits(this->settings.limits.memoryMb, this->settings.limits.maxDescriptors))
        , memory(memoryBudget(this->limits.memoryBytes))
        , control(this->settings, this->clock, this->metrics, this->spans)
    {
        for (int number = 0; number < this->settings.trafficThreads; ++number) {
            this->traffic.push_back(std::make_unique<TrafficThread>(
                this->settings, this->clock, this->metrics, this->spans, this->control,
                this->memory, this->limits, number));
        }
    }

    absl::Status start()
    {
        absl::Status started = this->control.start();
        for (const auto &thread : this->traffic) {
            if (started.ok()) {
                started = thread->start();
            }
        }
        return started;
    }

    int activeRequests() const
    {
        int active = 0;
        for (const auto &thread : this->traffic) {
            active += thread->activeRequests();
        }
        return active;
    }

    /// Keeps accepting requests for the TTL of /v1/entries, because callers may cache that answer
    /// so long; then stops accepting and waits for the requests under way.
    void drain()
    {
        this->control.leave();
        std::this_thread::sleep_for(this->settings.timing.entriesTtl);
        for (const auto &thread : this->traffic) {
            thread->stopAccepting();
        }
        Duration waited{};
        int idlePolls = 0;
        while (idlePolls < kIdlePolls && waited < this->settings.timing.drain) {
            std::this_thread::sleep_for(kDrainPollInterval);
            waited += kDrainPollInterval;
            idlePolls = this->activeRequests() == 0 ? idlePolls + 1 : 0;
        }
    }

    Settings settings;
    SystemClock clock;
    Metrics metrics;
    SpanBuffer spans;
    const ProcessLimits limits;
    MemoryAccount memory; ///< Of all traffic threads.
    ControlThread control;
    std::vector<std::unique_ptr<TrafficThread>> traffic;
};

EntryProcess::EntryProcess(Settings settings)
{
    // The mask is set before any thread starts, so that all threads inherit it and the signal stays
    // pending until run() waits for it.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    this->impl = std::make_unique<Impl>(std::move(settings));
}

EntryProcess::~EntryProcess() = default;

int EntryProcess::run()
{
    const absl::Status started = this->impl->start();
    if (!started.ok()) {
        LOG(ERROR) << "start failed: " << describe(started);
        return 1;
    }
    LOG(INFO) << "instance " << this->impl->control.incarnation() << " listens at "
              << this->impl->settings.listen.text();
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
    LOG(INFO) << "stop signal received; leaving the membership and draining requests";
    this->impl->drain();
    const bool flushed = this->impl->control.drainReceipts(seconds(10));
    LOG(INFO) << "stopped"
              << (flushed ? ""
                          : "; some receipts were not flushed in time and are left to the peer "
                            "that holds copies");
    return 0;
}

} // namespace basilnotch
