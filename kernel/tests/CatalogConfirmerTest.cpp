// Tests how an instance finds out whether its catalog is the newest one, from a store in memory and
// from peers on real sockets.
#include "site/CatalogConfirmer.h"

#include <InFiber.h>
#include <PortBlock.h>

#include <runtime/FiberRuntime.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace basilnotch;
using namespace basilnotch::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kFirstPort = 21800;
constexpr Duration kCallsEnd = seconds(1); ///< Above the timeout of a call.

class NoLog final : public LogOutput
{
public:
    bool write(std::string_view /*line*/) override { return true; }
};

RecordKey catalogKey()
{
    return {"op", "config"};
}

/// The newest record, and whether it can be read.
struct FakeStore
{
    Record newest{catalogKey(), "first", 1, false};
    bool answers = true;
    int calls = 0;
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
    Instance(FiberRuntime &runtime, FakeStore &store, const std::string &name,
             const Endpoint &listen)
        : runtime(runtime)
        , store(store)
        , settings(settingsOf(name, listen))
        , gossip(member(name, listen), 2, {}, this->clock, 1)
        , peers(runtime, this->settings, this->gossip, this->metrics)
        , confirmer(runtime, this->gossip, this->peers, this->replica, this->options(), this->clock,
                    this->log, this->metrics)
    {
        this->replica.merge(store.newest);
        REQUIRE(this->peers.start().ok());
    }

    CatalogConfirmerOptions options()
    {
        CatalogConfirmerOptions options;
        options.record = [] { return std::optional(catalogKey()); };
        options.hasStore = [this] { return this->hasStore; };
        options.askStore = [this] { this->askStore(); };
        options.watchers = [this] { return this->watchers; };
        options.apply = [this](const Record &record) { this->replica.merge(record); };
        options.publish = [this] { this->published = this->version(); };
        return options;
    }
    void askStore()
    {
        const TimePoint beganAt = this->clock.now();
        ++this->store.calls;
        this->runtime.sleepFor(milliseconds(10));
        if (this->store.answers) {
            this->replica.merge(this->store.newest);
            this->confirmer.onConfirmed(beganAt);
        }
    }
    bool confirm() { return this->confirmer.confirm(this->clock.now() - seconds(1)); }
    RecordVersion version() const { return this->replica.find(catalogKey())->version; }

    FiberRuntime &runtime;
    FakeStore &store;
    bool hasStore = true;
    std::vector<std::string> watchers;
    RecordVersion published = 1;
    SystemClock clock;
    NoLog output;
    EventLog log{this->output, this->clock, "i"};
    Metrics metrics;
    const Settings settings;
    Replica replica;
    Gossip gossip;
    PeerMessenger peers;
    CatalogConfirmer confirmer;
};

/// An instance that watches the table, and one that relies on it.
struct Pair
{
    explicit Pair(FiberRuntime &runtime)
        : runtime(runtime)
        , ports(2, kFirstPort)
        , watching(runtime, this->store, "watching", {"127.0.0.1", this->ports.at(0)})
        , other(runtime, this->store, "other", {"127.0.0.1", this->ports.at(1)})
    {
        this->watching.watchers = {"watching"};
        this->other.gossip.tell(memberRumor(this->watching.gossip.self(), 2));
        this->other.watchers = {"watching"};
    }
    ~Pair() { this->runtime.sleepFor(kCallsEnd); } // The fibers of calls end first.
    Pair(const Pair &) = delete;
    Pair &operator=(const Pair &) = delete;

    FiberRuntime &runtime;
    const PortBlock ports;
    FakeStore store;
    Instance watching;
    Instance other;
};

} // namespace

// Guards against an instance that takes its catalog for the newest one because a peer, which is
// late as well, has nothing newer.
TEST_CASE("a peer confirms the catalog only after it has asked the store", "[confirm]")
{
    inFiber([](FiberRuntime &runtime) {
        Pair pair(runtime);
        pair.store.newest = {catalogKey(), "second", 2, false};
        CHECK(pair.other.confirm());
        CHECK(pair.other.version() == 2);
        CHECK(pair.watching.version() == 2);
        CHECK(pair.store.calls == 1);
    });
}

// Guards against a request that is rejected by an older catalog than the one that is confirmed: the
// newer one is known by gossip and not published yet.
TEST_CASE("a catalog is published before it counts as confirmed", "[confirm]")
{
    inFiber([](FiberRuntime &runtime) {
        Pair pair(runtime);
        pair.store.newest = {catalogKey(), "second", 2, false};
        pair.other.replica.merge(pair.store.newest);
        CHECK(pair.other.published == 1);
        CHECK(pair.other.confirm());
        CHECK(pair.other.published == 2);
    });
}

TEST_CASE("fibers that ask at the same time share one call, and its answer for a while",
          "[confirm]")
{
    inFiber([](FiberRuntime &runtime) {
        Pair pair(runtime);
        int confirmed = 0;
        for (int number = 0; number < 20; ++number) {
            runtime.spawn([&] { confirmed += pair.other.confirm() ? 1 : 0; });
        }
        runtime.sleepFor(milliseconds(400));
        CHECK(confirmed == 20);
        CHECK(pair.other.confirm());
        CHECK(pair.store.calls == 1);
    });
}

// Guards against an instance that is never sure because those it relies on are away.
TEST_CASE("an instance asks the store itself when its peers do not answer", "[confirm]")
{
    inFiber([](FiberRuntime &runtime) {
        Pair pair(runtime);
        pair.watching.hasStore = false;
        pair.store.newest = {catalogKey(), "second", 2, false};
        CHECK(pair.other.confirm());
        CHECK(pair.other.version() == 2);
    });
}

// Guards against callers that wait for an answer that nobody can give.
TEST_CASE("without a store and without peers the answer comes at once", "[confirm]")
{
    inFiber([](FiberRuntime &runtime) {
        Pair pair(runtime);
        pair.other.hasStore = false;
        pair.other.watchers.clear();
        const TimePoint beganAt = pair.other.clock.now();
        CHECK_FALSE(pair.other.confirm());
        CHECK(pair.other.clock.now() - beganAt < milliseconds(100));
    });
}

TEST_CASE("a store that does not answer confirms nothing", "[confirm]")
{
    inFiber([](FiberRuntime &runtime) {
        Pair pair(runtime);
        pair.store.answers = false;
        CHECK_FALSE(pair.other.confirm());
        CHECK_FALSE(pair.watching.confirm());
        pair.store.answers = true;
        runtime.sleepFor(milliseconds(400)); // No attempt is made right after a failed one.
        CHECK(pair.other.confirm());
    });
}
