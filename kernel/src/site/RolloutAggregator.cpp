// A report holds totals and is sent again until a collector has it, so no message needs to arrive.
#include "RolloutAggregator.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace basilnotch {

namespace {

/// Of one roll-out: two may be restarting while the third one collects.
constexpr std::size_t kCollectors = 3;
/// A peer in the same region answers within some milliseconds; the next report comes soon.
constexpr Duration kReportTimeout = milliseconds(400);
/// Instances that are told of a hold at the same time: with most of a hundred instances down, each
/// costing a timeout, the others still hear of it within two seconds.
constexpr std::size_t kTellers = 24;
/// Reports in one message to a new collector, which then stays below a few kilobytes.
constexpr std::size_t kMostHandedOver = 32;

} // namespace

RolloutCounts::RolloutCounts(FiberRuntime &runtime, PeerMessenger &peers, const Gossip &gossip,
                             const Clock &clock, EventLog &log, RolloutAggregatorListener listener)
    : runtime(runtime)
    , peers(peers)
    , gossip(gossip)
    , clock(clock)
    , log(log)
    , listener(std::move(listener))
{
    this->peers.handle(PeerMessageKind::RolloutCounts,
                       [this](const std::string &text) { return this->answer(text); });
}

RolloutCounts::Underway *RolloutCounts::find(const std::string &service, std::uint64_t order)
{
    const auto known = this->byService.find(service);
    const bool isIt = known != this->byService.end() && known->second.order == order;
    return isIt ? &known->second : nullptr;
}

void RolloutCounts::begin(const std::string &service, std::uint64_t order)
{
    if (this->find(service, order)) {
        return;
    }
    this->end(service);
    VersionReporter reporter(service, order, this->gossip.self().incarnation, {}, this->clock);
    this->byService.emplace(service, Underway(order, std::move(reporter)));
}

void RolloutCounts::end(const std::string &service)
{
    this->byService.erase(service);
}

void RolloutCounts::onAnswer(const std::string &service, const std::string &route, bool isNew,
                             bool isBad)
{
    const auto known = this->byService.find(service);
    if (known != this->byService.end()) {
        known->second.reporter.onAnswer(route, isNew, isBad);
    }
}

bool RolloutCounts::isReportOverdue(const std::string &service) const
{
    const auto known = this->byService.find(service);
    return known != this->byService.end() && known->second.reporter.isReportOverdue();
}

std::vector<RolloutCounts::Collector> RolloutCounts::collectorsOf(const std::string &service,
                                                                  int *liveInstances) const
{
    std::map<std::string, Collector> alive;
    std::vector<std::string> names;
    for (const Member &member : readMembers(this->gossip.store())) {
        if (member.state == MemberState::Alive) {
            const bool isSelf = member.name == this->gossip.self().name;
            alive.emplace(member.name, Collector{member.incarnation, member.peers, isSelf});
            names.push_back(member.name);
        }
    }
    *liveInstances = static_cast<int>(names.size());
    std::vector<Collector> collectors;
    for (const std::string &name :
         rendezvousFirst(absl::StrCat("roll-out/", service), names, kCollectors)) {
        collectors.push_back(alive.at(name));
    }
    return collectors;
}

void RolloutCounts::useCollectors(Underway &underway, std::vector<Collector> now)
{
    if (now == underway.collectors) {
        return;
    }
    for (const Collector &collector : now) {
        const bool isNew =
            std::find(underway.collectors.begin(), underway.collectors.end(), collector)
            == underway.collectors.end();
        if (isNew && !collector.isSelf) {
            this->handOver(underway, collector);
        }
    }
    underway.collectors = std::move(now);
    underway.reporter.onCollectorsChanged();
}

void RolloutCounts::handOver(const Underway &underway, const Collector &receiver)
{
    RolloutMessage message;
    const auto flush = [&] {
        if (!message.reports.empty()) {
            this->send(receiver, encodeRollout(message), [] {});
            message.reports.clear();
        }
    };
    for (const auto &[reporter, report] : underway.tally.reports()) {
        message.reports.push_back(report);
        if (message.reports.size() >= kMostHandedOver) {
            flush();
        }
    }
    flush();
}

