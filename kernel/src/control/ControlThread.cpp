// Periodic tasks, one fiber each, that maintain the control state. Only the current snapshot is
// shared with other threads, which otherwise post work to this thread's runtime.
#include "ControlThread.h"

#include "AbandonedReceiptSweeper.h"
#include "OutcomeAggregator.h"
#include "PeerMessenger.h"
#include "PeerPayloads.h"
#include "PoolController.h"

#include <base/Hash.h>
#include <kernel/Plugins.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <glog/logging.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr std::size_t kIncarnationBytes = 4;
constexpr Duration kBootstrapRetryDelay = milliseconds(200);
constexpr Duration kCascadePlanInterval = seconds(1);
constexpr Duration kCountsGossipInterval = milliseconds(500);
constexpr Duration kInstanceListInterval = seconds(2);
// Of the sweep for abandoned receipts and of loading and storing roll-out holds.
constexpr Duration kSweepInterval = seconds(1);
// Interval at which this incarnation is marked in the table as one that may have open receipts.
// Longer than kSweepInterval, because every instance writes to the table each time.
constexpr Duration kMarkOpenInterval = seconds(5);
constexpr Duration kQualityGossipInterval = seconds(3); // Quality counts are the largest rumors.
constexpr Duration kSpanExportInterval = milliseconds(500);
constexpr Duration kPoolControlInterval = milliseconds(500);
constexpr Duration kConfirmationTimeout = seconds(4); // How long `rules apply` waits.
constexpr Duration kConfirmationPollInterval = milliseconds(50);
constexpr std::size_t kMaxSpansPerExport = 512;
constexpr Duration kFetchRulesTimeout = milliseconds(500);

} // namespace

bool RulesStatus::isInForceEverywhere() const
{
    return std::all_of(
        this->instances.begin(), this->instances.end(),
        [this](const Instance &instance) { return instance.inForce >= this->version; });
}

ControlThread::ControlThread(const Settings &settings, const Clock &clock, Metrics &metrics,
                             SpanBuffer &spans)
    : settings(settings)
    , clock(clock)
    , metrics(metrics)
    , spans(spans)
    , incarnationName(settings.name + "-" + randomHex(kIncarnationBytes))
    , runtime(std::make_unique<FiberRuntime>())
    , lastPlatformContact(clock.now())
    , rulesVersionSeenAt(clock.now())
{
    const Member self{settings.name,        this->incarnationName,  settings.listen,
                      settings.peerAddress, settings.failureDomain, MemberState::Alive};
    const std::uint64_t seed = hash64(this->incarnationName);
    this->client = std::make_unique<HttpClient>(*this->runtime);
    this->platform = PlatformRegistry::instance().make(settings.platform.adapter,
                                                       {this->client.get(), settings.platform});
    this->gossip =
        std::make_unique<Gossip>(self, firstMemberVersion(clock), GossipOptions{}, clock, seed);
    this->peers = std::make_unique<PeerMessenger>(*this->runtime, settings, *this->gossip, metrics);
    TableService &table = this->platform->table();
    this->rules = std::make_unique<RulesStore>(table);
    this->receipts = std::make_unique<ReceiptWriter>(
        *this->runtime, settings, this->incarnationName, table, *this->peers, metrics);
    this->sweeper =
        std::make_unique<AbandonedReceiptSweeper>(*this->gossip, this->receipts->copies(), table,
                                                  clock, settings.timing.abandonAfter, metrics);
    const LoadReportHandler onLoadReport = [this](UpstreamIndex upstream, const LoadReport &report,
                                                  const std::vector<CacheEvent> &events) {
        for (const ControlListener &listener : this->listeners) {
            listener.report(upstream, report, events);
        }
    };
    this->poller = std::make_unique<UpstreamPoller>(*this->runtime, settings, *this->gossip,
                                                    *this->client, clock, metrics, onLoadReport);
    this->pools = std::make_unique<PoolController>(settings, this->incarnationName, table,
                                                   *this->poller, clock, metrics);
    this->outcomes =
        std::make_unique<OutcomeAggregator>(settings.name, *this->gossip, table, clock, metrics);
    this->peers->onRumors([this] { this->processRumors(); });
    this->peers->setHandler(PeerMessageKind::FetchRules, [this](std::string) -> std::string {
        return this->rules->isLoaded() ? encodeRulesFile(this->rules->file()) : std::string();
    });
}

ControlThread::~ControlThread()
{
    if (this->thread.joinable()) {
        this->thread.detach(); // The process ends with exit(); see EntryProcess.
    }
}

void ControlThread::addListener(ControlListener listener)
{
    this->listeners.push_back(std::move(listener));
}

