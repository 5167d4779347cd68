// Constructs and connects the objects of the traffic thread.
#include "SiteServer.h"

#include "BacklogGossip.h"
#include "RelayContext.h"
#include "RequestForwarder.h"
#include "SiteHandlers.h"
#include "SlowAnswerDetector.h"
#include "UpstreamScheduler.h"

#include "site/SiteControl.h"

#include <base/Hash.h>
#include <memory/MemoryAccount.h>
#include <memory/ProcessLimits.h>
#include <runtime/FiberRuntime.h>

#include <atomic>
#include <thread>

namespace basilnotch {

namespace {

constexpr Duration kMaintenanceInterval = milliseconds(50);
constexpr Duration kInvalidPaceLogInterval = seconds(10);
constexpr Duration kTurnedAwayLogInterval = seconds(1);
/// An event loop that is this late delays answers, and notices callers that leave too late.
constexpr Duration kOverloadDelay = milliseconds(100);
/// Time to receive a body after its header.
constexpr Duration kBodyReadTimeout = seconds(5);
/// Callers may reuse a connection for up to four fifths of the idle timeout; this margin is added
/// to the whole timeout.
constexpr Duration kIdleReserve = seconds(2);
constexpr int kCrashesToQuarantine = 3; // Distinct upstreams that ended while running it.
/// An upstream that does not state its idle timeout may close idle connections within a second.
constexpr Duration kUnstatedIdleAge = milliseconds(400);
constexpr int kMaxIdlePerUpstream = 6; // Per instance; more are rarely needed at once.

HttpServerOptions callerOptions(const SiteSettings &settings, const ProcessLimits &limits,
                                MemoryAccount &memory)
{
    HttpServerOptions options;
    options.listen = settings.callers;
    options.maxConnections = limits.callerConnections(settings.maxConnections);
    options.memory = &memory;
    return options;
}

HttpServerOptions auxiliaryOptions(const Endpoint &listen, int maxConnections,
                                   MemoryAccount &memory)
{
    HttpServerOptions options;
    options.listen = listen;
    options.maxConnections = maxConnections;
    options.bounds.bodyBytes = 4096;
    options.memory = &memory;
    return options;
}

HttpClientOptions upstreamClientOptions()
{
    HttpClientOptions options;
    options.maxIdlePerPeer = kMaxIdlePerUpstream;
    options.unstatedIdleAge = kUnstatedIdleAge;
    return options;
}

/// Limits idle connections so that all instances together keep at most a quarter of the connections
/// that an upstream accepts.
std::size_t maxIdlePerUpstream(const SiteView &view)
{
    constexpr int kIdleDivisor = 4;
    int limit = kMaxIdlePerUpstream;
    for (const Service &service : view.catalog->services()) {
        if (service.maxConnections > 0) {
            limit = std::min(limit, service.maxConnections / (kIdleDivisor * view.liveInstances));
        }
    }
    return static_cast<std::size_t>(std::max(1, limit));
}

PickerOptions pickerOptions(const SiteSettings &settings)
{
    PickerOptions options;
    options.ownDomain = settings.failureDomain;
    return options;
}

WarmupOptions warmupOptions(const SiteSettings &settings)
{
    WarmupOptions options;
    options.instance = settings.instance;
    options.overrun = settings.bounds.coldOverrun;
    options.slack = settings.bounds.coldSlack;
    return options;
}

WarmupRates warmupRates(const Catalog &catalog)
{
    WarmupRates rates;
    for (const Service &service : catalog.services()) {
        rates[service.name] = {service.coldPerSecond, service.coldStart};
    }
    return rates;
}

} // namespace

struct SiteServer::Impl
{
    Impl(const SiteSettings &settings, const SiteAdapter &adapter, const Clock &clock,
         EventLog &log, Metrics &metrics, SiteControl &control)
        : limits(processLimits(settings.memoryMb, settings.maxDescriptors))
        , memory(memoryBudget(this->limits.memoryBytes))
        , client(this->runtime, upstreamClientOptions())
        , engineEstimates{{{}, static_cast<std::uint32_t>(hash64(control.incarnation())), clock},
                          {{}, clock}}
        , gossip(this->runtime, settings.instance, settings.peers, this->engineEstimates, clock,
                 metrics)
        , warmup(warmupOptions(settings), clock)
        , scheduler(
              pickerOptions(settings), this->engineEstimates, this->warmup, clock,
              hash64(settings.instance, 2),
              {[this] { this->gossip.onLocalChange(); }, [this] { this->gossip.onLoadReported(); },
               [this](const PromptCacheUpdate &update) { this->gossip.onPromptPrefilled(update); }})
        , quarantine({kCrashesToQuarantine, kCrashRetention}, clock)
        , promptGuard(kCrashRetention, clock)
        , cascade({}, clock)
        , initialQuota({}, hash64(control.incarnation(), 4))
        , context{control,
                  adapter.requestCodec(),
                  clock,
                  log,
                  metrics,
                  this->runtime,
                  this->client,
                  this->scheduler,
                  this->quarantine,
                  this->promptGuard,
                  this->slowAnswerDetector,
                  this->cascade,
                  this->prefillTimes,
                  this->retryBudgets,
                  this->hedgePolicies,
                  this->initialQuota,
                  this->activePrompts,
                  this->rolloutRequests}
        , relayHandler(this->context)
        , directory(this->context, hash64(settings.instance, 3))
        , readiness(this->context)
        , metricsHandler(this->context)
        , callers(this->runtime, callerOptions(settings, this->limits, this->memory),
                  this->relayHandler)
        , directoryServer(this->runtime,
                          auxiliaryOptions(settings.directory, this->limits.directoryConnections(),
                                           this->memory),
                          this->directory)
        , readinessServer(
              this->runtime,
              auxiliaryOptions(settings.health, this->limits.operatorConnections(), this->memory),
              this->readiness)
        , metricsServer(
              this->runtime,
              auxiliaryOptions(settings.metrics, this->limits.operatorConnections(), this->memory),
              this->metricsHandler)
    {
        this->gossip.setLoadListener([this] { this->scheduler.dispatchWaiters(); });
        SiteListener listener;
        listener.viewChanged = [this] { this->runtime.post([this] { this->applyView(); }); };
        listener.crash = [this](const std::string &fingerprint, const std::string &upstream) {
            this->runtime.post(
                [this, fingerprint, upstream] { this->quarantine.onCrash(fingerprint, upstream); });
        };
        listener.promptPart = [this](const PromptPartReport &report) {
            this->runtime.post([this, report] { this->promptGuard.onReport(report); });
        };
        control.setListener(std::move(listener));
    }

