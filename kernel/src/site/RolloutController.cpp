// Any instance that knows of a hold may store the reverted state; a delay by rank spreads the
// commits.
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
constexpr char kRumorNameSeparator = '\x1f';
constexpr char kNewVersionLabel[] = "new"; // In the names of rumors.
constexpr char kOldVersionLabel[] = "old";
/// Delay between the commits of two instances: longer than a commit takes, so that the first one
/// usually succeeds.
constexpr Duration kRankStep = milliseconds(150);
/// Upper limit of the rank in the delay, so that a hold is stored within two seconds even when the
/// first dozen instances are down.
constexpr int kMaxRankSteps = 12;
constexpr std::size_t kMaxFormerOrders = 8; // Of a service.
/// Ready upstreams of the new version, relative to those of other versions, that are needed before
/// a roll-out completes.
constexpr double kMinNewToOldRatio = 0.5;
/// Answers of both versions by the deadline, of which the canary's share suffices for a finding.
constexpr double kMinAnswersForFinding = 200;
/// With fewer answers by the deadline a bad version reaches hardly anyone, and to wait for more may
/// take for ever.
constexpr double kMinAnswersForExposure = 60;
/// A collector that has begun to collect no later than this has followed the new version's answers.
constexpr Duration kMaxCollectingDelay = seconds(3);
/// Before this a collector can't tell how many requests the service gets.
constexpr Duration kMinCollectingTime = seconds(3);
/// How long a version that has missed its deadline gets all work before it is completed. A canary's
/// few answers may have approved a bad version by chance.
constexpr Duration kConfirmationTime = seconds(3);

/// Versions that get no traffic when an order to `next` replaces the roll-out `before`, if there
/// was one.
std::vector<std::string> previouslyClosedVersions(const RolloutState &before,
                                                  const std::string &next)
{
    if (before.order == 0) {
        return {};
    }
    std::vector<std::string> closed = before.blockedVersions();
    std::erase(closed, next);
    return closed;
}

bool hasEnoughNewUpstreams(const UpstreamList &upstreams, const RolloutState &state)
{
    const std::size_t newReady = upstreams.readyOf(state.service, state.toVersion);
    const std::size_t oldReady = upstreams.ready(state.service).size() - newReady;
    return newReady > 0
        && static_cast<double>(newReady) >= kMinNewToOldRatio * static_cast<double>(oldReady);
}

/// Answers of both versions by the deadline, if they go on as they come; empty while a collector
/// can't tell.
std::optional<double> expectedAnswers(const CollectedCounts &collected, Duration deadline)
{
    if (collected.collectingFor < kMinCollectingTime) {
        return std::nullopt;
    }
    const std::int64_t answers =
        collected.tally->total(true).answers + collected.tally->total(false).answers;
    return static_cast<double>(answers) * toSeconds(deadline) / toSeconds(collected.collectingFor);
}

/// Whether the few answers of a service whose canary can't give enough for a finding suffice for an
/// approval. `hasFollowed`: the collector has followed the new version's answers.
bool isSoundEnough(const CollectedCounts &collected, Duration deadline, bool hasFollowed)
{
    const std::optional<double> expected = expectedAnswers(collected, deadline);
    if (!expected || *expected >= kMinAnswersForFinding) {
        return false;
    }
    return *expected < kMinAnswersForExposure ? !collected.tally->isSuspect()
                                              : hasFollowed && collected.tally->isProbablySound();
}

/// Why the answers so far allow the new version to get all work; empty while they don't.
std::optional<std::string_view> approvalReason(const CollectedCounts &collected,
                                               const RolloutState &state, Duration elapsed)
{
    const bool hasFollowed = collected.collectingFor + kMaxCollectingDelay >= elapsed;
    if (collected.tally->isSound(hasFollowed ? EvidenceScope::All : EvidenceScope::Followed)) {
        return "sound";
    }
    if (isSoundEnough(collected, state.deadline, hasFollowed)) {
        return "too few requests for a finding";
    }
    return std::nullopt;
}

/// Whether a record of a later epoch with `state` is from before `known`.
bool isBehind(const RolloutState &state, const RolloutState &known)
{
    if (state.order != known.order || state.phase != RolloutPhase::InProgress) {
        return state.order < known.order;
    }
    return known.phase != RolloutPhase::InProgress || (known.approvedAt && !state.approvedAt);
}

