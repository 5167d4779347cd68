// Rumors merge in any order; silence makes a member unknown and nothing more.
#include <membership/Gossip.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>

using namespace basilnotch;

namespace {

Rumor arbitraryRumor()
{
    const auto kind = static_cast<RumorKind>(*rc::gen::inRange(0, kRumorKinds));
    return {{kind, "n" + std::to_string(*rc::gen::inRange(0, 4))},
            *rc::gen::inRange<std::uint64_t>(0, 6),
            std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)))};
}

std::vector<Rumor> contents(const RumorStore &store)
{
    std::vector<Rumor> all;
    for (int kind = 0; kind < kRumorKinds; ++kind) {
        store.forEach(static_cast<RumorKind>(kind),
                      [&](const Rumor &rumor) { all.push_back(rumor); });
    }
    return all;
}

/// Instances that talk through memory; pairs can be cut.
struct Net
{
    /// `seedsByAddress`: seeds are named by their addresses, as settings name them.
    explicit Net(int count, bool seedsByAddress = false)
    {
        for (int number = 0; number < count; ++number) {
            const std::string name = "e" + std::to_string(number);
            const Endpoint endpoint{"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
            const Member self{name,
                              name + "-1",
                              endpoint,
                              endpoint,
                              "d" + std::to_string(number % 3),
                              MemberState::Alive};
            this->nodes.push_back(std::make_unique<Gossip>(self, 2, GossipOptions{}, this->clock,
                                                           static_cast<std::uint64_t>(number) + 1));
        }
        for (auto &node : this->nodes) {
            for (const int seed : {0, 1}) {
                const Endpoint endpoint{"127.0.0.1", static_cast<std::uint16_t>(1000 + seed)};
                const bool isSelf = endpoint == node->self().peers;
                if (!isSelf) {
                    node->addSeed(seedsByAddress ? endpoint.text() : "e" + std::to_string(seed),
                                  endpoint);
                }
            }
        }
    }

    /// Starts an instance anew; it knows its seeds.
    void restart(int number)
    {
        auto &node = this->nodes[static_cast<std::size_t>(number)];
        Member self = node->self();
        self.incarnation += "-again";
        const auto seed = static_cast<std::uint64_t>(number) + 100;
        node = std::make_unique<Gossip>(self, 2, GossipOptions{}, this->clock, seed);
        node->addSeed("e0", this->nodes[0]->self().peers);
        node->addSeed("e1", this->nodes[1]->self().peers);
    }

    bool reaches(const std::string &from, const std::string &to) const
    {
        return !this->down.contains(from) && !this->down.contains(to);
    }

    Gossip &node(const std::string &name)
    {
        return *this->nodes[static_cast<std::size_t>(std::stoi(name.substr(1)))];
    }

    /// Draws whether a message between two instances is lost.
    bool isLost(const std::string &from, const std::string &to)
    {
        const bool isUnreliable = this->unreliable.contains(from) || this->unreliable.contains(to);
        return std::bernoulli_distribution(isUnreliable ? this->lossOfUnreliable
                                                        : this->loss)(this->random);
    }

    void fail(Gossip &from, const Outgoing &outgoing)
    {
        for (const Outgoing &probe : from.onFailure(outgoing)) {
            this->deliver(from, probe);
        }
    }

    void deliver(Gossip &from, const Outgoing &outgoing)
    {
        const std::string text = encodeMessage(outgoing.message);
        this->bytes += text.size();
        const auto decoded = decodeMessage(text);
        REQUIRE(decoded.ok());
        const std::string peer = "e" + std::to_string(outgoing.endpoint.port - 1000);
        if (!this->reaches(from.self().name, peer) || this->isLost(from.self().name, peer)) {
            this->fail(from, outgoing);
            return;
        }
        if (outgoing.message.purpose == GossipPurpose::Probe) {
            GossipMessage reply;
            reply.from = outgoing.peer;
            reply.reached = this->reaches(outgoing.peer, outgoing.message.target);
            from.onReply(outgoing, reply);
            return;
        }
        const GossipMessage reply = this->node(peer).onMessage(*decoded);
        this->bytes += encodeMessage(reply).size();
        if (this->isLost(peer, from.self().name)) {
            this->fail(from, outgoing);
            return;
        }
        from.onReply(outgoing, reply);
    }

    /// Bytes that an instance sends in a second, over `count` rounds from now.
    double bytesEach(int count)
    {
        const std::size_t before = this->bytes;
        this->rounds(count);
        const double passed = count * kRound.count() / 1000.0;
        return static_cast<double>(this->bytes - before)
            / (passed * static_cast<double>(this->nodes.size()));
    }

    /// True when every instance knows the rumor.
    bool allKnow(const RumorId &id) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(),
                           [&](const auto &node) { return node->store().find(id) != nullptr; });
    }

    void rounds(int count)
    {
        for (int round = 0; round < count; ++round) {
            this->clock.advance(kRound);
            for (auto &node : this->nodes) {
                for (const Outgoing &outgoing : node->round()) {
                    this->deliver(*node, outgoing);
                }
            }
        }
    }

    static constexpr std::chrono::milliseconds kRound{200};
    ManualClock clock;
    std::vector<std::unique_ptr<Gossip>> nodes;
    std::set<std::string> down;
    std::set<std::string> unreliable; ///< Lose more of their messages than the others.
    double loss = 0;                  ///< Share of messages.
    double lossOfUnreliable = 0;
    std::mt19937 random{1};
    std::size_t bytes = 0; ///< Of all messages and replies.
};

} // namespace

