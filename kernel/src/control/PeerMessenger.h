// Carries gossip, receipt copies and rules between instances over nng.
#pragma once

#include <membership/Gossip.h>
#include <runtime/PeerLink.h>
#include <settings/Settings.h>
#include <telemetry/Metrics.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basilnotch {

class FiberRuntime;

/// First byte of every message between instances.
enum class PeerMessageKind : char {
    Gossip = 'g',
    StoreReceiptCopies = 'c',   ///< Keep copies of these receipts.
    ReleaseReceiptCopies = 'x', ///< They are in the table up to this batch.
    FetchRules = 'r',           ///< Send the rules file in force.
    FetchRecord = 'o',          ///< Send a record of the platform's store.
    RolloutCounts = 'v',        ///< Counts for a collector of a roll-out, or word that it is held.
};

/// Control thread only.
class PeerMessenger
{
public:
    using Handler = std::function<std::string(std::string)>;

    PeerMessenger(FiberRuntime &runtime, const Settings &settings, Gossip &gossip,
                  Metrics &metrics);

    absl::Status start();
    /// Answers messages of `kind`.
    void handle(PeerMessageKind kind, Handler handler);
    /// One exchange with a peer; blocks the calling fiber.
    absl::StatusOr<std::string> call(const Endpoint &peer, PeerMessageKind kind,
                                     std::string_view body, Duration timeout);
    /// Called after rumors have been taken in.
    void onRumors(std::function<void()> callback) { this->rumorsCallback = std::move(callback); }
    /// Sends one round of gossip; does not wait for the replies.
    void gossipRound();
    /// An alive member in another failure domain, if there is one; always the same while it lives.
    std::optional<Member> receiptPeer() const;

private:
    std::string answer(std::string message);
    std::string answerGossip(std::string_view body);
    void send(const Outgoing &outgoing);
    bool probe(const std::string &target);

    FiberRuntime &runtime;
    const Settings &settings;
    Gossip &gossip;
    PeerServer server;
    PeerClient client;
    std::map<PeerMessageKind, Handler> handlers;
    std::function<void()> rumorsCallback;
    Counter &bytesSent;
    Counter &bytesReceived;
    Counter &failures;
    int sending = 0; ///< Messages without a reply yet; bounded by kMaxSending.
};

} // namespace basilnotch