absl::Status ControlThread::start()
{
    absl::Status bound = this->peers->start();
    if (!bound.ok()) {
        return bound;
    }
    this->thread = std::thread([this] { this->run(); });
    return absl::OkStatus();
}

void ControlThread::run()
{
    this->runtime->post([this] { this->bootstrap(); });
    this->runtime->run();
}

void ControlThread::runEvery(Duration interval, std::function<void()> work)
{
    this->runtime->spawn([this, interval, work = std::move(work)] {
        while (true) {
            work();
            this->runtime->sleepFor(interval);
        }
    });
}

void ControlThread::bootstrap()
{
    const TimingSettings &timing = this->settings.timing;
    this->runEvery(timing.gossip, [this] { this->peers->gossipRound(); });
    this->receipts->start();
    int attempts = 0;
    while (!this->rules->isLoaded()) {
        this->refreshRules();
        constexpr int kAttemptsBeforePeers = 3;
        if (!this->rules->isLoaded() && ++attempts >= kAttemptsBeforePeers) {
            this->fetchNewerRules(); // The platform is unavailable; peers may have rules.
        }
        if (!this->rules->isLoaded()) {
            this->runtime->sleepFor(kBootstrapRetryDelay);
        }
    }
    this->bootstrapped = true;
    this->startPeriodicTasks();
    LOG(INFO) << "instance " << this->incarnationName << " started with rules version "
              << this->rules->file().version;
}

void ControlThread::startPeriodicTasks()
{
    const TimingSettings &timing = this->settings.timing;
    this->publish();
    this->runEvery(timing.headPoll, [this] { this->refreshRules(); });
    this->runEvery(timing.loadPoll, [this] { this->poller->pollRound(); });
    this->runEvery(kInstanceListInterval, [this] { this->pollInstanceList(); });
    this->runEvery(kCountsGossipInterval, [this] { this->outcomes->publishCounts(); });
    this->runEvery(kPoolControlInterval, [this] { this->pools->runRound(*this->rules->rules()); });
    this->runEvery(kSweepInterval, [this] { this->sweeper->sweep(); });
    this->runEvery(kMarkOpenInterval,
                   [this] { (void)this->sweeper->markOpen(this->incarnationName); });
    this->runEvery(kQualityGossipInterval, [this] { this->outcomes->publishQuality(); });
    this->runEvery(kSweepInterval, [this] {
        (void)this->outcomes->loadRolloutHolds();
        this->outcomes->storeRolloutHolds();
    });
    this->runEvery(kCascadePlanInterval, [this] {
        this->plan =
            std::make_shared<const CascadePlan>(this->outcomes->plan(*this->rules->rules()));
        this->publish();
    });
    if (this->settings.traces.collector.port != 0) {
        this->runEvery(kSpanExportInterval, [this] { this->exportSpans(); });
    }
}

void ControlThread::announceRulesVersion()
{
    const std::uint64_t version = this->rules->file().version;
    this->gossip->tell({{RumorKind::InForce, this->settings.name}, version, ""});
    this->gossip->tell({{RumorKind::Rules, "head"}, version, ""});
}

void ControlThread::refreshRules()
{
    const std::uint64_t before = this->rules->file().version;
    const bool hadRules = this->rules->isLoaded();
    const absl::Status status = this->rules->refresh();
    if (status.ok()) {
        this->lastPlatformContact = this->clock.now();
    }
    if (this->rules->isLoaded() && (!hadRules || this->rules->file().version != before)) {
        this->rulesVersionSeenAt = this->clock.now();
        this->publish();
    }
    if (this->rules->isLoaded()) {
        this->announceRulesVersion();
    }
}

void ControlThread::pollInstanceList()
{
    const auto listed = this->platform->instanceList().instances();
    if (!listed.ok()) {
        return;
    }
    this->lastPlatformContact = this->clock.now();
    this->listedLive.clear();
    this->listedLeaving.clear();
    for (const ListedInstance &instance : *listed) {
        (instance.state == ListedState::Live ? this->listedLive : this->listedLeaving)
            .insert(instance.name);
        Endpoint endpoint;
        if (parseEndpoint(instance.address, &endpoint)
            && !this->settings.findUpstream(instance.name)) {
            this->gossip->addSeed(instance.name, endpoint);
        }
    }
    for (const UpstreamSettings &upstream : this->settings.upstreams) {
        if (this->listedLeaving.contains(upstream.name)) {
            this->gossip->tell({{RumorKind::UpstreamLeaving, upstream.name}, 1, ""});
        }
    }
    this->poller->applyRumors();
}

