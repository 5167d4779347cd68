// One exchange each round serves both for spreading and for failure detection, as in SWIM.
#include <membership/Gossip.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace basilnotch {

Gossip::Gossip(Member self, std::uint64_t firstVersion, GossipOptions options, const Clock &clock,
               std::uint64_t seed)
    : me(std::move(self))
    , myVersion(firstVersion & ~std::uint64_t{1})
    , options(options)
    , clock(clock)
    , rumors(seed)
    , random(seed)
    , startedAt(clock.now())
    , lastHeard(clock.now())
    , lastRepair(clock.now() - options.repairInterval)
    , lastUnknownTry(clock.now())
{
    this->tellSelf();
}

void Gossip::tellSelf()
{
    this->rumors.merge(memberRumor(this->me, this->myVersion));
}

void Gossip::leave()
{
    this->me.state = MemberState::Leaving;
    this->myVersion += 2;
    this->tellSelf();
}

void Gossip::addSeed(const std::string &name, const Endpoint &endpoint)
{
    if (name != this->me.name) {
        this->seeds[name] = endpoint;
    }
}

bool Gossip::tell(const Rumor &rumor)
{
    return this->rumors.merge(rumor);
}

void Gossip::refresh(const RumorId &id)
{
    this->rumors.sendAgain(id, this->maxSends());
}

std::optional<Member> Gossip::member(const std::string &name) const
{
    const Rumor *rumor = this->rumors.find({RumorKind::Member, name});
    if (!rumor) {
        return std::nullopt;
    }
    absl::StatusOr<Member> member = readMember(*rumor);
    return member.ok() ? std::optional(*std::move(member)) : std::nullopt;
}

Duration Gossip::sinceHeard() const
{
    return this->clock.now() - this->lastHeard;
}

int Gossip::reachableMembers() const
{
    int count = 0;
    this->rumors.forEach(RumorKind::Member,
                         [&](const Rumor &rumor) { count += rumor.version % 2 == 0 ? 1 : 0; });
    return count;
}

int Gossip::maxSends() const
{
    const auto members = static_cast<unsigned>(std::max(1, this->reachableMembers()));
    return this->options.sendFactor * static_cast<int>(std::bit_width(members));
}

std::vector<std::string> Gossip::candidates(bool unknownOnes) const
{
    std::vector<std::string> names;
    this->rumors.forEach(RumorKind::Member, [&](const Rumor &rumor) {
        const bool unknown = rumor.version % 2 == 1;
        if (rumor.id.name != this->me.name && unknown == unknownOnes) {
            names.push_back(rumor.id.name);
        }
    });
    if (unknownOnes) {
        const std::set<std::string> known = this->knownAddresses();
        for (const auto &[name, endpoint] : this->seeds) {
            if (!known.contains(endpoint.text())) {
                names.push_back(name);
            }
        }
    }
    return names;
}

std::set<std::string> Gossip::knownAddresses() const
{
    std::set<std::string> addresses;
    for (const Member &member : readMembers(this->rumors)) {
        addresses.insert(member.peers.text());
    }
    return addresses;
}

std::optional<Outgoing> Gossip::exchangeWith(const std::string &name, GossipPurpose purpose)
{
    Outgoing outgoing;
    outgoing.peer = name;
    if (const std::optional<Member> known = this->member(name)) {
        outgoing.endpoint = known->peers;
    } else if (const auto seed = this->seeds.find(name); seed != this->seeds.end()) {
        outgoing.endpoint = seed->second;
    } else {
        return std::nullopt;
    }
    outgoing.message.from = this->me.name;
    outgoing.message.purpose = purpose;
    outgoing.message.digest = this->rumors.digest();
    if (purpose == GossipPurpose::Repair) {
        outgoing.message.rumors = this->rumors.repaired();
    } else if (this->isReachable(name)) {
        outgoing.message.rumors =
            this->rumors.takeForSending(name, this->options.messageBytes, this->maxSends());
    } // What is sent to a member that may be gone would be wasted; the digest tells if it is back.
    return outgoing;
}

bool Gossip::isReachable(const std::string &name) const
{
    const Rumor *rumor = this->rumors.find({RumorKind::Member, name});
    return rumor && rumor->version % 2 == 0;
}

