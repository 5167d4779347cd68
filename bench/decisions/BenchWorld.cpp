// Plays the part of `serve`: the same calls into the decision library, with fakes on both sides.
#include "BenchWorld.h"

#include "OraclePolicy.h"

#include <base/Hash.h>

#include <algorithm>
#include <cmath>

namespace basilnotch::bench {

namespace {

constexpr Duration kPlanInterval = std::chrono::seconds(5);
constexpr Duration kEntryPump = std::chrono::milliseconds(50);
constexpr double kRatingsOfSystem = 180; // Sampled answers a second for all entries together.
constexpr double kExpectedOutput = 300;
constexpr double kPriceUnit = 1000;
constexpr Duration kRestartTime = std::chrono::seconds(20); // Of a crashed engine.

FairQueueOptions queueOptions(bool priorities)
{
    FairQueueOptions options;
    options.capacity = 100'000;
    options.maxPerWorkspace = 20'000;
    options.lowerClassInterval = priorities ? options.lowerClassInterval : 1 << 30;
    return options;
}

} // namespace

BenchWorld::BenchWorld(const Scenario &scenario, const PolicyChoice &policy, std::uint64_t seed)
    : scenario(scenario)
    , policy(policy)
    , loop(this->clock)
    , random(seed * 977 + 5)
    , ratings(this->loop, scenario, seed * 31 + 7)
    , rules(std::make_shared<Rules>(makeRules(scenario, false)))
    , truth(policy.knowsQuality ? trueQuality(scenario) : QualityStats::Table{})
{
    this->summary.scenario = scenario.name;
    this->summary.policy = policy.name;
    this->summary.seed = seed;
    this->requests = makeWorkload(scenario, seed);
    this->ledgerFree.assign(static_cast<std::size_t>(scenario.ledger.servers)
                                * static_cast<std::size_t>(scenario.ledger.slots),
                            this->clock.now());
    this->makeEngines();
    this->makeEntries(seed);
}

BenchWorld::~BenchWorld() = default;

void BenchWorld::makeEngines()
{
    this->engineModels = serverModels(this->scenario);
    for (std::size_t server = 0; server < this->engineModels.size(); ++server) {
        EngineEvents events;
        const Duration oneWay = this->scenario.oneWay;
        events.firstToken = [this, oneWay](std::uint64_t id) {
            this->loop.after(oneWay, [this, id] { this->onFirstToken(id); });
        };
        events.finished = [this, oneWay](std::uint64_t id, int tokens) {
            this->loop.after(oneWay, [this, id, tokens] { this->onFinished(id, tokens); });
        };
        events.stopped = [this](std::uint64_t id, int tokens, int wasted) {
            this->onStopped(id, tokens, wasted);
        };
        events.cached = [this, server](std::uint64_t hash, int tokens) {
            const EngineTruth &engine = this->scenario.engine;
            if (std::uniform_real_distribution<double>(0, 1)(this->random)
                < engine.cacheEventLoss) {
                return;
            }
            const double late = std::uniform_real_distribution<double>(
                toSeconds(engine.cacheEventMin), toSeconds(engine.cacheEventMax))(this->random);
            this->loop.after(fromSeconds(late), [this, server, hash, tokens] {
                for (const auto &entry : this->entries) {
                    entry->routing->applyCacheEvent(static_cast<UpstreamIndex>(server), hash,
                                                    tokens);
                }
            });
        };
        this->engines.push_back(
            std::make_unique<FakeEngine>(this->loop, this->scenario.engine, std::move(events)));
    }
}

void BenchWorld::makeEntries(std::uint64_t seed)
{
    for (int number = 0; number < this->scenario.entries; ++number) {
        auto entry = std::make_unique<Entry>();
        entry->number = number;
        entry->domain = "d" + std::to_string(number % this->scenario.failureDomains);
        entry->random.seed(seed * 1009 + static_cast<std::uint64_t>(number));
        entry->routing =
            makeRouting(this->policy, this->scenario, entry->domain, this->clock, entry->random());
        if (this->policy.routing == "true-state") {
            entry->routing = std::make_unique<OraclePolicy>(
                std::move(entry->routing), [this](RoutingPolicy &inner) {
                    for (std::size_t server = 0; server < this->engines.size(); ++server) {
                        LoadReport report = this->engines[server]->report();
                        report.loaded = {
                            {this->scenario
                                 .models[static_cast<std::size_t>(this->engineModels[server])]
                                 .name,
                             "v1"}};
                        if (this->rolloutStarted
                            && report.loaded.front().model == this->scenario.rollout.model) {
                            report.loaded.push_back({report.loaded.front().model, "v2"});
                        }
                        report.measuredAt = this->clock.now() + this->scenario.oneWay;
                        inner.applyReport(static_cast<UpstreamIndex>(server), report);
                    }
                });
        }
        entry->dispatcher = std::make_unique<Dispatcher>(
            *entry->routing, queueOptions(this->policy.priorities), this->clock);
        entry->dispatcher->setRules(this->rules, {});
        entry->quality = std::make_unique<QualityStats>("e" + std::to_string(number));
        entry->ratingCreditAt = this->clock.now();
        this->entries.push_back(std::move(entry));
    }
}

void BenchWorld::schedule()
{
    const auto repeat = [this](Duration interval, auto self, auto action) -> void {
        this->loop.after(interval, [this, interval, self, action] {
            action();
            self(interval, self, action);
        });
    };
    this->reportLoads();
    repeat(this->scenario.engine.reportEvery, repeat, [this] { this->reportLoads(); });
    repeat(this->scenario.gossip, repeat, [this] { this->exchange(); });
    repeat(kPlanInterval, repeat, [this] { this->replan(); });
    repeat(kEntryPump, repeat, [this] {
        for (const auto &entry : this->entries) {
            this->pump(*entry);
        }
    });
    if (!this->scenario.rollout.model.empty()) {
        this->loop.after(this->scenario.rollout.start, [this] { this->startRollout(); });
    }
    if (this->scenario.slowServer >= 0
        && this->scenario.slowServer < static_cast<int>(this->engines.size())) {
        FakeEngine &slow = *this->engines[static_cast<std::size_t>(this->scenario.slowServer)];
        this->loop.after(this->scenario.slow.from,
                         [this, &slow] { slow.setSlowFactor(this->scenario.slowFactor); });
        this->loop.after(this->scenario.slow.to, [&slow] { slow.setSlowFactor(1); });
    }
    for (const BenchRequest &request : this->requests) {
        this->loop.after(request.arrival + this->scenario.callerOneWay,
                         [this, &request] { this->arrive(request); });
    }
}

Summary BenchWorld::run()
{
    this->replan();
    this->schedule();
    this->loop.run(this->scenario.duration);
    return std::move(this->summary);
}

void BenchWorld::reportLoads()
{
    for (std::size_t server = 0; server < this->engines.size(); ++server) {
        LoadReport report = this->engines[server]->report();
        const std::string &model =
            this->scenario.models[static_cast<std::size_t>(this->engineModels[server])].name;
        report.loaded = {{model, "v1"}};
        if (this->rolloutStarted && model == this->scenario.rollout.model) {
            report.loaded.push_back({model, "v2"});
        }
        const Duration lag = this->loop.elapsed() == Duration::zero()
            ? Duration::zero()
            : this->scenario.engine.reportAge;
        this->loop.after(lag, [this, server, report] {
            for (const auto &entry : this->entries) {
                entry->routing->applyReport(static_cast<UpstreamIndex>(server), report);
                this->pump(*entry);
            }
        });
    }
}

void BenchWorld::exchange()
{
    // What each entry has counted by now reaches the others with the next gossip rounds.
    std::map<ModelVersion, VersionCounts> sum;
    for (const auto &entry : this->entries) {
        for (const auto &[version, counts] : entry->ownCounts) {
            sum[version].add(counts);
        }
    }
    this->loop.after(this->scenario.gossip, [this, sum] {
        for (const auto &entry : this->entries) {
            if (this->policy.sharesCounts) {
                for (const auto &[version, counts] : sum) {
                    entry->knownCounts[version].merge(counts);
                }
            } else {
                entry->knownCounts = entry->ownCounts;
            }
            this->judge(*entry);
        }
    });
}

void BenchWorld::replan()
{
    PlannerOptions options;
    options.ratingPassesBad = this->scenario.ratingPassesBad;
    options.ratingFailsGood = this->scenario.ratingFailsGood;
    QualityStats::Table totals;
    // The counts reach all entries within a second, which is short beside the planning interval:
    // one plan stands for all.
    for (const auto &entry : this->entries) {
        for (const auto &[key, counts] : entry->quality->ownTable()) {
            totals[key].add(counts);
        }
    }
    if (this->policy.knowsQuality) {
        options.confidence = 0;
        options.initialExploreShare = 0;
        options.steadyExploreShare = 0;
        options.minKnownRatings = 1;
        // The oracle knows the chances; lengths and cancels it learns as all do.
        for (const auto &[key, counts] : this->truth) {
            QualityCounts &known = totals[key];
            known.rated += counts.rated;
            known.good += counts.good;
        }
    }
    const bool ratingsAvailable = this->clock.now() >= this->ratingsDownUntil;
    this->plan = CascadePlanner(options).plan(*this->rules, totals, ratingsAvailable);
}

void BenchWorld::startRollout()
{
    this->rolloutStarted = true;
    this->rules = std::make_shared<Rules>(makeRules(this->scenario, true));
    for (const auto &entry : this->entries) {
        entry->dispatcher->setRules(this->rules, entry->held);
        entry->guard =
            std::make_unique<RolloutGuard>(this->rules->rollouts.front(), RolloutGuardOptions{});
    }
    this->reportLoads();
}

void BenchWorld::judge(Entry &entry)
{
    if (!entry.guard || !entry.held.empty()) {
        return;
    }
    const std::string &model = this->scenario.rollout.model;
    if (entry.guard->update(entry.knownCounts[{model, "v1"}], entry.knownCounts[{model, "v2"}])) {
        this->applyHold(entry, this->policy.sharesCounts);
    }
}

void BenchWorld::applyHold(Entry &entry, bool tellOthers)
{
    if (!entry.held.empty()) {
        return;
    }
    entry.held.insert(this->rules->rollouts.front().key());
    entry.dispatcher->setRules(this->rules, entry.held);
    const RolloutTruth &rollout = this->scenario.rollout;
    if (!this->summary.held) {
        const Duration since =
            rollout.start + (rollout.badness == "none" ? Duration::zero() : rollout.badFrom);
        this->summary.held = true;
        this->summary.heldAfter = toSeconds(this->loop.elapsed() - since);
    }
    if (tellOthers) {
        this->loop.after(this->scenario.gossip, [this] {
            for (const auto &other : this->entries) {
                this->applyHold(*other, false);
            }
        });
    }
}

int BenchWorld::modelIndex(const std::string &name) const
{
    const auto found = std::find_if(this->scenario.models.begin(), this->scenario.models.end(),
                                    [&](const ModelTruth &model) { return model.name == name; });
    return static_cast<int>(found - this->scenario.models.begin());
}

void BenchWorld::arrive(const BenchRequest &request)
{
    ++this->summary.requests;
    this->serveLedger(request);
    Entry &entry = *this->entries[static_cast<std::size_t>(request.entry)];
    const TaskTruth &task = this->scenario.tasks[static_cast<std::size_t>(request.task)];
    Live live;
    live.request = request;
    live.countedLong = entry.medians.isLong(task.name, request.promptTokens);
    std::uniform_real_distribution<double> draw(0, 1);
    const RequestClass cell{workspaceName(request.workspace), task.name, live.countedLong,
                            request.streamed};
    live.chain = this->plan.choose(cell, draw(entry.random), draw(entry.random));
    if (!this->policy.fixedModel.empty()) {
        live.chain.models = {this->policy.fixedModel};
    }
    const std::uint64_t id = request.id;
    Live &placed = this->lives.emplace(id, std::move(live)).first->second;
    this->loop.after(request.patience, [this, id] { this->callerLeaves(id); });
    this->enqueueStage(placed);
}

void BenchWorld::enqueueStage(Live &live)
{
    Entry &entry = *this->entries[static_cast<std::size_t>(live.request.entry)];
    const TaskTruth &task = this->scenario.tasks[static_cast<std::size_t>(live.request.task)];
    StageRequest stage;
    stage.id = ++this->lastWaitId;
    stage.workspace = workspaceName(live.request.workspace);
    stage.workspaceIndex = live.request.workspace;
    stage.model = live.chain.models[live.stage];
    stage.stickyKey =
        live.request.session.empty() ? "r" + std::to_string(live.request.id) : live.request.session;
    stage.priorityClass = !this->policy.priorities ? PriorityClass::Interactive
        : task.canWait                             ? PriorityClass::Background
        : live.request.streamed                    ? PriorityClass::Interactive
                                                   : PriorityClass::FullResponse;
    stage.expectedTokens = live.request.promptTokens + kExpectedOutput;
    stage.query.promptTokens = live.request.promptTokens;
    stage.query.prefixHash = hash64(stage.workspace + "/" + task.name);
    stage.query.prefixTokens = task.prefix;
    live.waitId = stage.id;
    this->byWaitId[stage.id] = live.request.id;
    if (entry.dispatcher->enqueue(std::move(stage)) != FairQueue::PushResult::Queued) {
        ++this->summary.refused;
        this->byWaitId.erase(live.waitId);
        this->lives.erase(live.request.id);
        return;
    }
    this->pump(entry);
}

void BenchWorld::pump(Entry &entry)
{
    for (const DispatchDecision &decision : entry.dispatcher->pump()) {
        const auto waiting = this->byWaitId.find(decision.id);
        Live &live = this->lives.at(waiting->second);
        this->byWaitId.erase(waiting);
        live.decision = decision;
        live.atEngine = true;
        live.sentAt = this->clock.now();
        this->sendToEngine(live);
    }
}

bool BenchWorld::isBad(const Live &live) const
{
    const RolloutTruth &rollout = this->scenario.rollout;
    return this->rolloutStarted && live.decision.version == ModelVersion{rollout.model, "v2"}
    && rollout.badness != "none" && this->loop.elapsed() >= rollout.start + rollout.badFrom;
}

void BenchWorld::sendToEngine(Live &live)
{
    const TaskTruth &task = this->scenario.tasks[static_cast<std::size_t>(live.request.task)];
    const RolloutTruth &rollout = this->scenario.rollout;
    if (this->rolloutStarted && live.decision.version == ModelVersion{rollout.model, "v2"}) {
        ++this->summary.rolloutRuns;
        this->summary.badRuns += this->isBad(live) ? 1 : 0;
    }
    EngineWork work;
    work.id = live.request.id;
    work.promptTokens = live.request.promptTokens;
    work.prefixHash = live.decision.query.prefixHash;
    work.prefixTokens = task.prefix;
    work.outputTokens = live.request.outputTokens;
    work.priority =
        this->policy.priorities ? enginePriority(live.request.streamed, task.canWait) : 0;
    FakeEngine &engine = *this->engines[static_cast<std::size_t>(live.decision.choice.upstream)];
    const std::uint64_t id = live.request.id;
    const double errorRate = this->isBad(live) && rollout.badness == "errors"
        ? rollout.errorRate
        : this->scenario.baseErrorRate;
    const bool crashes = this->isBad(live) && rollout.badness == "crashes"
        && live.request.badDraw < rollout.crashRate;
    if (live.request.errorDraw < errorRate && live.attempts == 0) {
        this->loop.after(2 * this->scenario.oneWay, [this, id] {
            const auto found = this->lives.find(id);
            if (found != this->lives.end()) {
                ++this->summary.errors;
                ++found->second.attempts;
                this->endStage(found->second, CompletionStatus::Failed, 0);
                this->enqueueStage(found->second);
            }
        });
        return;
    }
    if (crashes && live.attempts == 0) {
        this->loop.after(this->scenario.oneWay, [this, id, &engine] {
            const auto found = this->lives.find(id);
            if (found == this->lives.end()) {
                return;
            }
            ++this->summary.errors;
            std::vector<std::uint64_t> lost;
            engine.crash([&](std::uint64_t other) { lost.push_back(other); });
            engine.setSlowFactor(1);
            this->onLost(id);
            for (const std::uint64_t other : lost) {
                this->onLost(other);
            }
        });
        return;
    }
    this->loop.after(this->scenario.oneWay, [this, work, &engine, id] {
        if (this->lives.contains(id)) {
            engine.submit(work);
        }
    });
}

void BenchWorld::onLost(std::uint64_t id)
{
    const auto found = this->lives.find(id);
    if (found == this->lives.end()) {
        return;
    }
    Live &live = found->second;
    // Only the run that took the engine down counts as its version's crash.
    const bool culprit = live.attempts == 0 && this->isBad(live)
        && live.request.badDraw < this->scenario.rollout.crashRate;
    ++live.attempts;
    this->endStage(live, culprit ? CompletionStatus::Crashed : CompletionStatus::Cancelled, 0);
    if (live.left) {
        this->lives.erase(found);
        return;
    }
    this->enqueueStage(live);
}

void BenchWorld::onFirstToken(std::uint64_t id)
{
    const auto found = this->lives.find(id);
    if (found == this->lives.end() || found->second.left) {
        return;
    }
    Live &live = found->second;
    Entry &entry = *this->entries[static_cast<std::size_t>(live.request.entry)];
    entry.routing->onFirstToken(live.decision.choice, this->clock.now() - live.sentAt);
    if (live.sawFirstToken || !live.request.streamed) {
        return;
    }
    live.sawFirstToken = true;
    const double seconds =
        toSeconds(this->loop.elapsed() - live.request.arrival + this->scenario.callerOneWay);
    this->summary.firstToken.push_back(seconds);
    if (this->scenario.rush.holds(live.request.arrival)) {
        this->summary.rushFirstToken.push_back(seconds);
    }
    const bool flooder =
        live.request.workspace + 1 == static_cast<int>(this->scenario.workspaceShares.size());
    if (this->scenario.flood.holds(live.request.arrival) && !flooder) {
        this->summary.floodedFirstToken.push_back(seconds);
    }
}

void BenchWorld::callerLeaves(std::uint64_t id)
{
    const auto found = this->lives.find(id);
    if (found == this->lives.end()) {
        return;
    }
    Live &live = found->second;
    ++this->summary.cancelled;
    live.left = true;
    if (live.request.streamed && !live.sawFirstToken) {
        const double waited = toSeconds(live.request.patience);
        this->summary.firstToken.push_back(waited);
        if (this->scenario.rush.holds(live.request.arrival)) {
            this->summary.rushFirstToken.push_back(waited);
        }
    }
    Entry &entry = *this->entries[static_cast<std::size_t>(live.request.entry)];
    if (!live.atEngine) {
        if (entry.dispatcher->cancel(live.waitId)) {
            this->countRun(live, 0);
            this->byWaitId.erase(live.waitId);
            this->lives.erase(found);
        }
        return; // Else the answer is being checked; it ends there.
    }
    FakeEngine &engine = *this->engines[static_cast<std::size_t>(live.decision.choice.upstream)];
    const int generated = engine.generated(id);
    this->loop.after(this->scenario.callerOneWay + this->scenario.oneWay,
                     [&engine, id, generated] { engine.cancel(id, generated); });
}

void BenchWorld::charge(const Live &live, int tokens)
{
    const ModelTruth &model =
        this->scenario
            .models[static_cast<std::size_t>(this->modelIndex(live.decision.version.model))];
    this->summary.cost +=
        (model.promptPrice * live.request.promptTokens + model.outputPrice * tokens) / kPriceUnit;
    this->summary.generatedTokens += tokens;
}

QualityKey BenchWorld::qualityKey(const Live &live) const
{
    return {workspaceName(live.request.workspace),
            this->scenario.tasks[static_cast<std::size_t>(live.request.task)].name,
            live.chain.models[live.stage],
            live.countedLong,
            live.request.streamed,
            live.stage > 0};
}

void BenchWorld::endStage(Live &live, CompletionStatus end, int tokens)
{
    Entry &entry = *this->entries[static_cast<std::size_t>(live.request.entry)];
    live.atEngine = false;
    entry.routing->onEnded(live.decision.choice, end, this->clock.now() - live.sentAt);
    const bool checked = live.stage + 1 < live.chain.models.size();
    if (live.left || (end == CompletionStatus::Finished && !checked)) {
        this->countRun(live, tokens);
    }
    VersionCounts &version = entry.ownCounts[live.decision.version];
    ++version.requests;
    version.errors += end == CompletionStatus::Failed ? 1 : 0;
    version.crashes += end == CompletionStatus::Crashed ? 1 : 0;
}

/// The end of a stage as the planner counts it: a caller that leaves while its answer is checked,
/// or while it waits for the stage, has not waited for the end either.
void BenchWorld::countRun(const Live &live, int tokens)
{
    QualityCounts &counts =
        this->entries[static_cast<std::size_t>(live.request.entry)]->quality->own(
            this->qualityKey(live));
    ++counts.runs;
    counts.finished += live.left ? 0 : 1;
    counts.promptTokens += tokens > 0 ? live.request.promptTokens : 0;
    counts.outputTokens += tokens;
}

void BenchWorld::onStopped(std::uint64_t id, int tokens, int wasted)
{
    const auto found = this->lives.find(id);
    if (found == this->lives.end()) {
        return;
    }
    Live &live = found->second;
    this->charge(live, tokens);
    this->summary.wastedTokens += wasted;
    const int delivered = live.request.streamed ? std::max(0, tokens - wasted) : 0;
    this->summary.deliveredTokens += delivered;
    this->summary.chargedTokens += delivered;
    this->endStage(live, CompletionStatus::Cancelled, tokens);
    Entry &entry = *this->entries[static_cast<std::size_t>(live.request.entry)];
    this->lives.erase(found);
    this->pump(entry);
}

bool BenchWorld::answerIsGood(const Live &live) const
{
    const int model = this->modelIndex(live.decision.version.model);
    const bool good = live.request.good[static_cast<std::size_t>(model)];
    const bool spoiled = this->isBad(live) && this->scenario.rollout.badness == "ratings";
    if (!spoiled || !good) {
        return good;
    }
    // The chance falls by the drop: a good answer stays good with the remaining part.
    const double chance = goodChance(
        this->scenario, this->scenario.tasks[static_cast<std::size_t>(live.request.task)], model,
        live.request.longPrompt);
    return live.request.badDraw
        >= std::min(1.0, this->scenario.rollout.ratingDrop / std::max(0.01, chance));
}

void BenchWorld::onFinished(std::uint64_t id, int tokens)
{
    const auto found = this->lives.find(id);
    if (found == this->lives.end() || !found->second.atEngine) {
        return;
    }
    Live &live = found->second;
    this->charge(live, tokens);
    const bool good = this->answerIsGood(live);
    this->endStage(live, CompletionStatus::Finished, tokens);
    Entry &entry = *this->entries[static_cast<std::size_t>(live.request.entry)];
    if (live.left) {
        this->lives.erase(found);
    } else if (live.stage + 1 < live.chain.models.size()) {
        this->checkAnswer(live, good);
    } else {
        this->finish(live, good);
    }
    this->pump(entry);
}

void BenchWorld::observeRating(int entry, const QualityKey &key, const ModelVersion &version,
                               bool passed)
{
    Entry &owner = *this->entries[static_cast<std::size_t>(entry)];
    QualityCounts &counts = owner.quality->own(key);
    ++counts.rated;
    counts.good += passed ? 1 : 0;
    RatedCounts &rated = owner.ownCounts[version].rated[{key.task, key.longPrompt}];
    ++rated.rated;
    rated.good += passed ? 1 : 0;
}

void BenchWorld::checkAnswer(Live &live, bool good)
{
    const std::uint64_t id = live.request.id;
    this->ratings.rate(
        good,
        [this, id, good, key = this->qualityKey(live), version = live.decision.version,
         entry = live.request.entry](std::optional<bool> passed) {
            if (passed) {
                this->observeRating(entry, key, version, *passed);
            } else {
                this->ratingsDownUntil = this->clock.now() + std::chrono::seconds(10);
            }
            const auto found = this->lives.find(id);
            if (found == this->lives.end()) {
                return;
            }
            this->countRun(found->second, found->second.request.outputTokens);
            if (found->second.left) {
                this->lives.erase(found);
            } else if (passed && *passed) {
                this->finish(found->second, good);
            } else {
                ++found->second.stage;
                found->second.attempts = 0;
                this->enqueueStage(found->second);
            }
        });
}

void BenchWorld::finish(Live &live, bool good)
{
    const TaskTruth &task = this->scenario.tasks[static_cast<std::size_t>(live.request.task)];
    ++this->summary.finished;
    this->summary.deliveredTokens += live.request.outputTokens;
    this->summary.chargedTokens += live.request.outputTokens;
    for (QualityCell *cell :
         {&this->summary.quality[task.name],
          &this->summary
               .workspaceQuality[workspaceName(live.request.workspace) + "/" + task.name]}) {
        ++cell->finished;
        cell->good += good ? 1 : 0;
        cell->target = task.quality;
    }
    Entry &entry = *this->entries[static_cast<std::size_t>(live.request.entry)];
    const double credit = entry.ratingCredit
        + toSeconds(this->clock.now() - entry.ratingCreditAt) * kRatingsOfSystem
            / this->scenario.entries;
    entry.ratingCreditAt = this->clock.now();
    entry.ratingCredit = std::min(credit, kRatingsOfSystem / this->scenario.entries);
    const bool checkedAlready = live.stage + 1 < live.chain.models.size();
    if (!checkedAlready && entry.ratingCredit >= 1) {
        entry.ratingCredit -= 1;
        this->ratings.rate(good,
                           [this, key = this->qualityKey(live), version = live.decision.version,
                            number = entry.number](std::optional<bool> passed) {
                               if (passed) {
                                   this->observeRating(number, key, version, *passed);
                               } else {
                                   this->ratingsDownUntil =
                                       this->clock.now() + std::chrono::seconds(10);
                               }
                           });
    }
    this->lives.erase(live.request.id);
}

void BenchWorld::serveLedger(const BenchRequest &request)
{
    if (this->ledgerFree.empty()
        || std::uniform_real_distribution<double>(0, 1)(this->random)
            >= this->scenario.ledger.readsPerRequest) {
        return;
    }
    (void)request;
    const auto slot = std::min_element(this->ledgerFree.begin(), this->ledgerFree.end());
    const TimePoint begin = std::max(*slot, this->clock.now() + this->scenario.oneWay);
    const double spread = std::exp(
        std::normal_distribution<double>(0, this->scenario.ledger.readSigma)(this->random));
    *slot = begin + fromSeconds(toSeconds(this->scenario.ledger.readMedian) * spread);
    this->summary.readTimes.push_back(toSeconds(*slot - this->clock.now() + this->scenario.oneWay
                                                + 2 * this->scenario.callerOneWay));
}

} // namespace basilnotch::bench