    void applyView()
    {
        const std::shared_ptr<const SiteView> view = this->context.control.view();
        if (view->catalog && view->catalog != this->warmupCatalog) {
            this->warmupCatalog = view->catalog;
            this->warmup.setRates(warmupRates(*view->catalog));
        }
        this->warmup.setMembers(view->members);
        this->scheduler.setUpstreams(view->upstreams, view->liveInstances);
        this->gossip.setDirectory(view->directory);
        if (!view->catalog) {
            return;
        }
        this->client.setMaxIdlePerPeer(maxIdlePerUpstream(*view));
        const RequestBounds &bounds = view->catalog->bounds();
        HttpServerBounds next;
        next.headerBytes = bounds.headerBytes;
        next.bodyBytes = bounds.bodyBytes;
        next.readTimeout = bounds.headerTimeout + kBodyReadTimeout;
        next.idleTimeout = bounds.idleTimeout + kIdleReserve;
        this->callers.setBounds(next);
    }

    /// Ends the requests under way whose prompts have a part that has been quarantined since they
    /// were sent. Later requests are rejected at admission.
    void withdrawQuarantined()
    {
        const std::optional<TimePoint> latest = this->promptGuard.latestQuarantine();
        if (!latest || (this->latestQuarantine && *latest <= *this->latestQuarantine)) {
            return;
        }
        this->latestQuarantine = latest;
        for (RequestForwarder *request : this->activePrompts) {
            request->withdrawIfQuarantined();
        }
    }

    /// Logs that upstreams or instances report paces that can't be. At most one line in a while.
    void reportInvalidPaces()
    {
        const std::int64_t count = this->engineEstimates.load.invalidPaces();
        const TimePoint now = this->context.clock.now();
        this->context.metrics.counter("load_reports_invalid_pace_total").set(count);
        if (count == this->loggedInvalidPaces
            || (this->invalidPacesLoggedAt
                && now - *this->invalidPacesLoggedAt < kInvalidPaceLogInterval)) {
            return;
        }
        this->context.log.write(LogKind::State, "invalid pace in load reports",
                                {{"count", count - this->loggedInvalidPaces},
                                 {"effect", "ignored if no pace, else clamped"}});
        this->loggedInvalidPaces = count;
        this->invalidPacesLoggedAt = now;
    }

