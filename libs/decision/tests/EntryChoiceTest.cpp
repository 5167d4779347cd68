// Tests of the selection of instances for callers, on fleets of different sizes.
#include <decision/EntryChoice.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace basilnotch;

namespace {

/// Six failure domains with three high-capacity and thirteen low-capacity instances each.
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

std::set<std::size_t> selectEntries(const std::vector<EntryCandidate> &fleet,
                                    std::string_view domain, std::uint64_t seed = 1)
{
    std::mt19937_64 random(seed);
    const std::vector<std::size_t> selected = chooseEntries(fleet, domain, random);
    const std::set<std::size_t> distinct(selected.begin(), selected.end());
    CHECK(distinct.size() == selected.size());
    return distinct;
}

} // namespace

TEST_CASE("in a small fleet callers get every instance")
{
    const std::vector<EntryCandidate> fleet(9, {"a", 250});
    CHECK(selectEntries(fleet, "a").size() == 9);
    CHECK(selectEntries(fleet, "elsewhere").size() == 9);
}

TEST_CASE(
    "in a large fleet callers get the high-capacity instances of their domain and a few others")
{
    const std::vector<EntryCandidate> fleet = largeFleet();
    std::size_t local = 0;
    std::size_t all = 0;
    for (const std::size_t index : selectEntries(fleet, "c")) {
        CHECK(fleet[index].capacity == 500);
        local += fleet[index].failureDomain == "c" ? 1 : 0;
        ++all;
    }
    CHECK(local == 3);
    CHECK(all == 4);
}

TEST_CASE("a burst of all domains spreads evenly over the high-capacity instances")
{
    const std::vector<EntryCandidate> fleet = largeFleet();
    std::map<std::size_t, int> load;
    std::mt19937_64 random(3);
    for (const std::string_view domain : {"a", "b", "c", "d", "e", "f"}) {
        for (int caller = 0; caller < 2000; ++caller) {
            const std::vector<std::size_t> selected = chooseEntries(fleet, domain, random);
            ++load[selected[random() % selected.size()]];
        }
    }
    REQUIRE(load.size() == 18);
    constexpr double kMean = 12'000.0 / 18;
    for (const auto &[index, count] : load) {
        CHECK(count < 1.15 * kMean);
    }
}

TEST_CASE("when the high-capacity instances of a domain are lost, its others take over")
{
    std::vector<EntryCandidate> fleet = largeFleet();
    std::erase_if(fleet, [](const EntryCandidate &entry) {
        return entry.failureDomain == "c" && entry.capacity == 500;
    });
    const auto selected = selectEntries(fleet, "c");
    const auto local = std::count_if(selected.begin(), selected.end(), [&](std::size_t index) {
        return fleet[index].failureDomain == "c";
    });
    CHECK(local == 3);
}

TEST_CASE("when most high-capacity instances are lost everywhere, the others share the traffic")
{
    std::vector<EntryCandidate> fleet = largeFleet();
    int kept = 0;
    std::erase_if(fleet,
                  [&](const EntryCandidate &entry) { return entry.capacity == 500 && ++kept > 2; });
    CHECK(selectEntries(fleet, "d").size() >= 13);
}

TEST_CASE("a caller whose failure domain has no instance gets the others")
{
    std::vector<EntryCandidate> fleet = largeFleet();
    std::erase_if(fleet, [](const EntryCandidate &entry) { return entry.failureDomain == "c"; });
    CHECK(selectEntries(fleet, "c").size() == 64);
    CHECK(selectEntries({}, "c").empty());
}

TEST_CASE("instances that do not announce a capacity count as equals")
{
    std::vector<EntryCandidate> fleet = largeFleet();
    for (EntryCandidate &entry : fleet) {
        entry.capacity = 0;
    }
    CHECK(selectEntries(fleet, "a").size() >= 16);
}