TEST_CASE("merge is commutative, associative and idempotent")
{
    rc::prop("any order and repetition gives the same store", [] {
        const auto rumors = *rc::gen::container<std::vector<Rumor>>(rc::gen::exec(arbitraryRumor));
        RumorStore forward;
        RumorStore backward;
        for (const Rumor &rumor : rumors) {
            forward.merge(rumor);
        }
        for (auto rumor = rumors.rbegin(); rumor != rumors.rend(); ++rumor) {
            backward.merge(*rumor);
            backward.merge(*rumor);
        }
        RC_ASSERT(contents(forward) == contents(backward));
        RC_ASSERT(forward.digest() == backward.digest());
        for (const Rumor &rumor : rumors) {
            RC_ASSERT(!forward.merge(rumor));
        }
    });
}

TEST_CASE("messages survive the codec, and damaged ones are refused")
{
    rc::prop("round trip", [] {
        GossipMessage message;
        message.from = "e1";
        message.digest = *rc::gen::arbitrary<std::uint64_t>();
        message.rumors = *rc::gen::container<std::vector<Rumor>>(rc::gen::exec(arbitraryRumor));
        const auto back = decodeMessage(encodeMessage(message));
        RC_ASSERT(back.ok());
        RC_ASSERT(back->rumors == message.rumors);
        RC_ASSERT(back->digest == message.digest);
    });
    rc::prop("arbitrary bytes", [](const std::string &bytes) { (void)decodeMessage(bytes); });
}

TEST_CASE("nine instances find each other and spread a rules version within two seconds")
{
    Net net(9);
    net.rounds(25);
    for (const auto &node : net.nodes) {
        CHECK(node->reachableMembers() == 9);
    }
    net.nodes[3]->tell({{RumorKind::Rules, "head"}, 5, "x"});
    net.rounds(10);
    for (const auto &node : net.nodes) {
        const Rumor *head = node->store().find({RumorKind::Rules, "head"});
        REQUIRE(head);
        CHECK(head->version == 5);
    }
}

TEST_CASE("a silent member becomes unknown and refutes it when it comes back")
{
    Net net(5);
    net.rounds(25);
    net.down.insert("e4");
    net.rounds(50);
    CHECK(net.nodes[0]->member("e4")->state == MemberState::Unknown);
    CHECK(net.nodes[0]->reachableMembers() == 4);
    net.down.clear();
    net.rounds(50);
    for (const auto &node : net.nodes) {
        CHECK(node->reachableMembers() == 5);
    }
}

TEST_CASE("an instance that is cut off does not suspect all others")
{
    Net net(5);
    net.rounds(25);
    net.down.insert("e4");
    net.rounds(50);
    CHECK(net.nodes[4]->reachableMembers() == 5);
    CHECK(net.nodes[4]->sinceHeard() >= std::chrono::seconds(9));
}

TEST_CASE("what a cut instance missed is repaired on its return")
{
    Net net(6);
    net.rounds(25);
    net.down.insert("e5");
    net.nodes[0]->tell({{RumorKind::Hold, "small/v1/v2"}, 1, "errors"});
    net.rounds(100);
    CHECK_FALSE(net.nodes[5]->store().find({RumorKind::Hold, "small/v1/v2"}));
    net.down.clear();
    net.rounds(25);
    CHECK(net.nodes[5]->store().find({RumorKind::Hold, "small/v1/v2"}));
}

// Guards against requests that crash their upstreams and get through again at each instance that
// has been restarted: crashes are told a few times and not repaired.
TEST_CASE("an instance that starts learns which requests have crashed upstreams")
{
    Net net(6);
    net.rounds(25);
    const RumorId crash{RumorKind::Crash, "request-1"};
    net.nodes[0]->tell({crash, 1, ""});
    net.rounds(50);
    net.restart(5);
    net.rounds(10);
    CHECK(net.nodes[5]->store().find(crash));
}