void ControlThread::fetchNewerRules()
{
    const Rumor *head = this->gossip->store().find({RumorKind::Rules, "head"});
    const bool newer =
        head && (!this->rules->isLoaded() || head->version > this->rules->file().version);
    if (!newer || this->fetchingRules) {
        return;
    }
    this->fetchingRules = true;
    this->runtime->spawn([this] {
        this->refreshRules();
        for (const Member &member : readMembers(this->gossip->store())) {
            const Rumor *inForce = this->gossip->store().find({RumorKind::InForce, member.name});
            const std::uint64_t ownVersion =
                this->rules->isLoaded() ? this->rules->file().version : 0;
            const bool useful = inForce && member.name != this->settings.name
                && member.state != MemberState::Unknown
                && (inForce->version > ownVersion || !this->rules->isLoaded());
            if (!useful) {
                continue;
            }
            const auto text = this->peers->call(member.peers, PeerMessageKind::FetchRules, "",
                                                kFetchRulesTimeout);
            const auto file =
                text.ok() ? decodeRulesFile(*text) : absl::StatusOr<RulesFile>(text.status());
            if (file.ok() && this->rules->adopt(*file)) {
                this->rulesVersionSeenAt = this->clock.now();
                this->publish();
                this->announceRulesVersion();
            }
        }
        this->fetchingRules = false;
    });
}

void ControlThread::processRumors()
{
    this->fetchNewerRules();
    this->poller->applyRumors();
    this->outcomes->applyRumors();
    this->gossip->store().forEach(RumorKind::Quarantine, [&](const Rumor &rumor) {
        const std::size_t separator = rumor.id.name.find('@');
        if (separator == std::string::npos || !this->knownCrashes.insert(rumor.id.name).second) {
            return;
        }
        for (const ControlListener &listener : this->listeners) {
            listener.crash(rumor.id.name.substr(0, separator), rumor.id.name.substr(separator + 1));
        }
    });
    this->gossip->store().forEach(RumorKind::Usage, [&](const Rumor &rumor) {
        const std::size_t separator = rumor.id.name.find('/');
        const auto usage = decodeUsage(rumor.payload);
        if (separator == std::string::npos || !usage.ok()) {
            return;
        }
        for (const ControlListener &listener : this->listeners) {
            listener.usage(rumor.id.name.substr(separator + 1), rumor.id.name.substr(0, separator),
                           *usage);
        }
    });
    if (!this->bootstrapped) {
        return;
    }
    const auto current = this->currentSnapshot.get();
    const bool heldChanged = this->outcomes->evaluateRollouts(*this->rules->rules())
        || current->heldRollouts != this->outcomes->heldRollouts();
    if (heldChanged || this->gossip->store().digest() != this->publishedGossipDigest) {
        this->publish();
    }
}

void ControlThread::updateReadiness(Snapshot &next) const
{
    const Duration sinceContact =
        std::min(this->clock.now() - this->lastPlatformContact, this->gossip->sinceHeard());
    if (!this->rules->isLoaded()) {
        return;
    }
    next.acceptsRequests = sinceContact < this->settings.timing.silenceBound;
    next.notReadyReason =
        next.acceptsRequests ? "" : "neither the platform nor any other instance answers";
}

void ControlThread::publish()
{
    auto next = std::make_shared<Snapshot>();
    next->createdAt = this->clock.now();
    if (this->rules->isLoaded()) {
        next->rules = this->rules->rules();
    }
    next->plan = this->plan;
    next->quality = std::make_shared<const QualityStats::Table>(this->outcomes->qualityTotals());
    next->heldRollouts = this->outcomes->heldRollouts();
    next->members = readMembers(this->gossip->store());
    next->leaving = this->gossip->self().state == MemberState::Leaving;
    next->ratingsAvailable = this->outcomes->ratingsAvailable();
    this->updateReadiness(*next);
    this->publishedGossipDigest = this->gossip->store().digest();
    const auto before = this->currentSnapshot.get();
    if (before->acceptsRequests != next->acceptsRequests) {
        LOG(INFO) << (next->acceptsRequests ? "accepting requests"
                                            : "not accepting requests: " + next->notReadyReason);
    }
    this->metrics.counter("rules_version").set(static_cast<std::int64_t>(next->rules->version));
    this->metrics.counter("members_reachable").set(this->gossip->reachableMembers());
    this->currentSnapshot.set(std::move(next));
    for (const ControlListener &listener : this->listeners) {
        listener.snapshotChanged();
    }
}

void ControlThread::exportSpans()
{
    std::vector<Span> batch = this->spans.take(kMaxSpansPerExport);
    if (batch.empty()) {
        return;
    }
    const HttpRequest request{"POST",
                              "/v1/traces",
                              {{"Content-Type", "application/json"}},
                              printOtlp(batch, this->settings.name)};
    CallOptions options;
    options.timeout = seconds(1);
    const auto sent = this->client->call(this->settings.traces.collector, request, options);
    this->metrics.counter(sent.ok() ? "spans_exported_total" : "spans_lost_total")
        .add(static_cast<std::int64_t>(batch.size()));
}

