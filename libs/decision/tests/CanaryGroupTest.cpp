// Tests the selection of canary upstreams and the load that each of them gets.
#include <decision/CanaryGroup.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace basilnotch;

namespace {

std::vector<UpstreamRef> upstreams(int count)
{
    std::vector<UpstreamRef> made;
    for (int number = 0; number < count; ++number) {
        auto upstream = std::make_shared<UpstreamRecord>();
        upstream->id = "new" + std::to_string(number);
        made.push_back(std::move(upstream));
    }
    return made;
}

std::set<std::string> selectedIds(int of, std::size_t count, std::uint64_t seed)
{
    std::vector<UpstreamRef> list = upstreams(of);
    selectCanaries(&list, count, seed);
    std::set<std::string> ids;
    for (const UpstreamRef &upstream : list) {
        ids.insert(upstream->id);
    }
    return ids;
}

} // namespace

TEST_CASE("each canary has at least the load of an old upstream, so that failures under load show")
{
    for (const std::size_t oldUpstreams : {9, 80, 600}) {
        for (const double share : {0.04, 0.1, 0.4, 0.9}) {
            const std::size_t count = canaryCount(oldUpstreams, oldUpstreams, share);
            const double canaryLoad = share / static_cast<double>(count);
            const double oldLoad = (1 - share) / static_cast<double>(oldUpstreams);
            const bool needsOnlyOne = share * static_cast<double>(oldUpstreams) <= 1;
            CHECK((needsOnlyOne ? count == 1 : canaryLoad >= oldLoad));
            CHECK(canaryLoad <= 2 / static_cast<double>(oldUpstreams) + 1e-9);
        }
    }
}

TEST_CASE("there are never more canaries than new upstreams, and one if there is any")
{
    CHECK(canaryCount(0, 9, 0.5) == 0);
    CHECK(canaryCount(3, 80, 0.5) == 3);
    CHECK(canaryCount(80, 0, 0.01) == 1);
}

TEST_CASE("a growing count adds canaries and removes none, identically on all instances")
{
    std::set<std::string> before;
    for (std::size_t count = 1; count <= 40; ++count) {
        const std::set<std::string> now = selectedIds(40, count, 77);
        CHECK(now.size() == count);
        CHECK(std::includes(now.begin(), now.end(), before.begin(), before.end()));
        before = now;
    }
    CHECK(selectedIds(40, 5, 77) == selectedIds(40, 5, 77));
    CHECK(selectedIds(40, 5, 77) != selectedIds(40, 5, 78));
}