TEST_CASE("a crash that the others have forgotten is not brought back by a start or a repair")
{
    Net net(6);
    net.rounds(25);
    const RumorId crash{RumorKind::Crash, "request-1"};
    net.nodes[0]->tell({crash, 1, ""});
    net.rounds(100);
    net.restart(5);
    net.rounds(10);
    for (int number = 0; number < 5; ++number) {
        net.nodes[static_cast<std::size_t>(number)]->store().forget(
            RumorKind::Crash, [](const Rumor &) { return true; });
    }
    net.nodes[1]->tell({{RumorKind::Hold, "small/v1/v2"}, 1, "errors"});
    net.down = {"e5"};
    net.rounds(50);
    net.down.clear(); // A repair follows.
    net.rounds(100);
    for (int number = 0; number < 5; ++number) {
        CHECK_FALSE(net.nodes[static_cast<std::size_t>(number)]->store().find(crash));
    }
}

TEST_CASE("a leaving member says so to all")
{
    Net net(4);
    net.rounds(25);
    net.nodes[2]->leave();
    net.rounds(10);
    CHECK(net.nodes[0]->member("e2")->state == MemberState::Leaving);
}

TEST_CASE("the store is bounded")
{
    RumorStore store;
    store.maxEntries = 2;
    CHECK(store.merge({{RumorKind::Usage, "a"}, 1, ""}));
    CHECK(store.merge({{RumorKind::Usage, "b"}, 1, ""}));
    CHECK_FALSE(store.merge({{RumorKind::Usage, "c"}, 1, ""}));
    CHECK(store.merge({{RumorKind::Usage, "a"}, 2, ""}));
    CHECK(store.refused() == 1);
}

