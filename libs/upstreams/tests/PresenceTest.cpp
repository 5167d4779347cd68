// Upstreams whose registrations lapse, leave and return.
#include <upstreams/Presence.h>

#include <catch2/catch.hpp>

using namespace basilnotch;
using std::chrono::milliseconds;

namespace {

UpstreamRecord record(const std::string &id, UpstreamState state = UpstreamState::Ready)
{
    UpstreamRecord made;
    made.id = id;
    made.service = "orders";
    made.state = state;
    return made;
}

} // namespace

TEST_CASE("an upstream that leaves in a quiet time is gone at once")
{
    ManualClock clock;
    Presence presence({}, clock);
    presence.onRegistered(record("one"));
    presence.onRemoved("one");
    CHECK(presence.list().empty());
}

TEST_CASE("a registration that lapsed with the store has two seconds to come back")
{
    ManualClock clock;
    Presence presence({}, clock);
    presence.onRegistered(record("back"));
    presence.onRegistered(record("gone"));
    presence.onStoreReturned();
    presence.onRemoved("back");
    presence.onRemoved("gone");
    CHECK(presence.list().size() == 2);
    clock.advance(milliseconds(1500));
    presence.onRegistered(record("back"));
    CHECK_FALSE(presence.expire());
    clock.advance(milliseconds(600));
    CHECK(presence.expire());
    REQUIRE(presence.list().size() == 1);
    CHECK(presence.list().front()->id == "back");
}

// Guards against requests to an upstream that has left for good right after this instance lost the
// store for a moment: its removal was taken for a lapse for two seconds and more.
TEST_CASE("a registration that is removed right after the store's return is dropped in time")
{
    ManualClock clock;
    PresenceOptions options;
    options.drain = milliseconds(2000);
    Presence presence(options, clock);
    presence.onRegistered(record("gone"));
    presence.onStoreReturned();
    clock.advance(milliseconds(100));
    presence.onRemoved("gone");
    // The rest of the two seconds is for the request that has been assigned to it last.
    clock.advance(milliseconds(1600));
    REQUIRE(presence.nextExpiry());
    CHECK(*presence.nextExpiry() <= clock.now());
    CHECK(presence.expire());
    CHECK(presence.list().empty());
    CHECK_FALSE(presence.nextExpiry());
}

TEST_CASE("an upstream that is dropped is not kept by an outage")
{
    ManualClock clock;
    Presence presence({}, clock);
    presence.onRegistered(record("one"));
    presence.onStoreReturned();
    presence.drop("one");
    CHECK(presence.list().empty());
}

TEST_CASE("an upstream that said it leaves is not kept by an outage")
{
    ManualClock clock;
    Presence presence({}, clock);
    presence.onRegistered(record("one", UpstreamState::Draining));
    presence.onStoreReturned();
    presence.onRemoved("one");
    CHECK(presence.list().empty());
}

TEST_CASE("a draining upstream is known but takes no new work")
{
    ManualClock clock;
    Presence presence({}, clock);
    presence.onRegistered(record("one", UpstreamState::Draining));
    presence.onRegistered(record("two"));
    const UpstreamList list(presence.list());
    REQUIRE(list.ready("orders").size() == 1);
    CHECK(list.ready("orders").front()->id == "two");
    CHECK(list.find("one") != nullptr);
    CHECK(list.ready("unknown").empty());
}

TEST_CASE("upstreams in a failure domain that is out of service are known but not ready")
{
    std::vector<UpstreamRef> upstreams;
    for (const auto &[id, domain] :
         std::map<std::string, std::string>{{"one", "a"}, {"two", "b"}, {"three", "b"}}) {
        UpstreamRecord made = record(id);
        made.failureDomain = domain;
        upstreams.push_back(std::make_shared<const UpstreamRecord>(std::move(made)));
    }
    const UpstreamList list(upstreams, {"b", "no such domain"});
    REQUIRE(list.ready("orders").size() == 1);
    CHECK(list.ready("orders").front()->id == "one");
    CHECK(list.isReady("one"));
    CHECK_FALSE(list.isReady("two"));
    CHECK_FALSE(list.isReady("nobody"));
    CHECK(list.find("two"));
    CHECK(list.hasOutOfService("orders"));
    CHECK(list.outOfServiceCount() == 2);
    CHECK(UpstreamList(upstreams, {"a", "b"}).ready("orders").empty());
    CHECK(UpstreamList(upstreams).ready("orders").size() == 3);
}
