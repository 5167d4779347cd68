// Fibers of the control thread send and answer messages. No fiber suspends while it accesses the
// gossip state, so the state needs no lock.
#include "PeerMessenger.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>

#include <absl/strings/str_cat.h>

namespace basilnotch {

namespace {

constexpr int kMaxPendingMessages = 64;
constexpr Duration kExchangeTimeout = milliseconds(600);
constexpr Duration kProbeTimeout = milliseconds(300);

} // namespace

PeerMessenger::PeerMessenger(FiberRuntime &runtime, const Settings &settings, Gossip &gossip,
                             Metrics &metrics)
    : runtime(runtime)
    , settings(settings)
    , gossip(gossip)
    , server(
          runtime, settings.peerListen,
          [this](std::string message) { return this->handleMessage(std::move(message)); },
          processLimits(settings.limits.memoryMb, settings.limits.maxDescriptors))
    , client(runtime)
    , bytesSent(metrics.counter("peer_bytes_sent_total"))
    , bytesReceived(metrics.counter("peer_bytes_received_total"))
    , failures(metrics.counter("peer_failures_total"))
{
    for (const PeerSettings &peer : settings.peers) {
        gossip.addSeed(peer.name, peer.endpoint);
    }
}

absl::Status PeerMessenger::start()
{
    return this->server.start();
}

void PeerMessenger::setHandler(PeerMessageKind kind, Handler handler)
{
    this->handlers[kind] = std::move(handler);
}

absl::StatusOr<std::string> PeerMessenger::call(const Endpoint &peer, PeerMessageKind kind,
                                                std::string_view body, Duration timeout)
{
    std::string message(1, static_cast<char>(kind));
    message.append(body);
    this->bytesSent.add(static_cast<std::int64_t>(message.size()));
    auto reply = this->client.call(peer, message, timeout);
    if (!reply.ok()) {
        this->failures.add();
        return reply.status();
    }
    this->bytesReceived.add(static_cast<std::int64_t>(reply->size()));
    return reply;
}

std::string PeerMessenger::handleMessage(std::string message)
{
    this->bytesReceived.add(static_cast<std::int64_t>(message.size()));
    if (message.empty()) {
        return {};
    }
    const auto kind = static_cast<PeerMessageKind>(message.front());
    std::string body = message.substr(1);
    std::string reply;
    if (kind == PeerMessageKind::Gossip) {
        reply = this->handleGossip(body);
    } else if (const auto handler = this->handlers.find(kind); handler != this->handlers.end()) {
        reply = handler->second(std::move(body));
    }
    this->bytesSent.add(static_cast<std::int64_t>(reply.size()));
    return reply;
}

bool PeerMessenger::probe(const std::string &target)
{
    const std::optional<Member> member = this->gossip.member(target);
    if (!member) {
        return false;
    }
    GossipMessage message;
    message.from = this->gossip.self().name;
    message.digest = this->gossip.store().digest();
    return this->call(member->peers, PeerMessageKind::Gossip, encodeMessage(message), kProbeTimeout)
        .ok();
}

std::string PeerMessenger::handleGossip(std::string_view body)
{
    const auto message = decodeMessage(body);
    if (!message.ok()) {
        this->failures.add();
        return {};
    }
    GossipMessage reply;
    if (message->purpose == GossipPurpose::Probe) {
        reply.from = this->gossip.self().name;
        reply.purpose = GossipPurpose::Probe;
        reply.reached = this->probe(message->target);
        return encodeMessage(reply);
    }
    reply = this->gossip.onMessage(*message);
    if (!message->rumors.empty() && this->rumorsCallback) {
        this->rumorsCallback();
    }
    return encodeMessage(reply);
}

void PeerMessenger::send(const Outgoing &outgoing)
{
    if (this->pendingMessages >= kMaxPendingMessages) {
        return;
    }
    ++this->pendingMessages;
    this->runtime.spawn([this, outgoing] {
        const auto text = this->call(outgoing.endpoint, PeerMessageKind::Gossip,
                                     encodeMessage(outgoing.message), kExchangeTimeout);
        --this->pendingMessages;
        const auto reply =
            text.ok() ? decodeMessage(*text) : absl::StatusOr<GossipMessage>(text.status());
        if (reply.ok()) {
            this->gossip.onReply(outgoing, *reply);
        } else {
            for (const Outgoing &probe : this->gossip.onFailure(outgoing)) {
                this->send(probe);
            }
        }
        if (this->rumorsCallback) {
            this->rumorsCallback();
        }
    });
}

void PeerMessenger::gossipRound()
{
    for (const Outgoing &outgoing : this->gossip.round()) {
        this->send(outgoing);
    }
}

std::optional<Member> PeerMessenger::receiptCopyPeer() const
{
    std::vector<Member> others;
    std::vector<Member> inOtherDomains;
    for (const Member &member : readMembers(this->gossip.store())) {
        if (member.name == this->gossip.self().name || member.state != MemberState::Alive) {
            continue;
        }
        others.push_back(member);
        if (member.failureDomain != this->settings.failureDomain) {
            inOtherDomains.push_back(member);
        }
    }
    const std::vector<Member> &candidates = inOtherDomains.empty() ? others : inOtherDomains;
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::vector<std::string> names;
    for (const Member &member : candidates) {
        names.push_back(member.incarnation);
    }
    return candidates[rendezvousOwner(this->gossip.self().incarnation, names)];
}

} // namespace basilnotch
