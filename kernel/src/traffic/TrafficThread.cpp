// Wires one thread's parts. Several threads bind the same port and the operating system spreads
// connections over them.
#include "TrafficThread.h"

#include "DispatchDesk.h"
#include "EntryHandler.h"
#include "TrafficContext.h"

#include "control/ControlThread.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace basilnotch {

namespace {

constexpr Duration kPumpInterval = milliseconds(50);
constexpr Duration kUsageInterval = milliseconds(500);

HttpServerOptions serverOptions(const Settings &settings, MemoryAccount &memory,
                                const ProcessLimits &limits)
{
    HttpServerOptions options;
    options.listen = settings.listen;
    options.maxConnections = std::max(
        1, limits.callerConnections(settings.limits.connections) / settings.trafficThreads);
    options.memory = &memory;
    options.bounds.headerBytes = settings.limits.headerBytes;
    options.bounds.bodyBytes = settings.limits.bodyBytes;
    options.bounds.readTimeout = settings.timing.callerRead;
    options.writeTimeout = settings.timing.callerWrite;
    return options;
}

} // namespace

struct TrafficThread::Impl
{
    Impl(const Settings &settings, const Clock &clock, Metrics &metrics, SpanBuffer &spans,
         ControlThread &control, MemoryAccount &memory, const ProcessLimits &limits, int number)
        : name(settings.name + "#" + std::to_string(number))
        , seed(hash64(control.incarnation(), static_cast<std::uint64_t>(number)))
        , client(this->runtime)
        , platform(PlatformRegistry::instance().make(settings.platform.adapter,
                                                     {&this->client, settings.platform}))
        , desk(settings, clock, metrics, control, this->name)
        , context{settings,      clock,        metrics,         spans,      control,
                  this->runtime, this->client, *this->platform, this->desk, {}}
        , handler(this->context, this->seed)
        , server(this->runtime, serverOptions(settings, memory, limits), this->handler)
    {
        this->context.limits =
            AdmissionRegistry::instance().makeAll({&this->desk.budgets(), &this->desk.poison()});
        this->listen(control);
    }

    void listen(ControlThread &control)
    {
        ControlListener listener;
        listener.report = [this](UpstreamIndex upstream, const LoadReport &report,
                                 const std::vector<CacheEvent> &events) {
            this->runtime.post([this, upstream, report, events] {
                this->desk.applyReport(upstream, report, events);
            });
        };
        listener.crash = [this](const std::string &fingerprint, const std::string &upstream) {
            this->runtime.post([this, fingerprint, upstream] {
                this->desk.poison().onCrash(fingerprint, upstream);
            });
        };
        listener.usage = [this](const std::string &workspace, const std::string &reporter,
                                const UsageCounts &usage) {
            if (reporter != this->name) {
                this->runtime.post([this, workspace, reporter, usage] {
                    this->desk.budgets().applyUsage(workspace, reporter, usage);
                });
            }
        };
        listener.snapshotChanged = [this] {
            this->runtime.post([this] { this->desk.applySnapshot(); });
        };
        control.addListener(std::move(listener));
    }

    void every(Duration interval, std::function<void()> work)
    {
        this->runtime.post([this, interval, work = std::move(work)] {
            while (true) {
                work();
                this->runtime.sleepFor(interval);
            }
        });
    }

    const std::string name;
    const std::uint64_t seed;
    FiberRuntime runtime;
    HttpClient client;
    std::unique_ptr<Platform> platform;
    DispatchDesk desk;
    TrafficContext context;
    EntryHandler handler;
    HttpServer server;
    std::atomic<int> active{0};
    std::thread thread;
};

TrafficThread::TrafficThread(const Settings &settings, const Clock &clock, Metrics &metrics,
                             SpanBuffer &spans, ControlThread &control, MemoryAccount &memory,
                             const ProcessLimits &limits, int number)
    : impl(std::make_unique<Impl>(settings, clock, metrics, spans, control, memory, limits, number))
{ }

TrafficThread::~TrafficThread()
{
    if (this->impl->thread.joinable()) {
        this->impl->thread.detach();
    }
    (void)this->impl.release(); // The thread still uses it; the process ends by exit().
}

absl::Status TrafficThread::start()
{
    Impl &impl = *this->impl;
    const absl::Status bound = impl.server.start();
    if (!bound.ok()) {
        return bound;
    }
    impl.every(kPumpInterval, [&impl] {
        impl.desk.pump();
        impl.active.store(impl.server.stats().activeRequests);
        impl.context.metrics.counter("connections_open{thread=\"" + impl.name + "\"}")
            .set(impl.server.stats().openConnections);
        impl.context.metrics.counter("connections_refused{thread=\"" + impl.name + "\"}")
            .set(impl.server.stats().refusedConnections);
        impl.context.metrics.counter("connections_yielded{thread=\"" + impl.name + "\"}")
            .set(impl.server.stats().yieldedConnections);
        impl.context.metrics.counter("bodies_yielded{thread=\"" + impl.name + "\"}")
            .set(impl.server.stats().yieldedBodies);
        impl.context.metrics.counter("bodies_refused{thread=\"" + impl.name + "\"}")
            .set(impl.server.stats().refusedBodies);
        impl.context.metrics.counter("answers_unread{thread=\"" + impl.name + "\"}")
            .set(impl.server.stats().unreadAnswers);
        impl.context.metrics.counter("callers_unreachable{thread=\"" + impl.name + "\"}")
            .set(impl.server.stats().unreachableCallers);
    });
    impl.every(kUsageInterval, [&impl] { impl.desk.tellUsage(); });
    impl.thread = std::thread([&impl] { impl.runtime.run(); });
    return absl::OkStatus();
}

void TrafficThread::stopAccepting()
{
    this->impl->runtime.post([this] { this->impl->server.stopAccepting(); });
}

int TrafficThread::activeRequests() const
{
    return this->impl->active.load();
}

} // namespace basilnotch
