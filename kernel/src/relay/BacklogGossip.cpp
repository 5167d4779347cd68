// An instance forwards updates marked for forwarding even if it does not consider itself the
// collector: instances may briefly disagree on which one that is.
#include "BacklogGossip.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>

#include <algorithm>
#include <map>
#include <utility>

namespace basilnotch {

namespace {

/// Batches local changes that occur together; short compared with the time to prefill a prompt.
constexpr Duration kLocalFlushDelay = milliseconds(3);
/// A collector batches updates of its members for this long: a tenth of a usual prompt's prefill
/// time.
constexpr Duration kCollectorFlushDelay = milliseconds(15);

/// Reports of load that occur within this time share a datagram; a fraction of the time for which
/// most requests hold a slot.
constexpr Duration kLoadFlushInterval = milliseconds(40);

/// At most 600 a second, 15 bytes each.
constexpr std::size_t kMaxEndedPerFlush = 24;

/// Chunk `index` of `list`, in chunks of kMaxUpdatesPerDatagram.
template <typename Update>
std::vector<Update> chunkOf(const std::vector<Update> &list, std::size_t index)
{
    const std::size_t from = std::min(index * kMaxUpdatesPerDatagram, list.size());
    const std::size_t to = std::min(from + kMaxUpdatesPerDatagram, list.size());
    return {list.begin() + static_cast<std::ptrdiff_t>(from),
            list.begin() + static_cast<std::ptrdiff_t>(to)};
}

std::string collectorOf(const std::string &failureDomain, const std::vector<std::string> &names)
{
    return names[rendezvousOwner("backlog/" + failureDomain, names)];
}

} // namespace

GossipPeers gossipPeers(const std::string &self, const std::vector<DirectoryEntry> &directory)
{
    GossipPeers peers;
    const auto own = std::find_if(directory.begin(), directory.end(),
                                  [&](const DirectoryEntry &entry) { return entry.name == self; });
    if (directory.size() <= kMaxSmallSiteInstances || own == directory.end()) {
        for (const DirectoryEntry &entry : directory) {
            if (entry.name != self) {
                peers.members.push_back(entry.peers);
            }
        }
        return peers;
    }
    std::map<std::string, std::vector<std::string>> byDomain;
    std::map<std::string, Endpoint> addresses;
    for (const DirectoryEntry &entry : directory) {
        byDomain[entry.failureDomain].push_back(entry.name);
        addresses[entry.name] = entry.peers;
    }
    const std::string collector = collectorOf(own->failureDomain, byDomain[own->failureDomain]);
    peers.isCollector = collector == self;
    if (!peers.isCollector) {
        peers.collector = addresses[collector];
    }
    for (const auto &[domain, names] : byDomain) {
        if (domain != own->failureDomain) {
            peers.collectors.push_back(addresses[collectorOf(domain, names)]);
        }
    }
    for (const std::string &name : byDomain[own->failureDomain]) {
        if (name != self) {
            peers.members.push_back(addresses[name]);
        }
    }
    return peers;
}

BacklogGossip::BacklogGossip(FiberRuntime &runtime, const std::string &self, const Endpoint &listen,
                             EngineEstimates &engineEstimates, const Clock &clock, Metrics &metrics)
    : runtime(runtime)
    , self(self)
    , engineEstimates(engineEstimates)
    , clock(clock)
    , socket(runtime, listen, [this](std::string_view datagram) { this->onDatagram(datagram); })
    , sent(metrics.counter("backlog_datagrams_sent_total"))
    , received(metrics.counter("backlog_datagrams_received_total"))
    , malformed(metrics.counter("backlog_datagrams_malformed_total"))
    , loadReportsSent(metrics.counter("load_reports_sent_total"))
    , loadReportsReceived(metrics.counter("load_reports_received_total"))
    , loadForCollector{{{}, clock}, {}}
    , loadForCollectors{{{}, clock}, {}}
    , loadForMembers{{{}, clock}, {}}
{ }

absl::Status BacklogGossip::start()
{
    return this->socket.start();
}

void BacklogGossip::setDirectory(const std::vector<DirectoryEntry> &directory)
{
    this->peers = gossipPeers(this->self, directory);
}

void BacklogGossip::onLocalChange()
{
    this->scheduleFlush(this->peers.isCollector ? kCollectorFlushDelay : kLocalFlushDelay);
}

void BacklogGossip::onPromptPrefilled(const PromptCacheUpdate &update)
{
    this->pendingLocal.cachedPrompts.push_back(update);
    this->onLocalChange();
}

void BacklogGossip::refresh()
{
    this->engineEstimates.backlog.expire();
    this->engineEstimates.cachedPrompts.expire();
    this->engineEstimates.load.expire();
    this->onLocalChange();
}

void BacklogGossip::onDatagram(std::string_view datagram)
{
    this->received.add();
    absl::StatusOr<BacklogMessage> message = decodeBacklog(datagram, this->clock.now());
    if (!message.ok()) {
        this->malformed.add();
        return;
    }
    if (!message->loadReports.empty() || !message->ended.empty()) {
        this->onLoadReports(message->stage, message->loadReports);
        this->onOthersEnded(message->stage, message->ended);
        this->loadListener();
    }
    std::erase_if(message->backlogUpdates,
                  [this](const BacklogUpdate &update) { return !this->applyUpdate(update); });
    for (const PromptCacheUpdate &cachedPrompt : message->cachedPrompts) {
        this->engineEstimates.cachedPrompts.onPrefilled(cachedPrompt);
    }
    if (message->stage == BacklogStage::ToMembers) {
        return;
    }
    const UpdateBatch incoming{std::move(message->backlogUpdates),
                               std::move(message->cachedPrompts)};
    this->pendingForMembers.add(incoming);
    if (message->stage == BacklogStage::ToCollector) {
        this->pendingForCollectors.add(incoming);
    }
    this->scheduleFlush(kCollectorFlushDelay);
}

void BacklogGossip::scheduleFlush(Duration delay)
{
    if (std::exchange(this->isFlushScheduled, true)) {
        return;
    }
    this->runtime.spawn([this, delay] {
        this->runtime.sleepFor(delay);
        this->isFlushScheduled = false;
        this->flush();
    });
}

void BacklogGossip::flush()
{
    this->pendingLocal.backlogUpdates = this->engineEstimates.backlog.takeUpdates();
    const UpdateBatch localUpdates = std::exchange(this->pendingLocal, {});
    if (this->peers.collector) {
        this->send(BacklogStage::ToCollector, localUpdates, {*this->peers.collector});
    } else {
        this->pendingForCollectors.add(localUpdates);
        this->pendingForMembers.add(localUpdates);
    }
    this->send(BacklogStage::ToCollectors, std::exchange(this->pendingForCollectors, {}),
               this->peers.collectors);
    this->send(BacklogStage::ToMembers, std::exchange(this->pendingForMembers, {}),
               this->peers.members);
}

bool BacklogGossip::applyUpdate(const BacklogUpdate &update)
{
    PrefillBacklog &backlog = this->engineEstimates.backlog;
    const Duration before = backlog.pendingWork(update.upstream);
    const bool isNew = backlog.applyUpdate(update);
    if (backlog.pendingWork(update.upstream) > before) {
        this->engineEstimates.load.onOtherSent(update.upstream);
    }
    return isNew;
}

void BacklogGossip::onLoadReports(BacklogStage stage, const std::vector<PeerLoadReport> &reports)
{
    this->loadReportsReceived.add(static_cast<std::int64_t>(reports.size()));
    for (const PeerLoadReport &report : reports) {
        if (!this->engineEstimates.load.applyReport(report) || stage == BacklogStage::ToMembers) {
            continue;
        }
        this->loadForMembers.reports.add(report);
        if (stage == BacklogStage::ToCollector) {
            this->loadForCollectors.reports.add(report);
        }
        this->scheduleLoadFlush();
    }
}

void BacklogGossip::onOthersEnded(BacklogStage stage, const std::vector<EndedRequests> &ended)
{
    for (const EndedRequests &item : ended) {
        if (item.instance == this->engineEstimates.backlog.ownInstance()) {
            continue;
        }
        this->engineEstimates.load.onOtherEnded(item);
        if (stage == BacklogStage::ToMembers) {
            continue;
        }
        this->loadForMembers.ended.push_back(item);
        if (stage == BacklogStage::ToCollector) {
            // What fails for callers in one failure domain may work for those in another.
            this->loadForCollectors.ended.push_back({item.instance, item.upstream, item.count});
        }
        this->scheduleLoadFlush();
    }
}

void BacklogGossip::scheduleLoadFlush()
{
    if (std::exchange(this->isLoadFlushScheduled, true)) {
        return;
    }
    this->runtime.spawn([this] {
        this->runtime.sleepFor(kLoadFlushInterval);
        this->isLoadFlushScheduled = false;
        this->flushLoad();
    });
}

void BacklogGossip::flushLoad()
{
    this->dueReports.clear();
    this->engineEstimates.load.takeReports(this->dueReports);
    this->dueEnded.clear();
    this->engineEstimates.load.takeEnded(this->dueEnded);
    const std::uint32_t instance = this->engineEstimates.backlog.ownInstance();
    const auto add = [&](LoadBatch &batch) {
        for (const PeerLoadReport &report : this->dueReports) {
            batch.reports.add(report);
        }
        for (const EndedRequests &ended : this->dueEnded) {
            batch.ended.push_back(ended);
            batch.ended.back().instance = instance;
        }
    };
    if (this->peers.collector) {
        add(this->loadForCollector);
        this->sendLoad(BacklogStage::ToCollector, this->loadForCollector, {*this->peers.collector});
    } else {
        add(this->loadForCollectors);
        add(this->loadForMembers);
    }
    this->sendLoad(BacklogStage::ToCollectors, this->loadForCollectors, this->peers.collectors);
    this->sendLoad(BacklogStage::ToMembers, this->loadForMembers, this->peers.members);
    if (!this->loadForCollector.empty() || !this->loadForCollectors.empty()
        || !this->loadForMembers.empty()) {
        this->scheduleLoadFlush();
    }
}

void BacklogGossip::sendLoad(BacklogStage stage, LoadBatch &pending,
                             const std::vector<Endpoint> &receivers)
{
    const std::vector<PeerLoadReport> reports = pending.reports.take();
    std::vector<EndedRequests> ended = std::exchange(pending.ended, {});
    // What isn't told is learned from the next report of the upstream.
    ended.resize(std::min(ended.size(), kMaxEndedPerFlush));
    const std::size_t longest = std::max(reports.size(), ended.size());
    for (std::size_t chunk = 0; chunk * kMaxUpdatesPerDatagram < longest; ++chunk) {
        const BacklogMessage message{stage, {}, {}, chunkOf(reports, chunk), chunkOf(ended, chunk)};
        const std::string datagram = encodeBacklog(message, this->clock.now());
        for (const Endpoint &receiver : receivers) {
            (void)this->socket.send(receiver, datagram); // The next report makes up for a lost one.
            this->sent.add();
            this->loadReportsSent.add(static_cast<std::int64_t>(message.loadReports.size()));
        }
    }
}

void BacklogGossip::UpdateBatch::add(const UpdateBatch &more)
{
    this->backlogUpdates.insert(this->backlogUpdates.end(), more.backlogUpdates.begin(),
                                more.backlogUpdates.end());
    this->cachedPrompts.insert(this->cachedPrompts.end(), more.cachedPrompts.begin(),
                               more.cachedPrompts.end());
}

void BacklogGossip::send(BacklogStage stage, const UpdateBatch &pending,
                         const std::vector<Endpoint> &receivers)
{
    const std::size_t longest =
        std::max(pending.backlogUpdates.size(), pending.cachedPrompts.size());
    for (std::size_t chunk = 0; chunk * kMaxUpdatesPerDatagram < longest; ++chunk) {
        const BacklogMessage message{stage,
                                     chunkOf(pending.backlogUpdates, chunk),
                                     chunkOf(pending.cachedPrompts, chunk),
                                     {},
                                     {}};
        const std::string datagram = encodeBacklog(message, this->clock.now());
        for (const Endpoint &receiver : receivers) {
            (void)this->socket.send(receiver, datagram); // A refresh repeats lost backlog updates.
            this->sent.add();
        }
    }
}

} // namespace basilnotch
