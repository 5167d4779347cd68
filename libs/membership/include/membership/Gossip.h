// Who talks to whom and what is said: push-pull exchanges with random members, suspicion after a
// failed direct and indirect try, and repair of what was missed. No sockets: the owner carries
// messages, on PeerLink in the product and in memory in tests.
#pragma once

#include <base/Clock.h>
#include <membership/MemberTable.h>
#include <membership/RumorStore.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace basilnotch {

struct GossipOptions
{
    /// Rumors of one message; a repair may be larger. Room for the registrations of a whole new
    /// version: a change that comes behind them has to wait for the next message.
    std::size_t messageBytes = 16'000;
    int sendFactor = 3;                   ///< A rumor is sent sendFactor * log2(members) times.
    int indirectProbes = 2;               ///< Members asked to try one that did not answer.
    Duration repairInterval = seconds(5); ///< At most one repair is started in this time.
    /// After its start an instance takes what isToldAtStart() from repairs. Later ones would bring
    /// back what it has forgotten.
    Duration startTime = seconds(10);
    Duration unknownRetry = seconds(2); ///< Unknown members are tried again this often.
};

enum class GossipPurpose : std::uint8_t {
    Exchange, ///< Rumors both ways.
    Repair,   ///< All repaired rumors both ways.
    Probe,    ///< Asks the receiver to reach `target` and say whether it could.
};

struct GossipMessage
{
    std::string from;
    GossipPurpose purpose = GossipPurpose::Exchange;
    std::uint64_t digest = 0;
    std::string target;   ///< Probe only.
    bool reached = false; ///< In the reply to a probe.
    std::vector<Rumor> rumors;
};

std::string encodeMessage(const GossipMessage &message);
absl::StatusOr<GossipMessage> decodeMessage(std::string_view text);

/// A message to carry; its reply goes to onReply, its failure to onFailure.
struct Outgoing
{
    std::string peer;
    Endpoint endpoint;
    GossipMessage message;
};

/// Control thread only.
class Gossip
{
public:
    Gossip(Member self, std::uint64_t firstVersion, GossipOptions options, const Clock &clock,
           std::uint64_t seed);

    /// Addresses to try until members are known; taken as unknown members.
    void addSeed(const std::string &name, const Endpoint &endpoint);
    /// The messages of one round: call it at each gossip interval.
    std::vector<Outgoing> round();
    /// The reply to an exchange or a repair. A probe is answered by the owner.
    GossipMessage onMessage(const GossipMessage &message);
    void onReply(const Outgoing &request, const GossipMessage &reply);
    /// The member did not answer. Returns the probes to send before it is suspected.
    std::vector<Outgoing> onFailure(const Outgoing &request);

    /// Tells a rumor of our own; true when it was news.
    bool tell(const Rumor &rumor);
    /// Sends a known rumor again a few times, however often it has been sent: an instance that has
    /// missed it must not wait for a repair.
    void refresh(const RumorId &id);
    /// Says that this instance is about to stop.
    void leave();

    RumorStore &store() { return this->rumors; }
    const RumorStore &store() const { return this->rumors; }
    const Member &self() const { return this->me; }
    std::optional<Member> member(const std::string &name) const;
    /// Time since any peer last answered or called; used with the platform's silence.
    Duration sinceHeard() const;
    /// Number of members that are not unknown, this one included.
    int reachableMembers() const;

private:
    void take(const GossipMessage &message);
    void takeRumor(const Rumor &rumor, const GossipMessage &message, int maxSends);
    void tellSelf();
    int maxSends() const;
    std::optional<Outgoing> exchangeWith(const std::string &name, GossipPurpose purpose);
    std::vector<std::string> candidates(bool unknownOnes) const;
    /// Where members that are known by name are reached; seeds may have the same addresses.
    std::set<std::string> knownAddresses() const;
    bool isReachable(const std::string &name) const;

    Member me;
    std::uint64_t myVersion; ///< Invariant: even.
    const GossipOptions options;
    const Clock &clock;
    RumorStore rumors;
    std::map<std::string, Endpoint, std::less<>> seeds;
    std::mt19937_64 random;
    const TimePoint startedAt;
    TimePoint lastHeard;
    TimePoint lastRepair;
    TimePoint lastUnknownTry;
    std::string repairWith; ///< Member whose digest differed; empty when none did.
    std::map<std::string, int, std::less<>>
        probesFailed; ///< Member -> failed tries since its last answer.
};

} // namespace basilnotch