std::string joinRumorName(std::initializer_list<std::string> parts)
{
    return absl::StrJoin(parts, std::string(1, kRumorNameSeparator));
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
    , aggregator(runtime, peers, gossip, clock, log,
                 {[this](const std::string &service, const VersionFinding &finding) {
                      this->onFinding(service, finding);
                  },
                  [this](const HeldRollout &held) { this->onHeld(held); },
                  [this] { return this->heldRollouts(); }})
{ }

bool RolloutController::isStateCurrent(const TrackedRollout &tracked) const
{
    const RolloutState &state = tracked.state;
    if (state.order == 0 || state.order >= tracked.orderVersion) {
        return state.order != 0;
    }
    // A restored store has the order of `state` under another version.
    return epochOf(state.order) < epochOf(tracked.orderVersion) && tracked.isFirstOfEpoch
        && RolloutOrder{state.service, state.toVersion, state.deadline} == tracked.order;
}

bool RolloutController::takeRestoredOrder(const TrackedRollout &tracked, const RolloutOrder &order,
                                          RecordVersion version)
{
    const bool isFormer = order != tracked.order
        && std::find(tracked.formerOrders.begin(), tracked.formerOrders.end(), order)
            != tracked.formerOrders.end();
    if (isFormer) {
        this->log.write(LogKind::State, "roll-out order of a restored store ignored",
                        {{"service", order.service},
                         {"to", order.toVersion},
                         {"order", static_cast<std::int64_t>(version)}});
    }
    return !isFormer;
}

void RolloutController::onOrder(const RolloutOrder &order, RecordVersion version)
{
    TrackedRollout &tracked = this->byService[order.service];
    if (version <= tracked.orderVersion) {
        return;
    }
    const bool isRestored =
        tracked.orderVersion != 0 && epochOf(version) > epochOf(tracked.orderVersion);
    if (isRestored && !this->takeRestoredOrder(tracked, order, version)) {
        return;
    }
    if (tracked.orderVersion != 0 && order != tracked.order) {
        tracked.formerOrders.push_back(tracked.order);
        if (tracked.formerOrders.size() > kMaxFormerOrders) {
            tracked.formerOrders.pop_front();
        }
    }
    const bool isKnown = isRestored && order == tracked.order;
    if (!isKnown) {
        tracked.orderedAt = this->clock.now();
    }
    tracked.isFirstOfEpoch = tracked.orderVersion == 0 || isRestored;
    tracked.order = order;
    tracked.orderVersion = version;
    ++this->currentRevision;
    if (!this->isStateCurrent(tracked)) {
        tracked.held = false;
        tracked.crashes = CrashRateDetector();
        this->aggregator.end(order.service);
    }
    this->log.write(LogKind::State, isKnown ? "roll-out order known" : "roll-out ordered",
                    {{"service", order.service},
                     {"to", order.toVersion},
                     {"deadlineSeconds", toSeconds(order.deadline)},
                     {"order", static_cast<std::int64_t>(version)}});
}

void RolloutController::onInternalRecord(const Record &record)
{
    if (!absl::StartsWith(record.key.name, kRecordPrefix)) {
        return;
    }
    if (record.deleted) {
        const auto found = this->byService.find(record.key.name.substr(sizeof(kRecordPrefix) - 1));
        if (found != this->byService.end() && record.version > found->second.stateVersion) {
            this->onStateLost(found->second, record);
        }
        return;
    }
    const std::optional<RolloutState> state = parseRolloutState(record.value);
    if (!state) {
        this->log.write(LogKind::State, "record unreadable", {{"record", record.key.name}});
        return;
    }
    TrackedRollout &tracked = this->byService[state->service];
    if (record.version <= tracked.stateVersion) {
        return;
    }
    if (epochOf(record.version) > epochOf(tracked.stateVersion)
        && isBehind(*state, tracked.state)) {
        this->onStateLost(tracked, record);
        return;
    }
    const bool wasApproved = tracked.state.order == state->order && tracked.state.approvedAt;
    if (state->approvedAt && !wasApproved) {
        tracked.approvalKnownAt = this->clock.now();
    }
    tracked.state = *state;
    tracked.stateVersion = record.version;
    tracked.hasRecord = true;
    tracked.lostAt.reset();
    ++this->currentRevision;
    if (this->isStateCurrent(tracked) && state->phase == RolloutPhase::InProgress) {
        this->aggregator.begin(state->service, state->order);
    } else {
        this->aggregator.end(state->service);
    }
    this->log.write(LogKind::State, "roll-out state",
                    {{"service", state->service},
                     {"to", state->toVersion},
                     {"phase", phaseName(state->phase)},
                     {"approved", state->approvedAt.has_value()},
                     {"version", static_cast<std::int64_t>(record.version)}});
}

void RolloutController::onStateLost(TrackedRollout &tracked, const Record &record)
{
    tracked.stateVersion = record.version;
    tracked.hasRecord = !record.deleted;
    if (tracked.state.order == 0) {
        return;
    }
    tracked.lostAt = this->clock.now();
    this->log.write(LogKind::State, "roll-out state lost by a restored store",
                    {{"service", tracked.state.service},
                     {"to", tracked.state.toVersion},
                     {"phase", phaseName(tracked.state.phase)},
                     {"missing", record.deleted},
                     {"version", static_cast<std::int64_t>(record.version)}});
}

void RolloutController::onAnswer(const AnswerReport &report)
{
    const auto tracked = this->byService.find(report.service);
    if (tracked == this->byService.end() || !this->isStateCurrent(tracked->second)
        || tracked->second.state.phase != RolloutPhase::InProgress) {
        return;
    }
    const std::uint64_t order = tracked->second.state.order;
    const bool isNew = report.softwareVersion == tracked->second.state.toVersion;
    if (report.outcome == AnswerOutcome::ConnectionLost) {
        // The rumor's name contains the upstream and not the reporter, so that a crash counts once
        // however many instances see it.
        this->gossip.tell(
            {{RumorKind::CrashedUpstream,
              joinRumorName({report.service, absl::StrCat(order),
                             isNew ? kNewVersionLabel : kOldVersionLabel, report.upstream})},
             1,
             ""});
        return;
    }
    this->aggregator.onAnswer(report, isNew);
}

bool RolloutController::isCrashRelevant(const Rumor &rumor) const
{
    const std::vector<std::string> parts = absl::StrSplit(rumor.id.name, kRumorNameSeparator);
    if (parts.size() < 2) {
        return false;
    }
    const auto tracked = this->byService.find(parts[0]);
    return tracked != this->byService.end()
        && tracked->second.state.phase == RolloutPhase::InProgress
        && parts[1] == absl::StrCat(tracked->second.state.order);
}

void RolloutController::checkCrashRate(TrackedRollout &tracked, const UpstreamList &upstreams)
{
    CrashCounts oldVersion;
    CrashCounts newVersion;
    this->gossip.store().forEach(RumorKind::CrashedUpstream, [&](const Rumor &rumor) {
        const std::vector<std::string> parts = absl::StrSplit(rumor.id.name, kRumorNameSeparator);
        constexpr std::size_t kParts = 4;
        if (parts.size() == kParts && parts[0] == tracked.state.service
            && parts[1] == absl::StrCat(tracked.state.order)) {
            ++(parts[2] == kNewVersionLabel ? newVersion : oldVersion).crashed;
        }
    });
    const std::size_t all = upstreams.ready(tracked.state.service).size();
    const std::size_t newReady = upstreams.readyOf(tracked.state.service, tracked.state.toVersion);
    newVersion.live = static_cast<int>(newReady);
    oldVersion.live = static_cast<int>(all - newReady);
    if (tracked.crashes.update(oldVersion, newVersion) && !tracked.held) {
        this->hold(tracked, "its upstreams crash", {oldVersion.live, oldVersion.crashed},
                   {newVersion.live, newVersion.crashed});
    }
}

void RolloutController::onFinding(const std::string &service, const VersionFinding &finding)
{
    TrackedRollout &tracked = this->byService[service];
    if (tracked.held || tracked.state.phase != RolloutPhase::InProgress) {
        return;
    }
    const std::string reason =
        absl::StrCat(finding.isSlower ? "slower answers on " : "bad answers on ",
                     finding.route.empty() ? "all routes" : absl::StrCat("route ", finding.route));
    this->hold(tracked, reason, finding.oldVersion, finding.newVersion);
}

void RolloutController::hold(TrackedRollout &tracked, std::string_view reason,
                             const AnswerCounts &oldVersion, const AnswerCounts &newVersion)
{
    this->logDecision(tracked, "roll-out held", reason, oldVersion, newVersion);
    this->markHeld(tracked, reason);
    this->aggregator.broadcastHold({tracked.state.service, tracked.state.order});
}

void RolloutController::logDecision(const TrackedRollout &tracked, std::string_view event,
                                    std::string_view reason, const AnswerCounts &oldVersion,
                                    const AnswerCounts &newVersion) const
{
    this->log.write(LogKind::State, event,
                    {{"service", tracked.state.service},
                     {"to", tracked.state.toVersion},
                     {"reason", reason},
                     {"newCounted", newVersion.answers},
                     {"newBad", newVersion.bad},
                     {"newSlower", newVersion.slower},
                     {"oldCounted", oldVersion.answers},
                     {"oldBad", oldVersion.bad},
                     {"oldSlower", oldVersion.slower}});
}

void RolloutController::markHeld(TrackedRollout &tracked, std::string_view reason)
{
    tracked.held = true;
    tracked.heldAt = this->clock.now();
    ++this->currentRevision;
    // Gossip reaches instances that are down now or missed the broadcast.
    this->gossip.tell(
        {{RumorKind::Hold, tracked.state.service}, tracked.state.order, std::string(reason)});
}

std::vector<HeldRollout> RolloutController::heldRollouts() const
{
    std::vector<HeldRollout> held;
    for (const auto &[service, tracked] : this->byService) {
        if (this->isStateCurrent(tracked)
            && (tracked.held || tracked.state.phase == RolloutPhase::Reverted)) {
            held.push_back({service, tracked.state.order});
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
    TrackedRollout &tracked = found->second;
    const bool isInProgress = this->isStateCurrent(tracked) && tracked.state.order == held.order
        && tracked.state.phase == RolloutPhase::InProgress;
    if (!isInProgress || tracked.held) {
        return;
    }
    this->log.write(LogKind::State, "roll-out held by a peer",
                    {{"service", held.service},
                     {"to", tracked.state.toVersion},
                     {"order", static_cast<std::int64_t>(held.order)}});
    this->markHeld(tracked, "held by a peer");
}

void RolloutController::applyGossipedHold(const TrackedRollout &tracked)
{
    const Rumor *hold = this->gossip.store().find({RumorKind::Hold, tracked.state.service});
    if (hold) {
        this->onHeld({tracked.state.service, hold->version});
    }
}

Duration RolloutController::rankDelay(const std::string &service) const
{
    // An instance that the store refuses would only delay the others.
    const std::vector<std::string> candidates = instancesWithStoreAccess(this->gossip);
    const std::size_t rank = rendezvousRank(service, this->gossip.self().name, candidates);
    return kRankStep * std::min(static_cast<int>(rank), kMaxRankSteps);
}

void RolloutController::tick(std::optional<Duration> storeTime, const UpstreamList &upstreams)
{
    if (this->aggregator.tick()) {
        ++this->currentRevision;
    }
    for (auto &[service, tracked] : this->byService) {
        if (!storeTime || tracked.commitPending) {
            continue;
        }
        if (!this->isStateCurrent(tracked)) {
            if (this->clock.now() - tracked.orderedAt >= this->rankDelay(service)) {
                this->begin(tracked, *storeTime);
            }
            continue;
        }
        if (tracked.state.phase == RolloutPhase::InProgress) {
            this->checkCrashRate(tracked, upstreams);
            this->applyGossipedHold(tracked);
        }
        if (tracked.lostAt && this->clock.now() - *tracked.lostAt >= this->rankDelay(service)) {
            this->commit(tracked, tracked.state);
            continue;
        }
        if (tracked.state.phase != RolloutPhase::InProgress) {
            continue;
        }
        const Duration elapsed = *storeTime - tracked.state.startedAt;
        if (tracked.held) {
            if (this->clock.now() - tracked.heldAt >= this->rankDelay(service)) {
                this->setPhase(tracked, RolloutPhase::Reverted);
            }
        } else if (!tracked.state.approvedAt) {
            this->assess(tracked, elapsed);
        } else {
            this->completeIfDue(tracked, elapsed, upstreams);
        }
    }
}

void RolloutController::begin(TrackedRollout &tracked, Duration storeTime)
{
    RolloutState next;
    next.service = tracked.order.service;
    next.toVersion = tracked.order.toVersion;
    next.order = tracked.orderVersion;
    next.deadline = tracked.order.deadline;
    next.startedAt = storeTime - (this->clock.now() - tracked.orderedAt);
    next.abandoned = previouslyClosedVersions(tracked.state, tracked.order.toVersion);
    this->commit(tracked, next);
}

void RolloutController::setPhase(TrackedRollout &tracked, RolloutPhase phase)
{
    RolloutState next = tracked.state;
    next.phase = phase;
    this->commit(tracked, next);
}

void RolloutController::assess(TrackedRollout &tracked, Duration elapsed)
{
    const std::string &service = tracked.state.service;
    const std::optional<CollectedCounts> collected = this->aggregator.collected(service);
    if (!collected || !mayApprove(tracked.state, elapsed - kRankStep * collected->rank)) {
        return;
    }
    const AnswerCounts oldVersion = collected->tally->total(false);
    const AnswerCounts newVersion = collected->tally->total(true);
    if (collected->tally->isUnsound() && elapsed >= tracked.state.deadline) {
        this->hold(tracked, "not sound at its deadline", oldVersion, newVersion);
        return;
    }
    const auto reason = approvalReason(*collected, tracked.state, elapsed);
    if (!reason) {
        return;
    }
    this->logDecision(tracked, "roll-out approved", *reason, oldVersion, newVersion);
    RolloutState next = tracked.state;
    next.approvedAt = tracked.state.startedAt + elapsed;
    this->commit(tracked, next);
}

void RolloutController::completeIfDue(TrackedRollout &tracked, Duration elapsed,
                                      const UpstreamList &upstreams)
{
    const std::string &service = tracked.state.service;
    const std::optional<CollectedCounts> collected = this->aggregator.collected(service);
    if (!collected) {
        return;
    }
    const AnswerCounts oldVersion = collected->tally->total(false);
    const AnswerCounts newVersion = collected->tally->total(true);
    if (collected->tally->isUnsound()) {
        this->hold(tracked, "not sound after its approval", oldVersion, newVersion);
        return;
    }
    const Duration delay = kRankStep * collected->rank;
    const bool isLate = elapsed > tracked.state.deadline;
    // A store may write the approval so late that the ramp is over before anyone knows of it.
    const Duration knownFor = this->clock.now() - tracked.approvalKnownAt;
    const Duration needed =
        rampTime(tracked.state) + (isLate ? kConfirmationTime : Duration::zero()) + delay;
    if (!mayComplete(tracked.state, elapsed - delay) || knownFor < needed
        || this->aggregator.isReportOverdue(service)
        || !hasEnoughNewUpstreams(upstreams, tracked.state)) {
        return;
    }
    if (const auto reason = approvalReason(*collected, tracked.state, elapsed)) {
        this->logDecision(tracked, "roll-out confirmed", *reason, oldVersion, newVersion);
        this->setPhase(tracked, RolloutPhase::Completed);
    }
}

void RolloutController::commit(TrackedRollout &tracked, RolloutState next)
{
    tracked.commitPending = true;
    const RecordVersion expected = tracked.hasRecord ? tracked.stateVersion : 0;
    this->runtime.spawn([this, next, expected] {
        const RecordKey key{kInternalTable, kRecordPrefix + next.service};
        const auto result = this->store.commit(
            {{key, expected}},
            {{key, serializeRolloutState(next)}, this->recordCodec.rolloutReport(next)});
        TrackedRollout &tracked = this->byService[next.service];
        tracked.commitPending = false;
        if (!result.ok()) {
            const std::string why = describe(result.status());
            this->log.write(LogKind::State, "roll-out not stored",
                            {{"service", next.service}, {"why", why}});
            return;
        }
        if (result->committed) {
            this->onInternalRecord({key, serializeRolloutState(next), result->version, false});
            return;
        }
        for (const Record &record : result->current) {
            this->onInternalRecord(record); // Another instance has committed first.
        }
        if (result->current.empty()) {
            this->onInternalRecord({key, {}, result->version, true});
        }
    });
}

std::map<std::string, ActiveRollout, std::less<>>
RolloutController::rollouts(std::optional<Duration> storeTime) const
{
    std::map<std::string, ActiveRollout, std::less<>> active;
    for (const auto &[service, tracked] : this->byService) {
        ActiveRollout rollout;
        if (this->isStateCurrent(tracked)) {
            rollout.state = tracked.state;
            const Duration elapsed =
                storeTime ? *storeTime - tracked.state.startedAt : Duration::zero();
            rollout.startedAt = this->clock.now() - elapsed;
            rollout.held = tracked.held || !storeTime || this->aggregator.isReportOverdue(service);
        } else {
            // Ordered but not begun: the new version gets no traffic yet.
            rollout.state.service = service;
            rollout.state.toVersion = tracked.order.toVersion;
            rollout.state.abandoned =
                previouslyClosedVersions(tracked.state, tracked.order.toVersion);
            rollout.held = true;
        }
        active.emplace(service, std::move(rollout));
    }
    return active;
}

} // namespace basilnotch
