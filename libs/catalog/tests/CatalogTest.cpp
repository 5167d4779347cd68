// Which route a request takes and whose key it carries.
#include <catalog/Catalog.h>

#include <catch2/catch.hpp>

using namespace basilnotch;

namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.targets = {{"orders", 1}};
    return route;
}

std::string matched(const Catalog &catalog, std::string_view host, std::string_view path)
{
    const Route *route = catalog.match(host, path);
    return route ? route->name : "none";
}

} // namespace

TEST_CASE("the longest prefix that begins the path selects the route")
{
    CatalogParts parts;
    parts.routes = {makeRoute("all", "api.example", "/"),
                    makeRoute("plans", "api.example", "/plans/"),
                    makeRoute("old plans", "api.example", "/plans/old/"),
                    makeRoute("other", "other.example", "/plans/")};
    const Catalog catalog(std::move(parts));
    CHECK(matched(catalog, "api.example", "/plans/old/7") == "old plans");
    CHECK(matched(catalog, "api.example", "/plans/older") == "plans");
    CHECK(matched(catalog, "api.example", "/plans") == "all");
    CHECK(matched(catalog, "API.example:8227", "/plans/7") == "plans");
    CHECK(matched(catalog, "other.example", "/stock/7") == "none");
    CHECK(matched(catalog, "unknown.example", "/plans/7") == "none");
    CHECK(matched(catalog, "api.example", "") == "none");
}

TEST_CASE("a key names its workspace, an unknown key nobody")
{
    CatalogParts parts;
    parts.workspaces = {{"recife", {"key-1", "key-2"}, 1}, {"natal", {"key-3"}, std::nullopt}};
    const Catalog catalog(std::move(parts));
    REQUIRE(catalog.workspaceOf("key-2") != nullptr);
    CHECK(catalog.workspaceOf("key-2")->name == "recife");
    CHECK(catalog.workspaceOf("key-4") == nullptr);
    CHECK(catalog.workspaceOf("") == nullptr);
}

TEST_CASE("a stream may run again only when it may be resumed")
{
    Route route = makeRoute("plans", "api.example", "/");
    route.kind = RouteKind::Streaming;
    CHECK_FALSE(route.mayRunAgain());
    route.canResume = true;
    CHECK(route.mayRunAgain());
    route.kind = RouteKind::NonIdempotent;
    CHECK_FALSE(route.mayRunAgain());
}
