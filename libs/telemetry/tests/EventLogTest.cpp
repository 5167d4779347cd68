// The log under a flood, with a reader that does not read, and with hostile text.
#include <telemetry/EventLog.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace basilnotch;
using std::chrono::milliseconds;

namespace {

class FakeOutput final : public LogOutput
{
public:
    bool write(std::string_view line) override
    {
        if (!this->blocked) {
            this->lines.emplace_back(line);
        }
        return !this->blocked;
    }

    std::vector<std::string> lines;
    bool blocked = false;
};

} // namespace

TEST_CASE("a flood of one kind is bounded and leaves room for the others")
{
    ManualClock clock;
    FakeOutput output;
    EventLogOptions options;
    options.linesPerSecond = {10, 3, 1};
    EventLog log(output, clock, "one", options);
    for (int count = 0; count < 50; ++count) {
        log.write(LogKind::Failure, "request refused", {{"count", std::int64_t{count}}});
    }
    log.write(LogKind::State, "stopping", {});
    REQUIRE(output.lines.size() == 4);
    CHECK(output.lines[3].find("\"linesDropped\":47") != std::string::npos);
    CHECK(log.dropped() == 47);
    clock.advance(milliseconds(1000));
    log.write(LogKind::Failure, "request refused", {});
    CHECK(output.lines.size() == 5);
}

TEST_CASE("a reader that does not read costs lines, not time, and is told how many")
{
    ManualClock clock;
    FakeOutput output;
    EventLog log(output, clock, "one");
    output.blocked = true;
    log.write(LogKind::State, "lost", {});
    output.blocked = false;
    log.write(LogKind::State, "next", {});
    REQUIRE(output.lines.size() == 1);
    CHECK(output.lines[0].find("\"linesDropped\":1") != std::string::npos);
}

TEST_CASE("text from outside cannot break a line or add a field")
{
    ManualClock clock;
    FakeOutput output;
    EventLog log(output, clock, "one");
    log.write(LogKind::State, "request", {{"request", "a\"}\n{\"event\":\"forged\""}});
    REQUIRE(output.lines.size() == 1);
    CHECK(output.lines[0].find('\n') == output.lines[0].size() - 1);
    CHECK(output.lines[0].find("\"event\":\"forged\"") == std::string::npos);
}
