// The product's Gossip class at up to 380 members: real messages through the real codec, carried by
// a loop instead of sockets.
#include "Scales.h"

#include <membership/Gossip.h>

#include "control/PeerPayloads.h"

#include <algorithm>
#include <memory>

namespace basilnotch::capacity {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(500);
constexpr int kWarmUpRounds = 80;
constexpr int kMeasuredRounds = 40;

struct World
{
    explicit World(int members)
    {
        GossipOptions options;
        options.messageBytes = 1000;
        for (int number = 0; number < members; ++number) {
            const std::string name = "e" + std::to_string(number);
            const Endpoint endpoint{"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
            const Member self{name,
                              name + "-5f3a9c1d",
                              endpoint,
                              endpoint,
                              "domain-" + std::to_string(number % 8),
                              MemberState::Alive};
            this->nodes.push_back(std::make_unique<Gossip>(self, 2, options, this->clock,
                                                           static_cast<std::uint64_t>(number) + 1));
        }
        for (auto &node : this->nodes) {
            for (int seed = 0; seed < std::min(members, 8); ++seed) {
                node->addSeed("e" + std::to_string(seed),
                              {"10.0.0.1", static_cast<std::uint16_t>(1000 + seed)});
            }
        }
    }

    Gossip &node(const std::string &name)
    {
        return *this->nodes[static_cast<std::size_t>(std::stoi(name.substr(1)))];
    }

    void round()
    {
        this->clock.advance(kInterval);
        for (auto &node : this->nodes) {
            for (const Outgoing &outgoing : node->round()) {
                const std::string sent = encodeMessage(outgoing.message);
                const auto received = decodeMessage(sent);
                const std::string back =
                    encodeMessage(this->node(outgoing.peer).onMessage(*received));
                const auto reply = decodeMessage(back);
                node->onReply(outgoing, *reply);
                this->bytes += 2.0
                    * static_cast<double>(sent.size() + back.size()); // Each is sent and received.
            }
        }
    }

    ManualClock clock;
    std::vector<std::unique_ptr<Gossip>> nodes;
    double bytes = 0;
};

SpreadTimes spreadTimes(World &world)
{
    const int members = static_cast<int>(world.nodes.size());
    std::vector<double> times;
    for (std::uint64_t version = 1; version <= 12; ++version) {
        world.nodes[version * 7 % world.nodes.size()]->tell(
            {{RumorKind::Rules, "head"}, version, "d"});
        std::vector<bool> has(world.nodes.size(), false);
        for (int round = 0; round < 60 && std::count(has.begin(), has.end(), true) < members;
             ++round) {
            world.round();
            for (std::size_t number = 0; number < world.nodes.size(); ++number) {
                const Rumor *head = world.nodes[number]->store().find({RumorKind::Rules, "head"});
                if (!has[number] && head && head->version == version) {
                    has[number] = true;
                    times.push_back((round + 1) * toSeconds(kInterval));
                }
            }
        }
    }
    std::sort(times.begin(), times.end());
    const auto at = [&](double share) {
        return times[std::min(times.size() - 1,
                              static_cast<std::size_t>(share * static_cast<double>(times.size())))];
    };
    return {members, at(0.5), at(0.99), times.back()};
}

} // namespace

GossipFigures measureGossip()
{
    GossipFigures figures;
    figures.bytes = {"gossip of membership and rules, bytes of a node", "bytes/s", "members", {}};
    figures.processor = {
        "gossip of membership and rules, processor of a node", "us/s", "members", {}};
    figures.memory = {"gossip state of a node", "kB", "members", {}};
    for (const int members : {48, 95, 190, 380}) {
        const double before = residentBytes();
        World world(members);
        for (int round = 0; round < kWarmUpRounds; ++round) {
            world.round();
        }
        figures.memory.points.push_back({static_cast<double>(members),
                                         std::max(0.0, residentBytes() - before) / members / 1000});
        figures.spread.push_back(spreadTimes(world));
        // A day has 65 replacements, 5 failures and 1,300 changes: one event a minute, here one in
        // the window.
        world.bytes = 0;
        world.nodes[1]->tell({{RumorKind::Rules, "head"}, 100, "d"});
        const double seconds = kMeasuredRounds * toSeconds(kInterval);
        const double spent = processorSeconds([&] {
            for (int round = 0; round < kMeasuredRounds; ++round) {
                world.round();
            }
        });
        figures.bytes.points.push_back(
            {static_cast<double>(members), world.bytes / members / seconds});
        figures.processor.points.push_back(
            {static_cast<double>(members), spent / members / seconds * 1e6});
    }
    return figures;
}

Measurement measureUpstreamDigests()
{
    Measurement measurement{
        "gossip of load digests at 95 members, bytes of a node, each digest once in 5 s",
        "bytes/s",
        "upstreams",
        {}};
    for (const int upstreams : {75, 150, 300, 600}) {
        World world(95);
        for (int round = 0; round < kWarmUpRounds; ++round) {
            world.round();
        }
        LoadReport report;
        report.running = 30;
        report.loaded = {{"planner-small", "v3"}, {"planner-small", "v4"}};
        std::uint64_t version = 1;
        const auto tellAll = [&](int part) {
            for (int upstream = part; upstream < upstreams; upstream += 10) {
                world.nodes[static_cast<std::size_t>(upstream) % world.nodes.size()]->tell(
                    {{RumorKind::UpstreamLoad, "u" + std::to_string(upstream)},
                     version,
                     encodeLoad(report, Duration::zero())});
            }
        };
        for (int round = 0; round < 20; ++round) {
            tellAll(round % 10);
            version += round % 10 == 9 ? 1 : 0;
            world.round();
        }
        world.bytes = 0;
        for (int round = 0; round < kMeasuredRounds; ++round) {
            tellAll(round % 10);
            version += round % 10 == 9 ? 1 : 0;
            world.round();
        }
        measurement.points.push_back({static_cast<double>(upstreams),
                                      world.bytes / 95 / (kMeasuredRounds * toSeconds(kInterval))});
    }
    return measurement;
}

} // namespace basilnotch::capacity