    /// Publishes what the servers have turned away, and logs it once in a while.
    void reportTurnedAway()
    {
        HttpServerStats sum;
        for (const HttpServer *server : {&this->callers, &this->directoryServer,
                                         &this->readinessServer, &this->metricsServer}) {
            const HttpServerStats stats = server->stats();
            sum.openConnections += stats.openConnections;
            sum.refusedConnections += stats.refusedConnections;
            sum.yieldedConnections += stats.yieldedConnections;
            sum.yieldedBodies += stats.yieldedBodies;
            sum.refusedBodies += stats.refusedBodies;
            sum.unreadAnswers += stats.unreadAnswers;
            sum.unreachableCallers += stats.unreachableCallers;
        }
        Metrics &metrics = this->context.metrics;
        const std::int64_t forRequests = this->memory.held(MemoryPurpose::Requests);
        const std::int64_t forAnswers = this->memory.held(MemoryPurpose::Answers);
        metrics.counter("connections_open").set(sum.openConnections);
        metrics.counter("connections_refused_total").set(sum.refusedConnections);
        metrics.counter("connections_yielded_total").set(sum.yieldedConnections);
        metrics.counter("bodies_yielded_total").set(sum.yieldedBodies);
        metrics.counter("bodies_refused_total").set(sum.refusedBodies);
        metrics.counter("answers_unread_total").set(sum.unreadAnswers);
        metrics.counter("callers_unreachable_total").set(sum.unreachableCallers);
        metrics.counter("request_bytes_held").set(forRequests);
        metrics.counter("answer_bytes_held").set(forAnswers);
        const std::int64_t turnedAway = sum.refusedConnections + sum.yieldedConnections
            + sum.yieldedBodies + sum.refusedBodies + sum.unreadAnswers + sum.unreachableCallers;
        const TimePoint now = this->context.clock.now();
        if (turnedAway == this->loggedTurnedAway || now - this->loggedAt < kTurnedAwayLogInterval) {
            return;
        }
        this->loggedTurnedAway = turnedAway;
        this->loggedAt = now;
        this->context.log.write(LogKind::Failure, "callers turned away",
                                {{"connectionsOpen", std::int64_t{sum.openConnections}},
                                 {"connectionsRefused", sum.refusedConnections},
                                 {"connectionsYielded", sum.yieldedConnections},
                                 {"bodiesYielded", sum.yieldedBodies},
                                 {"bodiesRefused", sum.refusedBodies},
                                 {"answersUnread", sum.unreadAnswers},
                                 {"callersUnreachable", sum.unreachableCallers},
                                 {"requestBytes", forRequests},
                                 {"answerBytes", forAnswers}});
    }

    void runMaintenance()
    {
        LatencyHistogram &loopDelay = this->context.metrics.histogram("event_loop_delay_seconds");
        Counter &picks = this->context.metrics.counter("upstream_picks_total");
        Counter &cold = this->context.metrics.counter("upstreams_cold");
        Counter &refusedSends = this->context.metrics.counter("cold_sends_refused_total");
        while (true) {
            picks.set(this->scheduler.pickCount());
            cold.set(static_cast<std::int64_t>(this->warmup.coldCount()));
            refusedSends.set(this->warmup.refusedSends());
            this->reportInvalidPaces();
            this->withdrawQuarantined();
            for (RequestForwarder *request : this->rolloutRequests) {
                request->reportOverdueAnswer();
            }
            this->scheduler.dispatchWaiters();
            this->gossip.refresh();
            this->client.closeExpired();
            this->reportTurnedAway();
            this->activeRequestCount.store(this->callers.stats().activeRequests);
            const TimePoint due = this->context.clock.now() + kMaintenanceInterval;
            const std::int64_t picksBefore = this->scheduler.pickCount();
            this->runtime.sleepFor(kMaintenanceInterval);
            const Duration delay = this->context.clock.now() - due;
            loopDelay.record(delay);
            if (delay >= kOverloadDelay) {
                this->context.log.write(
                    LogKind::State, "traffic thread behind",
                    {{"delayMs", wholeMillis(delay)},
                     {"active", std::int64_t{this->callers.stats().activeRequests}},
                     {"waiting", static_cast<std::int64_t>(this->scheduler.waiterCount())},
                     {"picks", this->scheduler.pickCount() - picksBefore}});
            }
        }
    }

    const ProcessLimits limits;
    MemoryAccount memory; ///< Of all servers.
    FiberRuntime runtime;
    HttpClient client;
    EngineEstimates engineEstimates;
    BacklogGossip gossip;
    WarmupLimiter warmup;
    UpstreamScheduler scheduler;
    RequestQuarantine quarantine;
    PromptGuard promptGuard;
    SlowAnswerDetector slowAnswerDetector;
    AnswerCascade cascade;
    PrefillTimeEstimator prefillTimes;
    std::map<std::string, SlidingWindowRetryBudget> retryBudgets;
    std::map<std::string, HedgePolicy> hedgePolicies;
    RolloutInitialQuota initialQuota;
    std::set<RequestForwarder *> activePrompts;
    std::set<RequestForwarder *> rolloutRequests;
    std::shared_ptr<const Catalog> warmupCatalog; ///< That the rates of `warmup` are from.
    std::optional<TimePoint> latestQuarantine;    ///< Requests under way have been checked for it.
    std::int64_t loggedInvalidPaces = 0;
    std::optional<TimePoint> invalidPacesLoggedAt;
    RelayContext context;
    RelayHandler relayHandler;
    DirectoryHandler directory;
    ReadinessHandler readiness;
    MetricsHandler metricsHandler;
    HttpServer callers;
    HttpServer directoryServer;
    HttpServer readinessServer;
    HttpServer metricsServer;
    std::int64_t loggedTurnedAway = 0; ///< Of the latest line.
    TimePoint loggedAt{};
    std::atomic<int> activeRequestCount{0};
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
    // Leaked deliberately: the detached thread uses it until the process ends by exit().
    (void)this->impl.release();
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
    const absl::Status gossipStarted = impl.gossip.start();
    if (!gossipStarted.ok()) {
        return gossipStarted;
    }
    impl.runtime.post([&impl] { impl.runMaintenance(); });
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
    return this->impl->activeRequestCount.load();
}

} // namespace basilnotch
