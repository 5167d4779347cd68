// Counts travel as gossip, one rumor for each instance, service and route; a hold travels at once.
#include "RolloutDesk.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <boost/json.hpp>

#include <algorithm>

namespace basilnotch {

namespace {

namespace json = boost::json;

constexpr char kRecordPrefix[] = "rollout/";
constexpr char kSeparator = '\x1f'; // In the names of rumors.
constexpr char kNewSide[] = "new";  // Of a roll-out, in the names of rumors.
constexpr char kOldSide[] = "old";
/// Between the tries of two instances: longer than a commit, so that mostly the first one succeeds.
constexpr Duration kRankStep = milliseconds(150);
constexpr int kMostRanks = 4; // Later ranks would only add delay when the first ones are down.
/// New upstreams that are ready, as a part of the old ones, before all work may move to them.
constexpr double kEnoughNew = 0.5;

std::string printState(const RolloutState &state)
{
    const auto nanos = [](Duration value) { return static_cast<std::int64_t>(value.count()); };
    json::array abandoned;
    for (const std::string &version : state.abandoned) {
        abandoned.emplace_back(version);
    }
    return json::serialize(json::object{{"abandoned", std::move(abandoned)},
                                        {"service", state.service},
                                        {"to", state.toVersion},
                                        {"order", state.order},
                                        {"phase", static_cast<int>(state.phase)},
                                        {"startedNs", nanos(state.startedAt)},
                                        {"deadlineNs", nanos(state.deadline)}});
}

std::optional<RolloutState> readState(const std::string &text)
{
    json::error_code error;
    const json::value document = json::parse(text, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    const json::object &object = document.as_object();
    const auto number = [&](const char *name) -> std::int64_t {
        const json::value *value = object.if_contains(name);
        return value && value->is_number() ? value->to_number<std::int64_t>() : -1;
    };
    const json::value *service = object.if_contains("service");
    const json::value *version = object.if_contains("to");
    const std::int64_t phase = number("phase");
    if (!service || !service->is_string() || !version || !version->is_string() || phase < 0
        || phase > static_cast<int>(RolloutPhase::Reverted)) {
        return std::nullopt;
    }
    RolloutState state;
    state.service = std::string(service->as_string());
    state.toVersion = std::string(version->as_string());
    state.order = static_cast<std::uint64_t>(number("order"));
    state.phase = static_cast<RolloutPhase>(phase);
    state.startedAt = Duration(number("startedNs"));
    state.deadline = Duration(number("deadlineNs"));
    const json::value *abandoned = object.if_contains("abandoned");
    if (abandoned && abandoned->is_array()) {
        for (const json::value &item : abandoned->as_array()) {
            if (item.is_string()) {
                state.abandoned.emplace_back(item.as_string());
            }
        }
    }
    return state;
}

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

std::string joinName(std::initializer_list<std::string> parts)
{
    return absl::StrJoin(parts, std::string(1, kSeparator));
}

} // namespace

RolloutDesk::RolloutDesk(FiberRuntime &runtime, RecordStore &store, const RecordCodec &codec,
                         Gossip &gossip, const Clock &clock, EventLog &log)
    : runtime(runtime)
    , store(store)
    , codec(codec)
    , gossip(gossip)
    , clock(clock)
    , log(log)
{ }

bool RolloutDesk::isCurrent(const Known &known) const
{
    return known.state.order != 0 && known.state.order >= known.orderVersion;
}

void RolloutDesk::onOrder(const RolloutOrder &order, RecordVersion version)
{
    Known &known = this->byService[order.service];
    if (version <= known.orderVersion) {
        return;
    }
    known.order = order;
    known.orderVersion = version;
    std::erase_if(this->counts,
                  [&](const auto &item) { return std::get<0>(item.first) == order.service; });
    known.orderedAt = this->clock.now();
    ++this->changes;
    if (!this->isCurrent(known)) {
        known.held = false;
        known.evidence.clear();
        known.crashes = CrashEvidence();
    }
    this->log.write(LogKind::State, "roll-out ordered",
                    {{"service", order.service},
                     {"to", order.toVersion},
                     {"deadlineSeconds", toSeconds(order.deadline)},
                     {"order", static_cast<std::int64_t>(version)}});
}

void RolloutDesk::onOwnRecord(const Record &record)
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
    this->log.write(LogKind::State, "roll-out state",
                    {{"service", state->service},
                     {"to", state->toVersion},
                     {"phase", phaseName(state->phase)},
                     {"version", static_cast<std::int64_t>(record.version)}});
}

void RolloutDesk::onAnswer(const AnswerReport &report)
{
    const auto known = this->byService.find(report.service);
    if (known == this->byService.end() || !this->isCurrent(known->second)
        || known->second.state.phase != RolloutPhase::InProgress) {
        return;
    }
    const std::uint64_t order = known->second.state.order;
    const std::string side =
        report.softwareVersion == known->second.state.toVersion ? kNewSide : kOldSide;
    if (report.outcome == AnswerOutcome::Cut) {
        // Named after the upstream, so that it counts once whoever saw it break off.
        this->gossip.tell({{RumorKind::CrashedUpstream,
                            joinName({report.service, absl::StrCat(order), side, report.upstream})},
                           1,
                           ""});
        return;
    }
    AnswerCounts &counts = this->counts[{report.service, order, report.route, side}];
    counts.add({1, report.outcome == AnswerOutcome::Bad ? 1 : 0});
    this->countsChanged = true;
}

bool RolloutDesk::isUnderWay(const Rumor &rumor) const
{
    const std::vector<std::string> parts = absl::StrSplit(rumor.id.name, kSeparator);
    if (parts.size() < 2) {
        return false;
    }
    const auto known = this->byService.find(parts[0]);
    return known != this->byService.end() && known->second.state.phase == RolloutPhase::InProgress
        && parts[1] == absl::StrCat(known->second.state.order);
}

void RolloutDesk::tellCounts()
{
    if (!std::exchange(this->countsChanged, false)) {
        return;
    }
    for (const auto &[key, counts] : this->counts) {
        const auto &[service, order, route, side] = key;
        this->gossip.tell({{RumorKind::Verdict,
                            joinName({service, absl::StrCat(order), route, side,
                                      this->gossip.self().incarnation})},
                           static_cast<std::uint64_t>(counts.answers),
                           absl::StrCat(counts.answers, ",", counts.bad)});
    }
}

void RolloutDesk::judge(Known &known, const UpstreamList &upstreams)
{
    this->judgeAnswers(known);
    this->judgeCrashes(known, upstreams);
}

void RolloutDesk::judgeCrashes(Known &known, const UpstreamList &upstreams)
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
    for (const UpstreamRef &upstream : upstreams.ready(known.state.service)) {
        const bool isNew = upstream->softwareVersion == known.state.toVersion;
        ++(isNew ? newVersion : oldVersion).live;
    }
    if (known.crashes.update(oldVersion, newVersion) && !known.held) {
        this->hold(known, "its upstreams crash", {oldVersion.live, oldVersion.crashed},
                   {newVersion.live, newVersion.crashed});
    }
}