void RolloutCounts::sendReport(const std::string &service, Underway &underway)
{
    const VersionReport report = underway.reporter.report();
    const std::uint64_t position = underway.reporter.position();
    const std::string text = encodeRollout({{report}, {}});
    const std::uint64_t order = underway.order;
    const auto heard = [this, service, order, position] {
        if (Underway *underway = this->find(service, order)) {
            underway->reporter.onAcknowledged(position);
        }
    };
    const bool isAlone = underway.collectors.size() == 1;
    for (const Collector &collector : underway.collectors) {
        if (!collector.isSelf) {
            this->send(collector, text, heard);
        } else if (isAlone) {
            heard();
        }
    }
    const bool collects = std::any_of(underway.collectors.begin(), underway.collectors.end(),
                                      [](const Collector &collector) { return collector.isSelf; });
    if (collects) {
        this->addReport(report);
    }
}

bool RolloutCounts::tick()
{
    bool changed = false;
    for (auto &[service, underway] : this->byService) {
        int liveInstances = 1;
        this->useCollectors(underway, this->collectorsOf(service, &liveInstances));
        const bool unheard = underway.reporter.isReportOverdue();
        if (unheard != underway.unheard) {
            underway.unheard = unheard;
            changed = true;
            this->log.write(LogKind::State,
                            unheard ? "roll-out collectors out of reach"
                                    : "roll-out collectors reached again",
                            {{"service", service},
                             {"order", static_cast<std::int64_t>(underway.order)},
                             {"collectors", static_cast<std::int64_t>(underway.collectors.size())},
                             {"liveInstances", std::int64_t{liveInstances}}});
        }
        if (underway.reporter.markSentIfDue(liveInstances)) {
            this->sendReport(service, underway);
        }
    }
    return changed;
}

void RolloutCounts::addReport(const VersionReport &report)
{
    Underway *underway = this->find(report.service, report.order);
    if (!underway) {
        return; // Not known here yet, or over; its reporter tells again what still matters.
    }
    const std::optional<VersionFinding> finding = underway->tally.addReport(report);
    if (finding) {
        this->listener.found(report.service, *finding);
    }
}

void RolloutCounts::send(const Collector &receiver, std::string text, std::function<void()> heard)
{
    this->runtime.spawn(
        [this, to = receiver.peers, text = std::move(text), heard = std::move(heard)] {
            const auto reply =
                this->peers.call(to, PeerMessageKind::RolloutCounts, text, kReportTimeout);
            // A failed call is counted by PeerMessenger; the next report makes up for it.
            const auto message =
                reply.ok() ? decodeRollout(*reply) : absl::StatusOr<RolloutMessage>(reply.status());
            if (message.ok()) {
                heard();
                this->takeHeld(*message);
            }
        });
}

void RolloutCounts::takeHeld(const RolloutMessage &message)
{
    for (const HeldRollout &held : message.held) {
        this->listener.heldByPeer(held);
    }
}

std::string RolloutCounts::answer(std::string_view text)
{
    const auto message = decodeRollout(text);
    if (!message.ok()) {
        this->log.write(LogKind::State, "roll-out counts unreadable",
                        {{"why", describe(message.status())}});
        return {};
    }
    for (const VersionReport &report : message->reports) {
        const bool isKnown = this->find(report.service, report.order) != nullptr;
        const std::vector<HeldRollout> held = this->listener.held();
        const bool isHeld =
            std::find(held.begin(), held.end(), HeldRollout{report.service, report.order})
            != held.end();
        if (!isKnown && !isHeld) {
            return {}; // Not taken: this instance has not heard of the roll-out yet.
        }
        this->addReport(report);
    }
    this->takeHeld(*message);
    return encodeRollout({{}, this->listener.held()});
}

void RolloutCounts::tellHeld(const HeldRollout &held)
{
    auto receivers = std::make_shared<std::vector<Endpoint>>();
    for (const Member &member : readMembers(this->gossip.store())) {
        if (member.name != this->gossip.self().name) {
            receivers->push_back(member.peers);
        }
    }
    const std::string text = encodeRollout({{}, {held}});
    for (std::size_t teller = 0; teller < kTellers; ++teller) {
        this->runtime.spawn([this, receivers, text] {
            while (!receivers->empty()) {
                const Endpoint receiver = std::move(receivers->back());
                receivers->pop_back();
                // Who does not answer hears of it by gossip.
                (void)this->peers.call(receiver, PeerMessageKind::RolloutCounts, text,
                                       kReportTimeout);
            }
        });
    }
}

} // namespace basilnotch
