// Any instance that knows of a hold may write it down; ranks spread the tries.
#include "RolloutController.h"

#include "RolloutRecord.h"
#include "StoreAccess.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr char kRecordPrefix[] = "rollout/";
constexpr char kSeparator = '\x1f'; // In the names of rumors.
constexpr char kNewSide[] = "new";  // Of a roll-out, in the names of rumors.
constexpr char kOldSide[] = "old";
/// Between the tries of two instances: longer than a commit, so that mostly the first one succeeds.
constexpr Duration kRankStep = milliseconds(150);
/// Later ranks all wait as long as this one: a hold is written down within two seconds even when
/// the first dozen instances are down.
constexpr int kMostRanks = 12;
/// New upstreams that are ready, as a part of the old ones, before all work may move to them.
constexpr double kEnoughNew = 0.5;

/// What stays closed when an order to `next` replaces the roll-out before it, if there was one.
std::vector<std::string> closedBefore(const RolloutState &before, const std::string &next)
{
    if (before.order == 0) {
        return {};
    }
    std::vector<std::string> closed = before.closedVersions();
    std::erase(closed, next);
    return closed;
}

bool hasEnoughNew(const UpstreamList &upstreams, const RolloutState &state)
{
    const std::size_t newOnes = upstreams.readyOf(state.service, state.toVersion);
    const std::size_t oldOnes = upstreams.ready(state.service).size() - newOnes;
    return newOnes > 0 && static_cast<double>(newOnes) >= kEnoughNew * static_cast<double>(oldOnes);
}

std::string joinName(std::initializer_list<std::string> parts)
{
    return absl::StrJoin(parts, std::string(1, kSeparator));
}

} // namespace

RolloutController::RolloutController(FiberRuntime &runtime, RecordStore &store,
                                     const RecordCodec &recordCodec, Gossip &gossip,
                                     PeerMessenger &peers, const Clock &clock, EventLog &log)
    : runtime(runtime)
    , store(store)
    , recordCodec(recordCodec)
    , gossip(gossip)
    , clock(clock)
    , log(log)
    , counts(runtime, peers, gossip, clock, log,
             {[this](const std::string &service, const VersionFinding &finding) {
                  this->onFinding(service, finding);
              },
              [this](const HeldRollout &held) { this->onHeld(held); },
              [this] { return this->heldRollouts(); }})
{ }

bool RolloutController::isCurrent(const Known &known) const
{
    return known.state.order != 0 && known.state.order >= known.orderVersion;
}

void RolloutController::onOrder(const RolloutOrder &order, RecordVersion version)
{
    Known &known = this->byService[order.service];
    if (version <= known.orderVersion) {
        return;
    }
    known.order = order;
    known.orderVersion = version;
    known.orderedAt = this->clock.now();
    ++this->changes;
    if (!this->isCurrent(known)) {
        known.held = false;
        known.crashes = CrashRateDetector();
        this->counts.end(order.service);
    }
    this->log.write(LogKind::State, "roll-out ordered",
                    {{"service", order.service},
                     {"to", order.toVersion},
                     {"deadlineSeconds", toSeconds(order.deadline)},
                     {"order", static_cast<std::int64_t>(version)}});
}

void RolloutController::onOwnRecord(const Record &record)
{
    if (record.deleted || !absl::StartsWith(record.key.name, kRecordPrefix)) {
        return;
    }
    const std::optional<RolloutState> state = readState(record.value);
    if (!state) {
        this->log.write(LogKind::State, "record unreadable", {{"record", record.key.name}});
        return;
    }
    Known &known = this->byService[state->service];
    if (record.version <= known.stateVersion) {
        return;
    }
    known.state = *state;
    known.stateVersion = record.version;
    ++this->changes;
    if (this->isCurrent(known) && state->phase == RolloutPhase::InProgress) {
        this->counts.begin(state->service, state->order);
    } else {
        this->counts.end(state->service);
    }
    this->log.write(LogKind::State, "roll-out state",
                    {{"service", state->service},
                     {"to", state->toVersion},
                     {"phase", phaseName(state->phase)},
                     {"version", static_cast<std::int64_t>(record.version)}});
}

