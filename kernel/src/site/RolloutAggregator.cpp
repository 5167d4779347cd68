// Reports contain totals and are repeated until a collector acknowledges them, so any single
// message may be lost.
#include "RolloutAggregator.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace basilnotch {

namespace {

/// Per roll-out: two may be restarting while the third one collects.
constexpr std::size_t kCollectors = 3;
/// A peer in the same region answers within milliseconds, and the next report makes up for a
/// timeout.
constexpr Duration kReportTimeout = milliseconds(400);
/// Concurrent calls that notify instances of a hold. When most of a hundred instances are down and
/// each call to them times out, the others are still notified within two seconds.
constexpr std::size_t kHoldSenders = 24;
/// Reports in one message to a new collector; keeps the message below a few kilobytes.
constexpr std::size_t kMaxTransferredReports = 32;
constexpr Duration kCountsLogInterval = seconds(2);

} // namespace

RolloutAggregator::RolloutAggregator(FiberRuntime &runtime, PeerMessenger &peers,
                                     const Gossip &gossip, const Clock &clock, EventLog &log,
                                     RolloutAggregatorListener listener)
    : runtime(runtime)
    , peers(peers)
    , gossip(gossip)
    , clock(clock)
    , log(log)
    , listener(std::move(listener))
{
    this->peers.setHandler(PeerMessageKind::RolloutCounts,
                           [this](const std::string &text) { return this->handleMessage(text); });
}

RolloutAggregator::RolloutEntry *RolloutAggregator::find(const std::string &service,
                                                         std::uint64_t order)
{
    const auto found = this->byService.find(service);
    const bool matches = found != this->byService.end() && found->second.order == order;
    return matches ? &found->second : nullptr;
}

void RolloutAggregator::begin(const std::string &service, std::uint64_t order)
{
    if (this->find(service, order)) {
        return;
    }
    this->end(service);
    VersionReporter reporter(service, order, this->gossip.self().incarnation, {}, this->clock);
    this->byService.emplace(service, RolloutEntry(order, std::move(reporter)));
}

void RolloutAggregator::end(const std::string &service)
{
    this->byService.erase(service);
}

void RolloutAggregator::onAnswer(const AnswerReport &report, bool isNew)
{
    const auto found = this->byService.find(report.service);
    if (found != this->byService.end()) {
        found->second.reporter.onAnswer(report.route, isNew, report.outcome == AnswerOutcome::Bad,
                                        report.isSlower);
    }
}

bool RolloutAggregator::isReportOverdue(const std::string &service) const
{
    const auto found = this->byService.find(service);
    return found != this->byService.end() && found->second.reporter.isReportOverdue();
}

std::optional<CollectedCounts> RolloutAggregator::collected(const std::string &service) const
{
    const auto found = this->byService.find(service);
    if (found == this->byService.end()) {
        return std::nullopt;
    }
    const RolloutEntry &entry = found->second;
    const auto self = findSelf(entry.collectors);
    if (self == entry.collectors.end()) {
        return std::nullopt;
    }
    return CollectedCounts{&entry.tally, this->clock.now() - entry.collectorSince,
                           static_cast<std::size_t>(self - entry.collectors.begin())};
}

std::vector<RolloutAggregator::Collector>::const_iterator
RolloutAggregator::findSelf(const std::vector<Collector> &collectors)
{
    return std::find_if(collectors.begin(), collectors.end(),
                        [](const Collector &collector) { return collector.isSelf; });
}

std::vector<RolloutAggregator::Collector>
RolloutAggregator::collectorsFor(const std::string &service, int *liveInstances) const
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

void RolloutAggregator::updateCollectors(RolloutEntry &entry, std::vector<Collector> now)
{
    if (now == entry.collectors) {
        return;
    }
    for (const Collector &collector : now) {
        const bool isNew = std::find(entry.collectors.begin(), entry.collectors.end(), collector)
            == entry.collectors.end();
        if (isNew && !collector.isSelf) {
            this->transferReports(entry, collector);
        }
    }
    if (findSelf(entry.collectors) == entry.collectors.end()) {
        entry.collectorSince = this->clock.now();
    }
    entry.collectors = std::move(now);
    entry.reporter.onCollectorsChanged();
}

void RolloutAggregator::transferReports(const RolloutEntry &entry, const Collector &receiver)
{
    RolloutMessage message;
    const auto flush = [&] {
        if (!message.reports.empty()) {
            this->send(receiver, encodeRolloutMessage(message), [] {});
            message.reports.clear();
        }
    };
    for (const auto &[reporter, report] : entry.tally.reports()) {
        message.reports.push_back(report);
        if (message.reports.size() >= kMaxTransferredReports) {
            flush();
        }
    }
    flush();
}

void RolloutAggregator::sendReport(const std::string &service, RolloutEntry &entry)
{
    const VersionReport report = entry.reporter.report();
    const std::uint64_t position = entry.reporter.position();
    const std::string text = encodeRolloutMessage({{report}, {}});
    const std::uint64_t order = entry.order;
    const auto onDelivered = [this, service, order, position] {
        if (RolloutEntry *entry = this->find(service, order)) {
            entry->reporter.onAcknowledged(position);
        }
    };
    const bool isAlone = entry.collectors.size() == 1;
    for (const Collector &collector : entry.collectors) {
        if (!collector.isSelf) {
            this->send(collector, text, onDelivered);
        } else if (isAlone) {
            onDelivered();
        }
    }
    if (findSelf(entry.collectors) != entry.collectors.end()) {
        this->addReport(report);
    }
}

