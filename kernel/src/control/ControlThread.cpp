// Loops, each a fiber, over the parts of the control state. Nothing here is shared with another
// thread except the snapshot box; other threads post work to this thread's runtime.
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
constexpr Duration kBootRetry = milliseconds(200);
constexpr Duration kPlanInterval = seconds(1);
constexpr Duration kTellInterval = milliseconds(500);
constexpr Duration kListInterval = seconds(2);
constexpr Duration kSweepInterval = seconds(1);
constexpr Duration kMarkInterval = seconds(5);    // A write of each instance: the table is shared.
constexpr Duration kQualityInterval = seconds(3); // The largest of the rumors.
constexpr Duration kSpanInterval = milliseconds(500);
constexpr Duration kPoolInterval = milliseconds(500);
constexpr Duration kConfirmWait = seconds(4); // `rules apply` waits so long for confirmations.
constexpr Duration kConfirmPoll = milliseconds(50);
constexpr std::size_t kSpansPerExport = 512;
constexpr Duration kFetchTimeout = milliseconds(500);

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
    , platformHeardAt(clock.now())
    , headSeenAt(clock.now())
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
    const LoadReportHandler sink = [this](UpstreamIndex upstream, const LoadReport &report,
                                          const std::vector<CacheEvent> &events) {
        for (const ControlListener &listener : this->listeners) {
            listener.report(upstream, report, events);
        }
    };
    this->poller = std::make_unique<UpstreamPoller>(*this->runtime, settings, *this->gossip,
                                                    *this->client, clock, metrics, sink);
    this->pools = std::make_unique<PoolController>(settings, this->incarnationName, table,
                                                   *this->poller, clock, metrics);
    this->verdicts =
        std::make_unique<OutcomeAggregator>(settings.name, *this->gossip, table, clock, metrics);
    this->peers->onRumors([this] { this->takeRumors(); });
    this->peers->handle(PeerMessageKind::FetchRules, [this](std::string) -> std::string {
        return this->rules->hasRead() ? encodeRulesFile(this->rules->file()) : std::string();
    });
}