void RolloutController::onAnswer(const AnswerReport &report)
{
    const auto known = this->byService.find(report.service);
    if (known == this->byService.end() || !this->isCurrent(known->second)
        || known->second.state.phase != RolloutPhase::InProgress) {
        return;
    }
    const std::uint64_t order = known->second.state.order;
    const bool isNew = report.softwareVersion == known->second.state.toVersion;
    if (report.outcome == AnswerOutcome::ConnectionLost) {
        // Named after the upstream, so that it counts once whoever saw it break off.
        this->gossip.tell({{RumorKind::CrashedUpstream,
                            joinName({report.service, absl::StrCat(order),
                                      isNew ? kNewSide : kOldSide, report.upstream})},
                           1,
                           ""});
        return;
    }
    this->counts.onAnswer(report.service, report.route, isNew,
                          report.outcome == AnswerOutcome::Bad);
}

bool RolloutController::isUnderWay(const Rumor &rumor) const
{
    const std::vector<std::string> parts = absl::StrSplit(rumor.id.name, kSeparator);
    if (parts.size() < 2) {
        return false;
    }
    const auto known = this->byService.find(parts[0]);
    return known != this->byService.end() && known->second.state.phase == RolloutPhase::InProgress
        && parts[1] == absl::StrCat(known->second.state.order);
}

void RolloutController::judgeCrashes(Known &known, const UpstreamList &upstreams)
{
    CrashCounts oldVersion;
    CrashCounts newVersion;
    this->gossip.store().forEach(RumorKind::CrashedUpstream, [&](const Rumor &rumor) {
        const std::vector<std::string> parts = absl::StrSplit(rumor.id.name, kSeparator);
        constexpr std::size_t kParts = 4;
        if (parts.size() == kParts && parts[0] == known.state.service
            && parts[1] == absl::StrCat(known.state.order)) {
            ++(parts[2] == kNewSide ? newVersion : oldVersion).crashed;
        }
    });
    const std::size_t all = upstreams.ready(known.state.service).size();
    const std::size_t newOnes = upstreams.readyOf(known.state.service, known.state.toVersion);
    newVersion.live = static_cast<int>(newOnes);
    oldVersion.live = static_cast<int>(all - newOnes);
    if (known.crashes.update(oldVersion, newVersion) && !known.held) {
        this->hold(known, "its upstreams crash", {oldVersion.live, oldVersion.crashed},
                   {newVersion.live, newVersion.crashed});
    }
}

void RolloutController::onFinding(const std::string &service, const VersionFinding &finding)
{
    Known &known = this->byService[service];
    if (known.held || known.state.phase != RolloutPhase::InProgress) {
        return;
    }
    const std::string where = finding.route.empty()
        ? "bad answers on all routes"
        : absl::StrCat("bad answers on route ", finding.route);
    this->hold(known, where, finding.oldVersion, finding.newVersion);
}

void RolloutController::hold(Known &known, std::string_view reason, const AnswerCounts &oldVersion,
                             const AnswerCounts &newVersion)
{
    this->log.write(LogKind::State, "roll-out held",
                    {{"service", known.state.service},
                     {"to", known.state.toVersion},
                     {"reason", reason},
                     {"newCounted", newVersion.answers},
                     {"newBad", newVersion.bad},
                     {"oldCounted", oldVersion.answers},
                     {"oldBad", oldVersion.bad}});
    this->setHeld(known, reason);
    this->counts.tellHeld({known.state.service, known.state.order});
}

void RolloutController::setHeld(Known &known, std::string_view reason)
{
    known.held = true;
    known.heldAt = this->clock.now();
    ++this->changes;
    // For instances that are not there now or missed the message.
    this->gossip.tell(
        {{RumorKind::Hold, known.state.service}, known.state.order, std::string(reason)});
}

std::vector<HeldRollout> RolloutController::heldRollouts() const
{
    std::vector<HeldRollout> held;
    for (const auto &[service, known] : this->byService) {
        if (this->isCurrent(known) && (known.held || known.state.phase == RolloutPhase::Reverted)) {
            held.push_back({service, known.state.order});
        }
    }
    return held;
}

void RolloutController::onHeld(const HeldRollout &held)
{
    const auto found = this->byService.find(held.service);
    if (found == this->byService.end()) {
        return;
    }
    Known &known = found->second;
    const bool isUnderWay = this->isCurrent(known) && known.state.order == held.order
        && known.state.phase == RolloutPhase::InProgress;
    if (!isUnderWay || known.held) {
        return;
    }
    this->log.write(LogKind::State, "roll-out held by a peer",
                    {{"service", held.service},
                     {"to", known.state.toVersion},
                     {"order", static_cast<std::int64_t>(held.order)}});
    this->setHeld(known, "held by a peer");
}

