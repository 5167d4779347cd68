// Which instances callers are told to use, on fleets of different sizes.
#include <decision/EntryChoice.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace basilnotch;

namespace {

/// A fleet of six failure domains with three strong and thirteen weak instances each.
std::vector<EntryCandidate> largeFleet()
{
    static constexpr std::string_view kDomains[] = {"a", "b", "c", "d", "e", "f"};
    std::vector<EntryCandidate> fleet;
    for (const std::string_view domain : kDomains) {
        fleet.insert(fleet.end(), 3, {domain, 500});
        fleet.insert(fleet.end(), 13, {domain, 120});
    }
    return fleet;
}

std::set<std::size_t> chosen(const std::vector<EntryCandidate> &fleet, std::string_view domain,
                             std::uint64_t seed = 1)
{
    std::mt19937_64 random(seed);
    const std::vector<std::size_t> named = chooseEntries(fleet, domain, random);
    const std::set<std::size_t> distinct(named.begin(), named.end());
    CHECK(distinct.size() == named.size());
    return distinct;
}

} // namespace

TEST_CASE("on a small site callers get every instance")
{
    const std::vector<EntryCandidate> fleet(9, {"a", 250});
    CHECK(chosen(fleet, "a").size() == 9);
    CHECK(chosen(fleet, "elsewhere").size() == 9);
}

TEST_CASE("on a large one they get the strong ones near them and a few elsewhere")
{
    const std::vector<EntryCandidate> fleet = largeFleet();
    std::size_t near = 0;
    std::size_t all = 0;
    for (const std::size_t index : chosen(fleet, "c")) {
        CHECK(fleet[index].capacity == 500);
        near += fleet[index].failureDomain == "c" ? 1 : 0;
        ++all;
    }
    CHECK(near == 3);
    CHECK(all == 4);
}

TEST_CASE("a burst: the traffic of all domains spreads evenly over the strong ones")
{
    const std::vector<EntryCandidate> fleet = largeFleet();
    std::map<std::size_t, int> load;
    std::mt19937_64 random(3);
    for (const std::string_view domain : {"a", "b", "c", "d", "e", "f"}) {
        for (int caller = 0; caller < 2000; ++caller) {
            const std::vector<std::size_t> named = chooseEntries(fleet, domain, random);
            ++load[named[random() % named.size()]];
        }
    }
    REQUIRE(load.size() == 18);
    constexpr double kMean = 12'000.0 / 18;
    for (const auto &[index, count] : load) {
        CHECK(count < 1.15 * kMean);
    }
}

TEST_CASE("when the strong ones of a domain are lost, its weak ones take over")
{
    std::vector<EntryCandidate> fleet = largeFleet();
    std::erase_if(fleet, [](const EntryCandidate &entry) {
        return entry.failureDomain == "c" && entry.capacity == 500;
    });
    const auto named = chosen(fleet, "c");
    const auto near = std::count_if(named.begin(), named.end(), [&](std::size_t index) {
        return fleet[index].failureDomain == "c";
    });
    CHECK(near == 3);
}

TEST_CASE("when most strong ones are lost everywhere, the others share the work")
{
    std::vector<EntryCandidate> fleet = largeFleet();
    int kept = 0;
    std::erase_if(fleet,
                  [&](const EntryCandidate &entry) { return entry.capacity == 500 && ++kept > 2; });
    CHECK(chosen(fleet, "d").size() >= 13);
}

TEST_CASE("a caller whose failure domain has no instance gets the others")
{
    std::vector<EntryCandidate> fleet = largeFleet();
    std::erase_if(fleet, [](const EntryCandidate &entry) { return entry.failureDomain == "c"; });
    CHECK(chosen(fleet, "c").size() == 64);
    CHECK(chosen({}, "c").empty());
}

TEST_CASE("instances that do not say what they have count as equals")
{
    std::vector<EntryCandidate> fleet = largeFleet();
    for (EntryCandidate &entry : fleet) {
        entry.capacity = 0;
    }
    CHECK(chosen(fleet, "a").size() >= 16);
}
