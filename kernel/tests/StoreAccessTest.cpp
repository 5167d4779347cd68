// Tests what instances believe of each other's access to the platform's store.
#include "site/StoreAccess.h"

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::milliseconds;

namespace {

Member member(const std::string &name)
{
    const Endpoint endpoint{"127.0.0.1", static_cast<std::uint16_t>(name == "one" ? 1001 : 1002)};
    return {name, name + "-1", endpoint, endpoint, "d", MemberState::Alive};
}

Gossip start(const std::string &name, const Clock &clock)
{
    return {member(name), 2, GossipOptions{}, clock, 1};
}

/// Everything that `from` knows, in a repair.
void repair(Gossip &from, Gossip &to)
{
    GossipMessage message;
    message.from = from.self().name;
    message.purpose = GossipPurpose::Repair;
    message.rumors = from.store().repaired();
    (void)to.onMessage(message);
}

} // namespace

// Guards against an instance that watches nothing for the others after its restart, because they
// hold what its earlier process said of the store.
TEST_CASE("a restarted instance corrects what its earlier process said of the store", "[store]")
{
    ManualClock clock;
    Gossip other = start("two", clock);
    Gossip earlier = start("one", clock);
    tellStoreAccess(earlier, false);
    repair(earlier, other);
    REQUIRE(instancesWithStoreAccess(other) == std::vector<std::string>{"two"});

    Gossip later = start("one", clock);
    tellStoreAccess(later, true); // Before it hears of its earlier process.
    repair(other, later);
    tellStoreAccess(later, true);
    repair(later, other);
    CHECK(instancesWithStoreAccess(other) == std::vector<std::string>{"one", "two"});
}