bool RolloutAggregator::tick()
{
    bool changed = false;
    for (auto &[service, entry] : this->byService) {
        int liveInstances = 1;
        this->updateCollectors(entry, this->collectorsFor(service, &liveInstances));
        const bool reportOverdue = entry.reporter.isReportOverdue();
        if (reportOverdue != entry.reportOverdue) {
            entry.reportOverdue = reportOverdue;
            changed = true;
            this->log.write(LogKind::State,
                            reportOverdue ? "roll-out collectors out of reach"
                                          : "roll-out collectors reached again",
                            {{"service", service},
                             {"order", static_cast<std::int64_t>(entry.order)},
                             {"collectors", static_cast<std::int64_t>(entry.collectors.size())},
                             {"liveInstances", std::int64_t{liveInstances}}});
        }
        if (entry.reporter.markSentIfDue(liveInstances)) {
            this->sendReport(service, entry);
        }
        this->logCounts(service, entry);
    }
    return changed;
}

void RolloutAggregator::logCounts(const std::string &service, RolloutEntry &entry)
{
    const TimePoint now = this->clock.now();
    if (!entry.hasNewCounts || now - entry.loggedAt < kCountsLogInterval) {
        return;
    }
    entry.hasNewCounts = false;
    entry.loggedAt = now;
    for (const auto &[route, counts] : entry.tally.totals()) {
        if (counts.newVersion.answers > 0) {
            this->log.write(LogKind::State, "roll-out counts",
                            {{"service", service},
                             {"order", static_cast<std::int64_t>(entry.order)},
                             {"route", route},
                             {"newCounted", counts.newVersion.answers},
                             {"newBad", counts.newVersion.bad},
                             {"newSlower", counts.newVersion.slower},
                             {"oldCounted", counts.oldVersion.answers},
                             {"oldBad", counts.oldVersion.bad},
                             {"oldSlower", counts.oldVersion.slower}});
        }
    }
}

void RolloutAggregator::addReport(const VersionReport &report)
{
    RolloutEntry *entry = this->find(report.service, report.order);
    if (!entry) {
        return; // Not known yet, or over. The reporter repeats its totals while they matter.
    }
    entry->hasNewCounts = true;
    const std::optional<VersionFinding> finding = entry->tally.addReport(report);
    if (finding) {
        this->listener.onRegression(report.service, *finding);
    }
}

void RolloutAggregator::send(const Collector &receiver, std::string text,
                             std::function<void()> onDelivered)
{
    this->runtime.spawn(
        [this, to = receiver.peers, text = std::move(text), onDelivered = std::move(onDelivered)] {
            const auto reply =
                this->peers.call(to, PeerMessageKind::RolloutCounts, text, kReportTimeout);
            // PeerMessenger counts failed calls; the next report contains the same totals.
            const auto message = reply.ok() ? decodeRolloutMessage(*reply)
                                            : absl::StatusOr<RolloutMessage>(reply.status());
            if (message.ok()) {
                onDelivered();
                this->applyHolds(*message);
            }
        });
}

void RolloutAggregator::applyHolds(const RolloutMessage &message)
{
    for (const HeldRollout &held : message.held) {
        this->listener.onHeldByPeer(held);
    }
}

std::string RolloutAggregator::handleMessage(std::string_view text)
{
    const auto message = decodeRolloutMessage(text);
    if (!message.ok()) {
        this->log.write(LogKind::State, "roll-out counts unreadable",
                        {{"why", describe(message.status())}});
        return {};
    }
    for (const VersionReport &report : message->reports) {
        const bool isKnown = this->find(report.service, report.order) != nullptr;
        const std::vector<HeldRollout> held = this->listener.heldRollouts();
        const bool isHeld =
            std::find(held.begin(), held.end(), HeldRollout{report.service, report.order})
            != held.end();
        if (!isKnown && !isHeld) {
            return {}; // Not accepted: this instance does not know the roll-out yet.
        }
        this->addReport(report);
    }
    this->applyHolds(*message);
    return encodeRolloutMessage({{}, this->listener.heldRollouts()});
}

void RolloutAggregator::broadcastHold(const HeldRollout &held)
{
    auto receivers = std::make_shared<std::vector<Endpoint>>();
    for (const Member &member : readMembers(this->gossip.store())) {
        if (member.name != this->gossip.self().name) {
            receivers->push_back(member.peers);
        }
    }
    const std::string text = encodeRolloutMessage({{}, {held}});
    for (std::size_t sender = 0; sender < kHoldSenders; ++sender) {
        this->runtime.spawn([this, receivers, text] {
            while (!receivers->empty()) {
                const Endpoint receiver = std::move(receivers->back());
                receivers->pop_back();
                // Gossip notifies the instances that this call does not reach.
                (void)this->peers.call(receiver, PeerMessageKind::RolloutCounts, text,
                                       kReportTimeout);
            }
        });
    }
}

} // namespace basilnotch
