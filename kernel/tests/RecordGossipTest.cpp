// Tests how an instance fetches records whose rumors carry no value, from peers on real sockets.
#include "site/RecordGossip.h"

#include <InFiber.h>
#include <PortBlock.h>

#include <runtime/FiberRuntime.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <vector>

using namespace basilnotch;
using namespace basilnotch::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kFirstPort = 21400;
constexpr int kRecords = 5;
constexpr RecordVersion kVersion = 7;
/// What a large site leaves of the time that a change may take.
constexpr Duration kFetchLimit = milliseconds(1500);
constexpr Duration kCallsEnd = seconds(2); ///< Far above the timeout of a call.

class NoLog final : public LogOutput
{
public:
    bool write(std::string_view /*line*/) override { return true; }
};

Settings settingsOf(const std::string &name, const Endpoint &peers)
{
    Settings settings;
    settings.name = name;
    settings.peerListen = peers;
    settings.peerAddress = peers;
    return settings;
}

Member member(const std::string &name, const Endpoint &peers)
{
    return {name, name + "-1", peers, peers, "d", MemberState::Alive};
}

struct Instance
{
    Instance(FiberRuntime &runtime, const std::string &name, const Endpoint &listen)
        : settings(settingsOf(name, listen))
        , gossip(member(name, listen), 2, {}, this->clock, 1)
        , peers(runtime, this->settings, this->gossip, this->metrics)
        , records(
              runtime, this->gossip, this->peers, this->replica,
              [this](const Record &record) { return this->replica.merge(record); }, this->clock,
              this->log, this->metrics)
    {
        REQUIRE(this->peers.start().ok());
    }

    SystemClock clock;
    NoLog output;
    EventLog log{this->output, this->clock, "i"};
    Metrics metrics;
    const Settings settings;
    Replica replica;
    Gossip gossip;
    PeerMessenger peers;
    RecordGossip records;
};

RecordKey keyOf(int number)
{
    return {"op", absl::StrCat("config", number)};
}

/// Lets an instance hear from `teller` of records that one other has, the rest being away; true
/// when it has them all in time.
bool learnsInTime(FiberRuntime &runtime, int awayMembers, const std::string &teller)
{
    const PortBlock ports(2 + awayMembers, kFirstPort);
    const auto at = [&](int index) { return Endpoint{"127.0.0.1", ports.at(index)}; };
    Instance asking(runtime, "asking", at(0));
    Instance other(runtime, "other", at(1));
    asking.gossip.tell(memberRumor(other.gossip.self(), 2));
    for (int number = 0; number < awayMembers; ++number) {
        asking.gossip.tell(memberRumor(member(absl::StrCat("away", number), at(2 + number)), 2));
    }
    const std::string value(20'000, 'x');
    GossipMessage news;
    news.from = teller;
    for (int number = 0; number < kRecords; ++number) {
        const Record record{keyOf(number), value, kVersion, false};
        other.replica.merge(record);
        other.records.announce(record);
    }
    other.gossip.store().forEach(RumorKind::Record,
                                 [&](const Rumor &rumor) { news.rumors.push_back(rumor); });
    (void)asking.gossip.onMessage(news);
    asking.records.processRumors();
    runtime.sleepFor(kFetchLimit);
    bool hasAll = true;
    for (int number = 0; number < kRecords; ++number) {
        const Record *record = asking.replica.find(keyOf(number));
        hasAll = hasAll && record && record->value == value && record->version == kVersion;
    }
    runtime.sleepFor(kCallsEnd); // The fibers of the calls must end before the instances do.
    return hasAll;
}

} // namespace

// Guards against a large change that is late because most members are away and are asked one after
// the other.
TEST_CASE("a record is fetched in time while most members are away")
{
    inFiber([](FiberRuntime &runtime) { CHECK(learnsInTime(runtime, 11, "away0")); });
}

// Guards against a fetch that finds nothing because the members drawn do not include the one that
// told of the record.
TEST_CASE("a record is fetched from the member that told of it")
{
    inFiber([](FiberRuntime &runtime) { CHECK(learnsInTime(runtime, 60, "other")); });
}