void RolloutDesk::hold(Known &known, std::string_view reason, const AnswerCounts &oldVersion,
                       const AnswerCounts &newVersion)
{
    known.held = true;
    ++this->changes;
    this->gossip.tell(
        {{RumorKind::Hold, known.state.service}, known.state.order, std::string(reason)});
    this->log.write(LogKind::State, "roll-out held",
                    {{"service", known.state.service},
                     {"to", known.state.toVersion},
                     {"reason", reason},
                     {"newCounted", newVersion.answers},
                     {"newBad", newVersion.bad},
                     {"oldCounted", oldVersion.answers},
                     {"oldBad", oldVersion.bad}});
}

void RolloutDesk::judgeAnswers(Known &known)
{
    struct Sides
    {
        AnswerCounts oldVersion;
        AnswerCounts newVersion;
    };
    std::map<std::string, Sides> byRoute;
    this->gossip.store().forEach(RumorKind::Verdict, [&](const Rumor &rumor) {
        const std::vector<std::string> parts = absl::StrSplit(rumor.id.name, kSeparator);
        const std::vector<std::string> numbers = absl::StrSplit(rumor.payload, ',');
        constexpr std::size_t kParts = 5;
        AnswerCounts counts;
        if (parts.size() != kParts || parts[0] != known.state.service
            || parts[1] != absl::StrCat(known.state.order) || numbers.size() != 2
            || !absl::SimpleAtoi(numbers[0], &counts.answers)
            || !absl::SimpleAtoi(numbers[1], &counts.bad)) {
            return;
        }
        for (const std::string &route : {parts[2], std::string()}) {
            Sides &sides = byRoute[route];
            (parts[3] == kNewSide ? sides.newVersion : sides.oldVersion).add(counts);
        }
    });
    for (const auto &[route, sides] : byRoute) {
        if (known.held || !known.evidence[route].update(sides.oldVersion, sides.newVersion)) {
            continue;
        }
        const std::string where = route.empty() ? "bad answers on all routes"
                                                : absl::StrCat("bad answers on route ", route);
        this->hold(known, where, sides.oldVersion, sides.newVersion);
    }
}

