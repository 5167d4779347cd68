// Rumors merge in any order; silence makes a member unknown and nothing more.
#include <membership/Gossip.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <memory>
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
    explicit Net(int count)
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
            node->addSeed("e0", {"127.0.0.1", 1000});
            node->addSeed("e1", {"127.0.0.1", 1001});
        }
    }

    bool reaches(const std::string &from, const std::string &to) const
    {
        return !this->down.contains(from) && !this->down.contains(to);
    }

    Gossip &node(const std::string &name)
    {
        return *this->nodes[static_cast<std::size_t>(std::stoi(name.substr(1)))];
    }

    void deliver(Gossip &from, const Outgoing &outgoing)
    {
        const auto decoded = decodeMessage(encodeMessage(outgoing.message));
        REQUIRE(decoded.ok());
        if (!this->reaches(from.self().name, outgoing.peer)) {
            for (const Outgoing &probe : from.onFailure(outgoing)) {
                this->deliver(from, probe);
            }
            return;
        }
        if (outgoing.message.purpose == GossipPurpose::Probe) {
            GossipMessage reply;
            reply.from = outgoing.peer;
            reply.reached = this->reaches(outgoing.peer, outgoing.message.target);
            from.onReply(outgoing, reply);
            return;
        }
        from.onReply(outgoing, this->node(outgoing.peer).onMessage(*decoded));
    }

    void rounds(int count)
    {
        for (int round = 0; round < count; ++round) {
            this->clock.advance(std::chrono::milliseconds(200));
            for (auto &node : this->nodes) {
                for (const Outgoing &outgoing : node->round()) {
                    this->deliver(*node, outgoing);
                }
            }
        }
    }

    ManualClock clock;
    std::vector<std::unique_ptr<Gossip>> nodes;
    std::set<std::string> down;
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
    const std::vector<Rumor> sent = store.takeForSending(10'000, 3);
    CHECK(sent.size() == 2);
    for (const Rumor &rumor : sent) {
        CHECK(rumor.id.name != "old");
    }
    CHECK(store.merge({{RumorKind::Crash, "old"}, 1, ""})); // News again.
}