void ControlThread::observe(Observation observation)
{
    this->runtime->post([this, observation = std::move(observation)] {
        if (const auto *crash = std::get_if<CrashObservation>(&observation)) {
            const std::string name = crash->fingerprint + "@" + crash->upstream;
            this->gossip->tell({{RumorKind::Quarantine, name}, 1, ""});
            this->processRumors();
        } else if (const auto *usage = std::get_if<UsageObservation>(&observation)) {
            const auto version =
                static_cast<std::uint64_t>(usage->usage.requests + usage->usage.tokens);
            this->gossip->tell({{RumorKind::Usage, usage->reporter + "/" + usage->workspace},
                                version,
                                encodeUsage(usage->usage)});
            // Other traffic threads of this process count it in the same way as usage of peers.
            for (const ControlListener &listener : this->listeners) {
                listener.usage(usage->workspace, usage->reporter, usage->usage);
            }
        } else {
            this->outcomes->observe(observation);
            if (this->bootstrapped && this->outcomes->evaluateRollouts(*this->rules->rules())) {
                this->publish();
            }
        }
    });
}

std::shared_ptr<ReceiptGate> ControlThread::openReceipt(Receipt receipt)
{
    auto gate = std::make_shared<ReceiptGate>();
    this->runtime->post([this, gate, receipt = std::move(receipt)]() mutable {
        this->receipts->open(std::move(receipt), gate);
    });
    return gate;
}

void ControlThread::closeReceipt(Receipt receipt)
{
    this->runtime->post([this, receipt = std::move(receipt)]() mutable {
        this->receipts->close(std::move(receipt));
    });
}

template <typename Result>
Result ControlThread::runAndWait(std::function<Result()> work)
{
    struct Shared
    {
        FiberEvent done;
        std::optional<Result> result;
    };
    auto shared = std::make_shared<Shared>();
    this->runtime->post([shared, work = std::move(work)] {
        shared->result = work();
        shared->done.set();
    });
    while (!shared->done.waitFor(seconds(60))) { }
    return std::move(*shared->result);
}

RulesStatus ControlThread::currentRulesStatus() const
{
    RulesStatus status;
    status.version = this->rules->file().version;
    const double since = toSeconds(this->clock.now() - this->rulesVersionSeenAt);
    for (const Member &member : readMembers(this->gossip->store())) {
        // A member that does not respond is counted until the platform no longer lists it, because
        // it may still be running.
        const bool listed = this->listedLive.contains(member.name);
        if (member.state == MemberState::Unknown && !listed) {
            continue;
        }
        const Rumor *inForce = this->gossip->store().find({RumorKind::InForce, member.name});
        const std::uint64_t version = inForce ? inForce->version : 0;
        status.instances.push_back(
            {member.name, version, member.state, version >= status.version ? 0 : since});
    }
    return status;
}

RulesStatus ControlThread::rulesStatus()
{
    return this->runAndWait<RulesStatus>([this] { return this->currentRulesStatus(); });
}

ApplyReport ControlThread::applyRules(std::string text, std::uint64_t base)
{
    return this->runAndWait<ApplyReport>([this, text = std::move(text), base] {
        ApplyReport report;
        report.result = this->rules->apply(text, base);
        const bool stored = report.result.outcome == ApplyOutcome::Stored
            || report.result.outcome == ApplyOutcome::AlreadyStored;
        if (stored) {
            LOG(INFO) << "rules version " << report.result.version << " stored";
            this->rulesVersionSeenAt = this->clock.now();
            this->publish();
            this->announceRulesVersion();
        }
        report.status = this->currentRulesStatus();
        const TimePoint end = this->clock.now() + kConfirmationTimeout;
        while (stored && !report.status.isInForceEverywhere() && this->clock.now() < end) {
            this->runtime->sleepFor(kConfirmationPollInterval);
            report.status = this->currentRulesStatus();
        }
        return report;
    });
}

absl::StatusOr<RulesFile> ControlThread::fetchRules(std::uint64_t version)
{
    return this->runAndWait<absl::StatusOr<RulesFile>>(
        [this, version]() -> absl::StatusOr<RulesFile> {
            if (version == 0) {
                return this->rules->file();
            }
            return this->rules->readVersion(version);
        });
}

void ControlThread::leave()
{
    this->runtime->post([this] {
        this->gossip->leave();
        this->publish();
    });
}

bool ControlThread::drainReceipts(Duration timeout)
{
    return this->runAndWait<bool>([this, timeout] { return this->receipts->drain(timeout); });
}

} // namespace basilnotch