void RolloutDesk::takeHolds(Known &known)
{
    const Rumor *hold = this->gossip.store().find({RumorKind::Hold, known.state.service});
    if (hold && hold->version == known.state.order && !known.held) {
        known.held = true;
        ++this->changes;
        this->log.write(LogKind::State, "roll-out held by a peer",
                        {{"service", known.state.service}, {"to", known.state.toVersion}});
    }
}

Duration RolloutDesk::rankDelay(const std::string &service) const
{
    std::vector<std::string> alive;
    for (const Member &member : readMembers(this->gossip.store())) {
        if (member.state == MemberState::Alive) {
            alive.push_back(member.name);
        }
    }
    const std::size_t before = rendezvousRank(service, this->gossip.self().name, alive);
    return kRankStep * std::min(static_cast<int>(before), kMostRanks);
}

void RolloutDesk::tick(std::optional<Duration> storeTime, const UpstreamList &upstreams)
{
    this->tellCounts();
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
        this->judge(known, upstreams);
        this->takeHolds(known);
        const Duration elapsed = *storeTime - known.state.startedAt - this->rankDelay(service);
        if (known.held) {
            this->move(known, RolloutPhase::Reverted);
        } else if (mayComplete(known.state, elapsed)) {
            std::size_t newOnes = 0;
            const auto &ready = upstreams.ready(service);
            for (const UpstreamRef &upstream : ready) {
                newOnes += upstream->softwareVersion == known.state.toVersion ? 1 : 0;
            }
            const double oldOnes = static_cast<double>(ready.size() - newOnes);
            if (newOnes > 0 && static_cast<double>(newOnes) >= kEnoughNew * oldOnes) {
                this->move(known, RolloutPhase::Completed);
            }
        }
    }
}

void RolloutDesk::begin(Known &known, Duration storeTime)
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

void RolloutDesk::move(Known &known, RolloutPhase phase)
{
    RolloutState next = known.state;
    next.phase = phase;
    this->commit(known, next);
}

void RolloutDesk::commit(Known &known, RolloutState next)
{
    known.moving = true;
    this->runtime.spawn([this, next, before = known.stateVersion] {
        const RecordKey key{kOwnTable, kRecordPrefix + next.service};
        const auto result = this->store.commit(
            {{key, before}}, {{key, printState(next)}, this->codec.rolloutReport(next)});
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
RolloutDesk::rollouts(std::optional<Duration> storeTime) const
{
    std::map<std::string, ActiveRollout, std::less<>> active;
    for (const auto &[service, known] : this->byService) {
        ActiveRollout rollout;
        if (this->isCurrent(known)) {
            rollout.state = known.state;
            const Duration elapsed =
                storeTime ? *storeTime - known.state.startedAt : Duration::zero();
            rollout.startedAt = this->clock.now() - elapsed;
            rollout.held = known.held || !storeTime;
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