TEST_CASE("a forgotten rumor is neither kept nor sent, and the others are")
{
    RumorStore store;
    store.merge({{RumorKind::Crash, "old"}, 1, ""});
    store.merge({{RumorKind::Crash, "new"}, 2, ""});
    store.merge({{RumorKind::Member, "one"}, 2, "x"});
    store.forget(RumorKind::Crash, [](const Rumor &rumor) { return rumor.version < 2; });
    CHECK(store.size() == 2);
    const std::vector<Rumor> sent = store.takeForSending("peer", 10'000, 3);
    CHECK(sent.size() == 2);
    for (const Rumor &rumor : sent) {
        CHECK(rumor.id.name != "old");
    }
    CHECK(store.merge({{RumorKind::Crash, "old"}, 1, ""})); // News again.
}

TEST_CASE("a large fleet in which nothing changes sends little more than its heartbeats")
{
    constexpr double kMostBytes = 18'000; // A second, for all control of an instance.
    for (const int instances : {95, 380}) {
        Net net(instances, true);
        for (int number = 0; number < 300; ++number) {
            net.nodes[0]->tell({{RumorKind::Record, "upstream" + std::to_string(number)},
                                1,
                                std::string(150, 'x')});
        }
        net.rounds(100);
        INFO(instances << " instances");
        CHECK(net.allKnow({RumorKind::Record, "upstream299"}));
        CHECK(net.bytesEach(50) < kMostBytes / 2); // The rest is for what does change.
    }
}

TEST_CASE("a hundred upstreams that register at once: all instances know soon, for few bytes")
{
    constexpr double kMostBytes = 18'000; // A second, for all control of an instance.
    Net net(95, true);
    net.rounds(50);
    for (int number = 0; number < 100; ++number) {
        net.nodes[static_cast<std::size_t>(number % 8)]->tell(
            {{RumorKind::Record, "upstream" + std::to_string(number)}, 1, std::string(150, 'x')});
    }
    const double each = net.bytesEach(50);
    INFO(each << " bytes a second");
    CHECK(each < kMostBytes);
    for (int number = 0; number < 100; ++number) {
        CHECK(net.allKnow({RumorKind::Record, "upstream" + std::to_string(number)}));
    }
}

TEST_CASE("each single change reaches every instance within two seconds, beside others")
{
    for (const int instances : {6, 9, 95}) {
        Net net(instances, true);
        net.rounds(60);
        int late = 0;
        constexpr int kChanges = 60;
        for (int change = 0; change < kChanges; ++change) {
            const RumorId id{RumorKind::Record, "change" + std::to_string(change)};
            net.nodes[static_cast<std::size_t>(change % instances)]->tell({id, 1, "x"});
            net.rounds(change % 3); // The next ones come while this one spreads.
            if (change % 10 == 9) {
                net.rounds(10);
                for (int back = 0; back < 10; ++back) {
                    const std::string name = "change" + std::to_string(change - back);
                    late += net.allKnow({RumorKind::Record, name}) ? 0 : 1;
                }
            }
        }
        INFO(instances << " instances");
        CHECK(late == 0);
    }
}

// An instance passes news on in a few rounds at once: they may all go to one peer. The start has
// used up the repair that would mend it.
TEST_CASE("three members that have just started all hear of a change within two seconds")
{
    constexpr int kNewsRounds = 3;
    constexpr int kRoundsUntilLate = 10;
    int late = 0;
    for (int trial = 0; trial < 100; ++trial) {
        Net net(3);
        net.rounds(4 + trial % 10);
        for (int change = 0; change < trial / 10; ++change) {
            net.node("e1").tell({{RumorKind::Crash, std::to_string(change)}, 1, "x"});
            net.rounds(1);
        }
        const RumorId id{RumorKind::Record, "change"};
        Gossip &first = net.node("e" + std::to_string(trial % 3));
        first.tell({id, 1, "x"});
        std::vector<Outgoing> underWay;
        for (int round = 0; round < kNewsRounds; ++round) {
            for (Outgoing &outgoing : first.round()) {
                underWay.push_back(std::move(outgoing));
            }
        }
        for (const Outgoing &outgoing : underWay) {
            net.deliver(first, outgoing);
        }
        net.rounds(kRoundsUntilLate);
        late += net.allKnow(id) ? 0 : 1;
    }
    CHECK(late == 0);
}

// Guards against a configuration that is late at some instances because the registrations of a new
// version, which came just before it, are passed on first (CONFIG; DRAIN for an upstream's
// leaving).
TEST_CASE("a change beside hundreds of others reaches every instance within two seconds")
{
    constexpr int kRoundsUntilLate = 10;
    constexpr int kRegistrations = 280;
    Net net(95, true);
    net.rounds(50);
    int late = 0;
    for (int trial = 0; trial < 5; ++trial) {
        for (int number = 0; number < kRegistrations; ++number) {
            const std::string name = "upstream" + std::to_string(number);
            net.nodes[static_cast<std::size_t>(number % 8)]->tell(
                {{RumorKind::Record, name},
                 static_cast<std::uint64_t>(trial) + 1,
                 std::string(250, 'x')});
        }
        net.rounds(2);
        const RumorId id{RumorKind::Record, "configuration" + std::to_string(trial)};
        net.nodes[static_cast<std::size_t>(trial)]->tell({id, 1, "f"});
        net.rounds(kRoundsUntilLate);
        late += net.allKnow(id) ? 0 : 1;
        net.rounds(50);
    }
    CHECK(late == 0);
}

// Guards against an instance that misses a change because its exchanges fail while the others still
// tell of it, and then learns of it only by a repair, which may be five seconds away (CONFIG).
TEST_CASE("instances whose exchanges often fail learn of each change of a refreshed record in time")
{
    constexpr int kInstances = 73;
    constexpr int kUnreliable = 6;
    constexpr int kRoundsUntilLate = 15; // Three seconds, as at a site of this size.
    constexpr int kRefreshRounds = 5;    // Once a second.
    constexpr int kChanges = 60;
    Net net(kInstances, true);
    net.rounds(60);
    net.loss = 0.1;
    net.lossOfUnreliable = 0.5;
    for (int number = 0; number < kUnreliable; ++number) {
        net.unreliable.insert("e" + std::to_string(10 + number));
    }
    const RumorId id{RumorKind::Record, "configuration"};
    int late = 0;
    for (int change = 1; change <= kChanges; ++change) {
        const auto version = static_cast<std::uint64_t>(change);
        net.nodes[static_cast<std::size_t>(change % 8)]->tell({id, version, "f"});
        for (int round = 0; round < kRoundsUntilLate; ++round) {
            if (round % kRefreshRounds == 0) {
                for (auto &node : net.nodes) {
                    node->refresh(id);
                }
            }
            // Other news, so that digests always differ.
            const std::string other = "other" + std::to_string(round);
            net.nodes[static_cast<std::size_t>(round)]->tell(
                {{RumorKind::Record, other}, version, "x"});
            net.rounds(1);
        }
        for (auto &node : net.nodes) {
            const Rumor *known = node->store().find(id);
            late += known && known->version == version ? 0 : 1;
        }
    }
    CHECK(late == 0);
}

// Guards against an instance that stays behind for five seconds because the message of its repair
// was lost.
TEST_CASE("a repair that has failed is started again with the next exchange")
{
    Net net(3);
    net.rounds(60);
    Gossip &behind = net.node("e2");
    net.down.insert("e2");
    net.node("e0").tell({{RumorKind::Hold, "small/v1/v2"}, 1, "errors"});
    net.rounds(60);
    net.down.clear();
    int repairs = 0;
    for (int round = 0; round < 10; ++round) {
        net.clock.advance(Net::kRound);
        for (const Outgoing &outgoing : behind.round()) {
            if (outgoing.message.purpose == GossipPurpose::Repair) {
                ++repairs;
                net.fail(behind, outgoing);
            } else {
                net.deliver(behind, outgoing);
            }
        }
    }
    CHECK(repairs > 1);
}
