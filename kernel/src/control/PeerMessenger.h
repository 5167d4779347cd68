// Exchanges messages (gossip, receipt copies, rules, records) with other instances.
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
    StoreReceiptCopies = 'c',   ///< Store copies of these receipts.
    ReleaseReceiptCopies = 'x', ///< The table has all batches up to this one.
    FetchRules = 'r',           ///< Returns the rules file in force.
    FetchRecord = 'o',          ///< Returns a whole record of the platform's store.
    FetchRecordPart = 'p',      ///< Returns a part of an encoding of a record.
    ConfirmCatalog = 'k', ///< Returns how lately the store has confirmed the catalog's record.
    FetchDomains = 'd',   ///< Returns the records of failure domains that are out of service.
    RolloutCounts = 'v',  ///< Counts for a collector of a roll-out, or notice that it is held.
};

/// Control thread only.
class PeerMessenger
{
public:
    using Handler = std::function<std::string(std::string)>;

    PeerMessenger(FiberRuntime &runtime, const Settings &settings, Gossip &gossip,
                  Metrics &metrics);

    /// Binds the peer port.
    absl::Status start();
    /// Sets the handler for messages of `kind`; it returns the reply.
    void setHandler(PeerMessageKind kind, Handler handler);
    /// Sends a request to a peer and returns the reply, or an error if none arrives within
    /// `timeout`. Blocks the calling fiber.
    absl::StatusOr<std::string> call(const Endpoint &peer, PeerMessageKind kind,
                                     std::string_view body, Duration timeout);
    /// Sets a callback that runs after each exchange that may have changed the rumors.
    void onRumors(std::function<void()> callback) { this->rumorsCallback = std::move(callback); }
    /// Sends one round of gossip without waiting for the replies.
    void gossipRound();
    /// Selects the live member that stores copies of this instance's receipts. Prefers members in
    /// other failure domains. The choice is stable while the member is alive; empty if there is no
    /// other live member.
    std::optional<Member> receiptCopyPeer() const;

private:
    std::string handleMessage(std::string message);
    std::string handleGossip(std::string_view body);
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
    int pendingMessages = 0; ///< Gossip messages awaiting a reply; at most kMaxPendingMessages.
};

} // namespace basilnotch
