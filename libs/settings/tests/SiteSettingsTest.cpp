// Site settings: what is needed, what is checked, and the template that the platform fills in.
#include <settings/SiteSettings.h>

#include <catch2/catch.hpp>

using namespace basilnotch;

namespace {

const std::string kComplete = R"({
  // rendered at every start
  "instance": "edge-1", "failureDomain": "recife-a", "region": "nordeste",
  "processors": 0.12,
  "listen": {"callers": "10.1.0.1:8227", "health": "10.1.0.1:8220", "directory": "10.1.0.1:8224",
             "peers": "10.1.0.1:7340", "metrics": "10.1.0.1:9100"},
  "seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
  "store": {"endpoint": "10.200.1.7:8223"},
  "bounds": {"stopGraceSeconds": 8, "configApplyMs": 2000.5, "retryRatio": 0.9}
})";

} // namespace

TEST_CASE("site settings are read, seeds take the peer port")
{
    const ParsedSiteSettings parsed = parseSiteSettings(kComplete);
    REQUIRE(parsed.ok());
    CHECK(parsed.settings.instance == "edge-1");
    REQUIRE(parsed.settings.seeds.size() == 2);
    CHECK(parsed.settings.seeds[1].text() == "10.2.0.29:7340");
    CHECK(parsed.settings.bounds.configApply == std::chrono::microseconds(2'000'500));
    CHECK(parsed.settings.processorMillis == 120);
    CHECK(parsed.settings.bounds.retrySlack == SiteBounds().retrySlack);
}

TEST_CASE("hedging is off unless a share within its bounds is given")
{
    const auto parseWith = [](const std::string &hedging) {
        std::string text = kComplete;
        text.replace(text.find("\"seeds\""), 0, "\"hedging\": " + hedging + ", ");
        return parseSiteSettings(text);
    };
    CHECK(parseSiteSettings(kComplete).settings.hedging.extraShare == 0);
    const ParsedSiteSettings given = parseWith("{\"extraShare\": 0.02}");
    REQUIRE(given.ok());
    CHECK(given.settings.hedging.extraShare == 0.02);
    for (const std::string wrong : {"-0.1", "0.5", "1e300", "\"much\""}) {
        const ParsedSiteSettings refused = parseWith("{\"extraShare\": " + wrong + "}");
        REQUIRE(refused.faults.size() == 1);
        CHECK(refused.faults[0].path == "$.hedging.extraShare");
    }
    CHECK_FALSE(parseWith("{\"share\": 0.02}").ok());
}

TEST_CASE("limits of the process are read, and are the system's when they are not stated")
{
    const ParsedSiteSettings without = parseSiteSettings(kComplete);
    CHECK(without.settings.memoryMb == 0);
    CHECK(without.settings.maxDescriptors == 0);
    std::string text = kComplete;
    text.insert(text.rfind('}'), R"(, "limits": {"memoryMb": 120, "maxDescriptors": 3075})");
    const ParsedSiteSettings parsed = parseSiteSettings(text);
    REQUIRE(parsed.ok());
    CHECK(parsed.settings.memoryMb == 120);
    CHECK(parsed.settings.maxDescriptors == 3075);
    text.replace(text.find("120, \"max"), 3, "-1 ");
    CHECK(parseSiteSettings(text).faults.at(0).path == "$.limits.memoryMb");
}

TEST_CASE("each missing, unknown or malformed setting is a fault with its path")
{
    std::string text = kComplete;
    text.replace(text.find("\"10.1.0.1:8227\""), 15, "\"nowhere\"");
    text.replace(text.find("retryRatio"), 10, "retryRadio");
    const ParsedSiteSettings parsed = parseSiteSettings(text);
    REQUIRE(parsed.faults.size() == 2);
    CHECK(parsed.faults[0].path == "$.listen.callers");
    CHECK(parsed.faults[1].path == "$.bounds.retryRadio");
    CHECK_FALSE(parseSiteSettings("{}").ok());
    CHECK_FALSE(parseSiteSettings("not json").ok());
    CHECK_FALSE(parseSiteSettings("").ok());
}
