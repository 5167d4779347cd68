// Text that a parser of MessagePack must not be given.
#include <base/MessagePack.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

using namespace basilnotch;
using Json = nlohmann::json;

namespace {

std::string packed(const Json &value)
{
    std::string text;
    Json::to_msgpack(value, text);
    return text;
}

} // namespace

TEST_CASE("values of all kinds pass", "[msgpack]")
{
    const Json binary = Json::binary({1, 2, 3}, 7);
    const Json value{{"a", {1, -1, 200, 70'000, 5'000'000'000, -200, -70'000, -5'000'000'000}},
                     {"b", {true, false, nullptr, 1.5, std::string(300, 'x'), binary}},
                     {"c", Json::array({Json::array(), Json::object()})}};
    CHECK(isBoundedMessagePack(packed(value)));
    CHECK(isBoundedMessagePack(packed(std::string(70'000, 'x'))));
    CHECK(isBoundedMessagePack(packed(Json::binary({1, 2, 3, 4}, 9))));
}

TEST_CASE("deep, large and cut values do not pass", "[msgpack]")
{
    constexpr std::size_t kDepth = 2048;
    for (const char nested : {'\x91', '\x92', '\x81', '\xdc', '\xdd', '\xdf'}) {
        CHECK_FALSE(isBoundedMessagePack(std::string(kDepth, nested)));
    }
    CHECK_FALSE(isBoundedMessagePack(std::string("\xdd\xff\xff\xff\xff\x01", 6)));
    CHECK_FALSE(isBoundedMessagePack(std::string("\xdb\xff\xff\xff\xff\x01", 6)));
    CHECK_FALSE(isBoundedMessagePack(""));
    const Json wide = Json::array({Json(std::vector<int>(100, 1))});
    CHECK(isBoundedMessagePack(packed(wide), {2, 101}));
    CHECK_FALSE(isBoundedMessagePack(packed(wide), {2, 100}));
    CHECK_FALSE(isBoundedMessagePack(packed(wide), {1, 101}));
    const std::string whole = packed({{"key", {1, 2, "three"}}});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK_FALSE(isBoundedMessagePack(std::string_view(whole).substr(0, length)));
    }
}

TEST_CASE("whatever passes, a parser reads or refuses", "[msgpack]")
{
    rc::check("any bytes", [](const std::string &text) {
        if (!isBoundedMessagePack(text)) {
            RC_ASSERT(Json::from_msgpack(text, true, false).is_discarded());
        }
    });
}
