// Whoever receives notes that are to be passed on does so, whether it takes itself for the
// collector or not: instances may disagree for a moment on who that is.
#include "BacklogGossip.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>

#include <algorithm>
#include <map>
#include <utility>

namespace basilnotch {

namespace {

/// Own changes that come together go together; short against the time that a prompt takes.
constexpr Duration kOwnPause = milliseconds(3);
/// A collector gathers what its members tell within this time: a tenth of a usual prompt.
constexpr Duration kCollectPause = milliseconds(15);

/// Part `index` of a list that is cut into parts of kMaxBacklogNotes.
template <typename Note>
std::vector<Note> partOf(const std::vector<Note> &list, std::size_t index)
{
    const std::size_t from = std::min(index * kMaxBacklogNotes, list.size());
    const std::size_t to = std::min(from + kMaxBacklogNotes, list.size());
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
                             EngineEstimates &engineEstimates, Metrics &metrics)
    : runtime(runtime)
    , self(self)
    , engineEstimates(engineEstimates)
    , socket(runtime, listen, [this](std::string_view datagram) { this->onDatagram(datagram); })
    , sent(metrics.counter("backlog_datagrams_sent_total"))
    , received(metrics.counter("backlog_datagrams_received_total"))
    , malformed(metrics.counter("backlog_datagrams_malformed_total"))
{ }

absl::Status BacklogGossip::start()
{
    return this->socket.start();
}

void BacklogGossip::setDirectory(const std::vector<DirectoryEntry> &directory)
{
    this->peers = gossipPeers(this->self, directory);
}

void BacklogGossip::onChanged()
{
    this->flushSoon(this->peers.isCollector ? kCollectPause : kOwnPause);
}

void BacklogGossip::onPromptRead(const PromptCacheUpdate &note)
{
    this->own.cachedPrompts.push_back(note);
    this->onChanged();
}

void BacklogGossip::refresh()
{
    this->engineEstimates.backlog.expire();
    this->engineEstimates.cachedPrompts.expire();
    this->onChanged();
}

void BacklogGossip::onDatagram(std::string_view datagram)
{
    this->received.add();
    absl::StatusOr<BacklogMessage> message = decodeBacklog(datagram);
    if (!message.ok()) {
        this->malformed.add();
        return;
    }
    std::erase_if(message->notes, [this](const BacklogUpdate &note) {
        return !this->engineEstimates.backlog.applyUpdate(note);
    });
    for (const PromptCacheUpdate &place : message->cachedPrompts) {
        this->engineEstimates.cachedPrompts.onPrefilled(place);
    }
    if (message->stage == BacklogStage::ToMembers) {
        return;
    }
    const Pending heard{std::move(message->notes), std::move(message->cachedPrompts)};
    this->forMembers.add(heard);
    if (message->stage == BacklogStage::ToCollector) {
        this->forCollectors.add(heard);
    }
    this->flushSoon(kCollectPause);
}

void BacklogGossip::flushSoon(Duration pause)
{
    if (std::exchange(this->flushing, true)) {
        return;
    }
    this->runtime.spawn([this, pause] {
        this->runtime.sleepFor(pause);
        this->flushing = false;
        this->flush();
    });
}

void BacklogGossip::flush()
{
    this->own.notes = this->engineEstimates.backlog.takeUpdates();
    const Pending told = std::exchange(this->own, {});
    if (this->peers.collector) {
        this->send(BacklogStage::ToCollector, told, {*this->peers.collector});
    } else {
        this->forCollectors.add(told);
        this->forMembers.add(told);
    }
    this->send(BacklogStage::ToCollectors, std::exchange(this->forCollectors, {}),
               this->peers.collectors);
    this->send(BacklogStage::ToMembers, std::exchange(this->forMembers, {}), this->peers.members);
}

void BacklogGossip::Pending::add(const Pending &more)
{
    this->notes.insert(this->notes.end(), more.notes.begin(), more.notes.end());
    this->cachedPrompts.insert(this->cachedPrompts.end(), more.cachedPrompts.begin(),
                               more.cachedPrompts.end());
}

void BacklogGossip::send(BacklogStage stage, const Pending &pending,
                         const std::vector<Endpoint> &receivers)
{
    const std::size_t most = std::max(pending.notes.size(), pending.cachedPrompts.size());
    for (std::size_t part = 0; part * kMaxBacklogNotes < most; ++part) {
        const BacklogMessage message{stage, partOf(pending.notes, part),
                                     partOf(pending.cachedPrompts, part)};
        const std::string datagram = encodeBacklog(message);
        for (const Endpoint &receiver : receivers) {
            (void)this->socket.send(receiver, datagram); // The next refresh makes up for it.
            this->sent.add();
        }
    }
}

} // namespace basilnotch
