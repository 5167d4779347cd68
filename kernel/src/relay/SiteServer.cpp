// Wires the parts of the traffic thread.
#include "SiteServer.h"

#include "BacklogGossip.h"
#include "RelayContext.h"
#include "SiteHandlers.h"
#include "SlowAnswerDetector.h"
#include "UpstreamScheduler.h"

#include "site/SiteControl.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>

#include <atomic>
#include <thread>

namespace basilnotch {

namespace {

constexpr Duration kHousekeeping = milliseconds(50);
/// Time for a body to come in after its header.
constexpr Duration kBodyTime = seconds(5);
/// Callers may use a connection again until four fifths of the idle time; this is on top of it all.
constexpr Duration kIdleReserve = seconds(2);
constexpr int kCrashesToQuarantine = 3; // Distinct upstreams that ended while they ran a request.
/// An upstream that does not say when it closes idle connections may do so within a second.
constexpr Duration kUnstatedIdleAge = milliseconds(400);
constexpr int kIdlePerUpstream = 6; // Of one instance; more are rarely needed at once.

HttpServerOptions callerOptions(const SiteSettings &settings)
{
    HttpServerOptions options;
    options.listen = settings.callers;
    options.maxConnections = settings.maxConnections;
    return options;
}

HttpServerOptions smallOptions(const Endpoint &listen)
{
    HttpServerOptions options;
    options.listen = listen;
    options.maxConnections = 256;
    options.bounds.bodyBytes = 4096;
    return options;
}

HttpClientOptions upstreamClientOptions()
{
    HttpClientOptions options;
    options.maxIdlePerPeer = kIdlePerUpstream;
    options.unstatedIdleAge = kUnstatedIdleAge;
    return options;
}

/// At most a quarter of the connections that an upstream takes lies idle, all instances together.
std::size_t idlePerUpstream(const SiteView &view)
{
    constexpr int kIdlePart = 4;
    int most = kIdlePerUpstream;
    for (const Service &service : view.catalog->services()) {
        if (service.maxConnections > 0) {
            most = std::min(most, service.maxConnections / (kIdlePart * view.liveInstances));
        }
    }
    return static_cast<std::size_t>(std::max(1, most));
}

PickerOptions pickerOptions(const SiteSettings &settings)
{
    PickerOptions options;
    options.ownDomain = settings.failureDomain;
    return options;
}

} // namespace

struct SiteServer::Impl
{
    Impl(const SiteSettings &settings, const SiteAdapter &adapter, const Clock &clock,
         EventLog &log, Metrics &metrics, SiteControl &control)
        : client(this->runtime, upstreamClientOptions())
        , engineEstimates{{{}, static_cast<std::uint32_t>(hash64(control.incarnation())), clock},
                          {{}, clock}}
        , exchange(this->runtime, settings.instance, settings.peers, this->engineEstimates, metrics)
        , desk(pickerOptions(settings), this->engineEstimates, clock, hash64(settings.instance, 2),
               {[this] { this->exchange.onChanged(); },
                [this](const PromptCacheUpdate &note) { this->exchange.onPromptRead(note); }})
        , poison({kCrashesToQuarantine, kCrashRetention}, clock)
        , cascade({}, clock)
        , opening({}, hash64(control.incarnation(), 4))
        , context{control,
                  adapter.requestCodec(),
                  clock,
                  log,
                  metrics,
                  this->runtime,
                  this->client,
                  this->desk,
                  this->poison,
                  this->slowness,
                  this->cascade,
                  this->promptSpeed,
                  this->retryWindows,
                  this->opening}
        , relay(this->context)
        , directory(this->context, hash64(settings.instance, 3))
        , readiness(this->context)
        , metricsHandler(this->context)
        , callers(this->runtime, callerOptions(settings), this->relay)
        , directoryServer(this->runtime, smallOptions(settings.directory), this->directory)
        , readinessServer(this->runtime, smallOptions(settings.health), this->readiness)
        , metricsServer(this->runtime, smallOptions(settings.metrics), this->metricsHandler)
    {
        SiteListener listener;
        listener.viewChanged = [this] { this->runtime.post([this] { this->applyView(); }); };
        listener.crash = [this](const std::string &fingerprint, const std::string &upstream) {
            this->runtime.post(
                [this, fingerprint, upstream] { this->poison.onCrash(fingerprint, upstream); });
        };
        control.setListener(std::move(listener));
    }

    void applyView()
    {
        const std::shared_ptr<const SiteView> view = this->context.control.view();
        this->desk.setUpstreams(view->upstreams, view->liveInstances);
        this->exchange.setDirectory(view->directory);
        if (!view->catalog) {
            return;
        }
        this->client.setMaxIdlePerPeer(idlePerUpstream(*view));
        const RequestBounds &bounds = view->catalog->bounds();
        HttpServerBounds next;
        next.headerBytes = bounds.headerBytes;
        next.bodyBytes = bounds.bodyBytes;
        next.readTimeout = bounds.headerTimeout + kBodyTime;
        next.idleTimeout = bounds.idleTimeout + kIdleReserve;
        this->callers.setBounds(next);
    }

    void housekeeping()
    {
        while (true) {
            this->desk.pump();
            this->exchange.refresh();
            this->client.closeExpired();
            this->active.store(this->callers.stats().activeRequests);
            this->runtime.sleepFor(kHousekeeping);
        }
    }

    FiberRuntime runtime;
    HttpClient client;
    EngineEstimates engineEstimates;
    BacklogGossip exchange;
    UpstreamScheduler desk;
    RequestQuarantine poison;
    SlowAnswerDetector slowness;
    AnswerCascade cascade;
    PrefillTimeEstimator promptSpeed;
    std::map<std::string, SlidingWindowRetryBudget> retryWindows;
    RolloutInitialQuota opening;
    RelayContext context;
    RelayHandler relay;
    DirectoryHandler directory;
    ReadinessHandler readiness;
    MetricsHandler metricsHandler;
    HttpServer callers;
    HttpServer directoryServer;
    HttpServer readinessServer;
    HttpServer metricsServer;
    std::atomic<int> active{0};
    std::thread thread;
};

SiteServer::SiteServer(const SiteSettings &settings, const SiteAdapter &adapter, const Clock &clock,
                       EventLog &log, Metrics &metrics, SiteControl &control)
    : impl(std::make_unique<Impl>(settings, adapter, clock, log, metrics, control))
{ }

SiteServer::~SiteServer()
{
    if (this->impl->thread.joinable()) {
        this->impl->thread.detach();
    }
    (void)this->impl.release(); // The thread still uses it; the process ends by exit().
}

absl::Status SiteServer::start()
{
    Impl &impl = *this->impl;
    for (HttpServer *server :
         {&impl.callers, &impl.directoryServer, &impl.readinessServer, &impl.metricsServer}) {
        const absl::Status bound = server->start();
        if (!bound.ok()) {
            return bound;
        }
    }
    const absl::Status exchanging = impl.exchange.start();
    if (!exchanging.ok()) {
        return exchanging;
    }
    impl.runtime.post([&impl] { impl.housekeeping(); });
    impl.thread = std::thread([&impl] { impl.runtime.run(); });
    return absl::OkStatus();
}

void SiteServer::closeAfterAnswers()
{
    this->impl->runtime.post([this] { this->impl->callers.closeAfterAnswers(); });
}

void SiteServer::stopAccepting()
{
    this->impl->runtime.post([this] { this->impl->callers.stopAccepting(); });
}

int SiteServer::activeRequests() const
{
    return this->impl->active.load();
}

} // namespace basilnotch