ControlThread::~ControlThread()
{
    if (this->thread.joinable()) {
        this->thread.detach(); // The process ends by exit(); see EntryProcess.
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
    this->runtime->post([this] { this->boot(); });
    this->runtime->run();
}

void ControlThread::every(Duration interval, std::function<void()> work)
{
    this->runtime->spawn([this, interval, work = std::move(work)] {
        while (true) {
            work();
            this->runtime->sleepFor(interval);
        }
    });
}

void ControlThread::boot()
{
    const TimingSettings &timing = this->settings.timing;
    this->every(timing.gossip, [this] { this->peers->gossipRound(); });
    this->receipts->start();
    int tries = 0;
    while (!this->rules->hasRead()) {
        this->pollHead();
        constexpr int kTriesBeforePeers = 3;
        if (!this->rules->hasRead() && ++tries >= kTriesBeforePeers) {
            this->takeRulesRumor(); // The platform is out: the highest version known to peers.
        }
        if (!this->rules->hasRead()) {
            this->runtime->sleepFor(kBootRetry);
        }
    }
    this->booted = true;
    this->startLoops();
    LOG(INFO) << "instance " << this->incarnationName << " in force: rules "
              << this->rules->file().version;
}

void ControlThread::startLoops()
{
    const TimingSettings &timing = this->settings.timing;
    this->publish();
    this->every(timing.headPoll, [this] { this->pollHead(); });
    this->every(timing.loadPoll, [this] { this->poller->pollRound(); });
    this->every(kListInterval, [this] { this->pollInstanceList(); });
    this->every(kTellInterval, [this] { this->verdicts->tell(); });
    this->every(kPoolInterval, [this] { this->pools->round(*this->rules->rules()); });
    this->every(kSweepInterval, [this] { this->sweeper->sweep(); });
    this->every(kMarkInterval, [this] { (void)this->sweeper->markOpen(this->incarnationName); });
    this->every(kQualityInterval, [this] { this->verdicts->tellQuality(); });
    this->every(kSweepInterval, [this] {
        (void)this->verdicts->loadHolds();
        this->verdicts->storeHolds();
    });
    this->every(kPlanInterval, [this] {
        this->plan =
            std::make_shared<const CascadePlan>(this->verdicts->plan(*this->rules->rules()));
        this->publish();
    });
    if (this->settings.traces.collector.port != 0) {
        this->every(kSpanInterval, [this] { this->exportSpans(); });
    }
}

void ControlThread::tellInForce()
{
    const std::uint64_t version = this->rules->file().version;
    this->gossip->tell({{RumorKind::InForce, this->settings.name}, version, ""});
    this->gossip->tell({{RumorKind::Rules, "head"}, version, ""});
}

void ControlThread::pollHead()
{
    const std::uint64_t before = this->rules->file().version;
    const bool hadRules = this->rules->hasRead();
    const absl::Status status = this->rules->refresh();
    if (status.ok()) {
        this->platformHeardAt = this->clock.now();
    }
    if (this->rules->hasRead() && (!hadRules || this->rules->file().version != before)) {
        this->headSeenAt = this->clock.now();
        this->publish();
    }
    if (this->rules->hasRead()) {
        this->tellInForce();
    }
}

void ControlThread::pollInstanceList()
{
    const auto listed = this->platform->instanceList().instances();
    if (!listed.ok()) {
        return;
    }
    this->platformHeardAt = this->clock.now();
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

void ControlThread::takeRulesRumor()
{
    const Rumor *head = this->gossip->store().find({RumorKind::Rules, "head"});
    const bool newer =
        head && (!this->rules->hasRead() || head->version > this->rules->file().version);
    if (!newer || this->fetchingRules) {
        return;
    }
    this->fetchingRules = true;
    this->runtime->spawn([this] {
        this->pollHead();
        for (const Member &member : readMembers(this->gossip->store())) {
            const Rumor *inForce = this->gossip->store().find({RumorKind::InForce, member.name});
            const std::uint64_t mine = this->rules->hasRead() ? this->rules->file().version : 0;
            const bool useful = inForce && member.name != this->settings.name
                && member.state != MemberState::Unknown
                && (inForce->version > mine || !this->rules->hasRead());
            if (!useful) {
                continue;
            }
            const auto text =
                this->peers->call(member.peers, PeerMessageKind::FetchRules, "", kFetchTimeout);
            const auto file =
                text.ok() ? decodeRulesFile(*text) : absl::StatusOr<RulesFile>(text.status());
            if (file.ok() && this->rules->adopt(*file)) {
                this->headSeenAt = this->clock.now();
                this->publish();
                this->tellInForce();
            }
        }
        this->fetchingRules = false;
    });
}

void ControlThread::takeRumors()
{
    this->takeRulesRumor();
    this->poller->applyRumors();
    this->verdicts->applyRumors();
    this->gossip->store().forEach(RumorKind::Quarantine, [&](const Rumor &rumor) {
        const std::size_t cut = rumor.id.name.find('@');
        if (cut == std::string::npos || !this->knownCrashes.insert(rumor.id.name).second) {
            return;
        }
        for (const ControlListener &listener : this->listeners) {
            listener.crash(rumor.id.name.substr(0, cut), rumor.id.name.substr(cut + 1));
        }
    });
    this->gossip->store().forEach(RumorKind::Usage, [&](const Rumor &rumor) {
        const std::size_t cut = rumor.id.name.find('/');
        const auto usage = decodeUsage(rumor.payload);
        if (cut == std::string::npos || !usage.ok()) {
            return;
        }
        for (const ControlListener &listener : this->listeners) {
            listener.usage(rumor.id.name.substr(cut + 1), rumor.id.name.substr(0, cut), *usage);
        }
    });
    if (!this->booted) {
        return;
    }
    const auto current = this->box.get();
    const bool heldChanged = this->verdicts->judge(*this->rules->rules())
        || current->heldRollouts != this->verdicts->held();
    if (heldChanged || this->gossip->store().digest() != this->publishedDigest) {
        this->publish();
    }
}

void ControlThread::updateReadiness(Snapshot &next) const
{
    const Duration silence =
        std::min(this->clock.now() - this->platformHeardAt, this->gossip->sinceHeard());
    if (!this->rules->hasRead()) {
        return;
    }
    next.acceptsRequests = silence < this->settings.timing.silenceBound;
    next.notReadyReason =
        next.acceptsRequests ? "" : "neither the platform nor any other instance answers";
}

void ControlThread::publish()
{
    auto next = std::make_shared<Snapshot>();
    next->createdAt = this->clock.now();
    if (this->rules->hasRead()) {
        next->rules = this->rules->rules();
    }
    next->plan = this->plan;
    next->quality = std::make_shared<const QualityStats::Table>(this->verdicts->qualityTotals());
    next->heldRollouts = this->verdicts->held();
    next->members = readMembers(this->gossip->store());
    next->leaving = this->gossip->self().state == MemberState::Leaving;
    next->ratingsAvailable = this->verdicts->ratingsAvailable();
    this->updateReadiness(*next);
    this->publishedDigest = this->gossip->store().digest();
    const auto before = this->box.get();
    if (before->acceptsRequests != next->acceptsRequests) {
        LOG(INFO) << (next->acceptsRequests ? "takes work"
                                            : "takes no new work: " + next->notReadyReason);
    }
    this->metrics.counter("rules_version").set(static_cast<std::int64_t>(next->rules->version));
    this->metrics.counter("members_reachable").set(this->gossip->reachableMembers());
    this->box.set(std::move(next));
    for (const ControlListener &listener : this->listeners) {
        listener.snapshotChanged();
    }
}

void ControlThread::exportSpans()
{
    std::vector<Span> batch = this->spans.take(kSpansPerExport);
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
            this->takeRumors();
        } else if (const auto *usage = std::get_if<UsageObservation>(&observation)) {
            const auto version =
                static_cast<std::uint64_t>(usage->usage.requests + usage->usage.tokens);
            this->gossip->tell({{RumorKind::Usage, usage->reporter + "/" + usage->workspace},
                                version,
                                encodeUsage(usage->usage)});
            // Other traffic threads of this process learn of it as other instances do.
            for (const ControlListener &listener : this->listeners) {
                listener.usage(usage->workspace, usage->reporter, usage->usage);
            }
        } else {
            this->verdicts->observe(observation);
            if (this->booted && this->verdicts->judge(*this->rules->rules())) {
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
Result ControlThread::ask(std::function<Result()> work)
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

RulesStatus ControlThread::statusNow() const
{
    RulesStatus status;
    status.version = this->rules->file().version;
    const double since = toSeconds(this->clock.now() - this->headSeenAt);
    for (const Member &member : readMembers(this->gossip->store())) {
        // A silent member counts until the platform no longer lists it: silence is not an end.
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
    return this->ask<RulesStatus>([this] { return this->statusNow(); });
}

ApplyReport ControlThread::applyRules(std::string text, std::uint64_t base)
{
    return this->ask<ApplyReport>([this, text = std::move(text), base] {
        ApplyReport report;
        report.result = this->rules->apply(text, base);
        const bool stored = report.result.outcome == ApplyOutcome::Stored
            || report.result.outcome == ApplyOutcome::AlreadyStored;
        if (stored) {
            LOG(INFO) << "rules " << report.result.version << " stored";
            this->headSeenAt = this->clock.now();
            this->publish();
            this->tellInForce();
        }
        report.status = this->statusNow();
        const TimePoint end = this->clock.now() + kConfirmWait;
        while (stored && !report.status.isInForceEverywhere() && this->clock.now() < end) {
            this->runtime->sleepFor(kConfirmPoll);
            report.status = this->statusNow();
        }
        return report;
    });
}

absl::StatusOr<RulesFile> ControlThread::fetchRules(std::uint64_t version)
{
    return this->ask<absl::StatusOr<RulesFile>>([this, version]() -> absl::StatusOr<RulesFile> {
        if (version == 0) {
            return this->rules->file();
        }
        return this->rules->version(version);
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
    return this->ask<bool>([this, timeout] { return this->receipts->drain(timeout); });
}

} // namespace basilnotch