void RolloutController::takeHolds(const Known &known)
{
    const Rumor *hold = this->gossip.store().find({RumorKind::Hold, known.state.service});
    if (hold) {
        this->onHeld({known.state.service, hold->version});
    }
}

Duration RolloutController::rankDelay(const std::string &service) const
{
    // An instance that the store turns away would only delay the others.
    const std::vector<std::string> candidates = instancesWithStore(this->gossip);
    const std::size_t before = rendezvousRank(service, this->gossip.self().name, candidates);
    return kRankStep * std::min(static_cast<int>(before), kMostRanks);
}

void RolloutController::tick(std::optional<Duration> storeTime, const UpstreamList &upstreams)
{
    if (this->counts.tick()) {
        ++this->changes;
    }
    for (auto &[service, known] : this->byService) {
        if (!storeTime || known.moving) {
            continue;
        }
        if (!this->isCurrent(known)) {
            if (this->clock.now() - known.orderedAt >= this->rankDelay(service)) {
                this->begin(known, *storeTime);
            }
            continue;
        }
        if (known.state.phase != RolloutPhase::InProgress) {
            continue;
        }
        this->judgeCrashes(known, upstreams);
        this->takeHolds(known);
        const Duration delay = this->rankDelay(service);
        const Duration elapsed = *storeTime - known.state.startedAt - delay;
        if (known.held) {
            if (this->clock.now() - known.heldAt >= delay) {
                this->move(known, RolloutPhase::Reverted);
            }
        } else if (mayComplete(known.state, elapsed) && !this->counts.isReportOverdue(service)
                   && hasEnoughNew(upstreams, known.state)) {
            this->move(known, RolloutPhase::Completed);
        }
    }
}

void RolloutController::begin(Known &known, Duration storeTime)
{
    RolloutState next;
    next.service = known.order.service;
    next.toVersion = known.order.toVersion;
    next.order = known.orderVersion;
    next.deadline = known.order.deadline;
    next.startedAt = storeTime - (this->clock.now() - known.orderedAt);
    next.abandoned = closedBefore(known.state, known.order.toVersion);
    this->commit(known, next);
}

void RolloutController::move(Known &known, RolloutPhase phase)
{
    RolloutState next = known.state;
    next.phase = phase;
    this->commit(known, next);
}

void RolloutController::commit(Known &known, RolloutState next)
{
    known.moving = true;
    this->runtime.spawn([this, next, before = known.stateVersion] {
        const RecordKey key{kInternalTable, kRecordPrefix + next.service};
        const auto result = this->store.commit(
            {{key, before}}, {{key, printState(next)}, this->recordCodec.rolloutReport(next)});
        Known &moved = this->byService[next.service];
        moved.moving = false;
        if (!result.ok()) {
            const std::string why = describe(result.status());
            this->log.write(LogKind::State, "roll-out not stored",
                            {{"service", next.service}, {"why", why}});
            return;
        }
        if (result->committed) {
            this->onOwnRecord({key, printState(next), result->version, false});
            return;
        }
        for (const Record &record : result->current) {
            this->onOwnRecord(record); // Another instance was faster.
        }
    });
}

std::map<std::string, ActiveRollout, std::less<>>
RolloutController::rollouts(std::optional<Duration> storeTime) const
{
    std::map<std::string, ActiveRollout, std::less<>> active;
    for (const auto &[service, known] : this->byService) {
        ActiveRollout rollout;
        if (this->isCurrent(known)) {
            rollout.state = known.state;
            const Duration elapsed =
                storeTime ? *storeTime - known.state.startedAt : Duration::zero();
            rollout.startedAt = this->clock.now() - elapsed;
            rollout.held = known.held || !storeTime || this->counts.isReportOverdue(service);
        } else {
            // Ordered, not begun: the new version gets nothing yet.
            rollout.state.service = service;
            rollout.state.toVersion = known.order.toVersion;
            rollout.state.abandoned = closedBefore(known.state, known.order.toVersion);
            rollout.held = true;
        }
        active.emplace(service, std::move(rollout));
    }
    return active;
}

} // namespace basilnotch