std::vector<Outgoing> Gossip::round()
{
    std::vector<Outgoing> out;
    const auto pick = [&](const std::vector<std::string> &names, GossipPurpose purpose) {
        if (names.empty()) {
            return;
        }
        std::uniform_int_distribution<std::size_t> any(0, names.size() - 1);
        if (std::optional<Outgoing> message =
                this->exchangeWith(names[any(this->random)], purpose)) {
            out.push_back(std::move(*message));
        }
    };
    if (this->repairWith.empty()) {
        pick(this->candidates(false), GossipPurpose::Exchange);
    } else {
        pick({std::exchange(this->repairWith, {})}, GossipPurpose::Repair);
    }
    const TimePoint now = this->clock.now();
    if (out.empty() || now - this->lastUnknownTry >= this->options.unknownRetry) {
        this->lastUnknownTry = now;
        // Alone, this instance needs all that it can get; else a digest shows who needs a repair.
        const bool isAlone = out.empty();
        pick(this->candidates(true), isAlone ? GossipPurpose::Repair : GossipPurpose::Exchange);
    }
    return out;
}

void Gossip::take(const GossipMessage &message)
{
    this->lastHeard = this->clock.now();
    this->probesFailed.erase(message.from);
    const int maxSends = this->maxSends(); // Counts all members: once a message, not once a rumor.
    for (const Rumor &rumor : message.rumors) {
        this->takeRumor(rumor, message, maxSends);
    }
}

void Gossip::takeRumor(const Rumor &rumor, const GossipMessage &message, int maxSends)
{
    if (rumor.id == RumorId{RumorKind::Member, this->me.name}) {
        if (rumor.version > this->myVersion) {
            // A suspicion, or the word of an earlier process of this name: speak above it.
            this->myVersion = (rumor.version | 1) + 1;
            this->tellSelf();
        }
        return;
    }
    if (message.purpose == GossipPurpose::Repair && isToldAtStart(rumor.id.kind)) {
        if (this->clock.now() - this->startedAt < this->options.startTime) {
            this->rumors.adopt(rumor);
        }
        return;
    }
    this->rumors.merge(rumor);
    this->rumors.onHeard(rumor, message.from, maxSends);
}

GossipMessage Gossip::onMessage(const GossipMessage &message)
{
    this->take(message);
    GossipMessage reply;
    reply.from = this->me.name;
    reply.purpose = message.purpose;
    reply.rumors = message.purpose == GossipPurpose::Repair
        ? this->rumors.repaired()
        : this->rumors.takeForSending(message.from, this->options.messageBytes, this->maxSends());
    reply.digest = this->rumors.digest();
    return reply;
}

void Gossip::onReply(const Outgoing &request, const GossipMessage &reply)
{
    if (request.message.purpose == GossipPurpose::Probe) {
        const Rumor *target = this->rumors.find({RumorKind::Member, request.message.target});
        if (reply.reached || !target) {
            this->probesFailed.erase(request.message.target);
            return;
        }
        const int failed = ++this->probesFailed[request.message.target];
        if (failed > this->options.indirectProbes) {
            this->rumors.merge(suspicionOf(*target));
        }
        return;
    }
    this->take(reply);
    const TimePoint now = this->clock.now();
    const bool differs = reply.digest != this->rumors.digest();
    const bool repaired = request.message.purpose == GossipPurpose::Repair;
    if (differs && !repaired && now - this->lastRepair >= this->options.repairInterval) {
        this->lastRepair = now;
        this->repairWith = request.peer;
    }
}

std::vector<Outgoing> Gossip::onFailure(const Outgoing &request)
{
    if (request.message.purpose == GossipPurpose::Probe) {
        return {};
    }
    if (request.message.purpose == GossipPurpose::Repair) {
        this->lastRepair = this->clock.now() - this->options.repairInterval;
    }
    const Rumor *target = this->rumors.find({RumorKind::Member, request.peer});
    if (!target || target->version % 2 == 1) {
        return {};
    }
    std::vector<std::string> helpers = this->candidates(false);
    std::erase(helpers, request.peer);
    std::shuffle(helpers.begin(), helpers.end(), this->random);
    helpers.resize(
        std::min(helpers.size(), static_cast<std::size_t>(this->options.indirectProbes)));
    // The failed direct try counts as one; with fewer helpers, fewer denials are needed.
    const int missing = this->options.indirectProbes - static_cast<int>(helpers.size());
    this->probesFailed[request.peer] = 1 + missing;
    if (helpers.empty()) {
        // Only with two members: else it is likelier that this instance is the one cut off.
        constexpr int kPair = 2;
        if (this->reachableMembers() == kPair) {
            this->rumors.merge(suspicionOf(*target));
        }
        return {};
    }
    std::vector<Outgoing> probes;
    for (const std::string &helper : helpers) {
        const std::optional<Member> known = this->member(helper);
        if (known) {
            GossipMessage message;
            message.from = this->me.name;
            message.purpose = GossipPurpose::Probe;
            message.target = request.peer;
            probes.push_back({helper, known->peers, message});
        }
    }
    return probes;
}

} // namespace basilnotch
