// Each test names the load pattern that the order of the queue answers.
#include <admission/AdmissionQueue.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct QueueFixture
{
    ManualClock clock;
    AdmissionQueue queue{{}, this->clock};
    std::map<std::uint64_t, AdmissionRequest> requests;
    std::uint64_t lastId = 0;

    AdmissionRequest make(const std::string &workspace, int priority, Duration cost)
    {
        AdmissionRequest request;
        request.id = ++this->lastId;
        request.workspace = workspace;
        request.priority = priority;
        request.cost = cost;
        request.startBy = this->clock.now() + seconds(2);
        return request;
    }
    std::uint64_t push(const AdmissionRequest &request)
    {
        this->requests[request.id] = request;
        this->queue.push(request);
        return request.id;
    }
    AdmissionRequest serveNext()
    {
        const std::uint64_t id = this->queue.order().front();
        this->queue.onServed(id);
        return this->requests[id];
    }
    std::size_t place(std::uint64_t id)
    {
        const auto &order = this->queue.order();
        return static_cast<std::size_t>(std::find(order.begin(), order.end(), id) - order.begin());
    }
};

} // namespace

TEST_CASE("a burst of the least urgent kind does not keep urgent requests waiting, nor starve")
{
    QueueFixture fixture;
    for (int number = 0; number < 200; ++number) {
        fixture.push(fixture.make("w" + std::to_string(number % 20), 2, milliseconds(200)));
    }
    const std::uint64_t urgent = fixture.push(fixture.make("w3", 0, seconds(2)));
    CHECK(fixture.place(urgent) <= 1);
    // Both kinds in excess: the least urgent gets its share of slot time, no more.
    for (int number = 0; number < 200; ++number) {
        fixture.push(fixture.make("w" + std::to_string(number % 20), 0, milliseconds(200)));
    }
    int lessUrgent = 0;
    for (int number = 0; number < 100; ++number) {
        lessUrgent += fixture.serveNext().priority == 2 ? 1 : 0;
    }
    CHECK(lessUrgent >= 1);
    CHECK(lessUrgent <= 15);
}

TEST_CASE("a workspace that sends many times its usual does not take the places of others")
{
    QueueFixture fixture;
    for (int number = 0; number < 300; ++number) {
        fixture.push(fixture.make("hot", 1, milliseconds(300)));
    }
    for (int number = 0; number < 30; ++number) {
        fixture.push(fixture.make("w" + std::to_string(number % 10), 1, milliseconds(300)));
    }
    std::map<std::string, int> served;
    for (int number = 0; number < 33; ++number) {
        ++served[fixture.serveNext().workspace];
    }
    CHECK(served["hot"] == 3);
    for (int number = 0; number < 10; ++number) {
        CHECK(served["w" + std::to_string(number)] == 3);
    }
}

TEST_CASE("large requests of a kind are not starved by small ones of other workspaces")
{
    QueueFixture fixture;
    const std::uint64_t large = fixture.push(fixture.make("large", 0, seconds(10)));
    for (int number = 0; number < 50; ++number) {
        AdmissionRequest small =
            fixture.make("w" + std::to_string(number % 5), 0, milliseconds(100));
        small.startBy -= seconds(1); // Less time left.
        fixture.push(small);
    }
    CHECK(fixture.place(large) <= 20);
    int served = 0;
    while (fixture.serveNext().id != large) {
        // Small requests go on coming.
        fixture.push(fixture.make("w" + std::to_string(served++ % 5), 0, milliseconds(100)));
        REQUIRE(served < 50);
    }
}

TEST_CASE("among equals, the request with the least time left goes first")
{
    QueueFixture fixture;
    const std::uint64_t later = fixture.push(fixture.make("a", 1, milliseconds(100)));
    AdmissionRequest pressed = fixture.make("b", 1, milliseconds(100));
    pressed.startBy -= milliseconds(500);
    const std::uint64_t sooner = fixture.push(pressed);
    CHECK(fixture.place(sooner) < fixture.place(later));
}

TEST_CASE("callers that return at once in spite of Retry-After do not overtake those who waited")
{
    QueueFixture fixture;
    const auto refused = [&](std::uint64_t fingerprint) {
        AdmissionRequest request =
            fixture.make("w" + std::to_string(fingerprint), 1, milliseconds(400));
        request.fingerprint = fingerprint;
        fixture.queue.onRefused(fingerprint, seconds(1));
        return request;
    };
    const AdmissionRequest patient = refused(1);
    for (int number = 0; number < 10; ++number) {
        AdmissionRequest hasty = refused(static_cast<std::uint64_t>(2 + number));
        hasty.startBy -= seconds(1);
        fixture.push(hasty);
    }
    fixture.clock.advance(seconds(1));
    CHECK(fixture.queue.ahead(patient) == 0);
    CHECK(fixture.place(fixture.push(patient)) == 0);
}

TEST_CASE("a request that stops waiting gives its workspace its turn back")
{
    QueueFixture fixture;
    const std::uint64_t given = fixture.push(fixture.make("a", 1, seconds(5)));
    fixture.queue.remove(given);
    fixture.queue.remove(given);
    CHECK(fixture.queue.size() == 0);
    fixture.push(fixture.make("b", 1, seconds(1)));
    fixture.push(fixture.make("b", 1, seconds(1)));
    CHECK(fixture.place(fixture.push(fixture.make("a", 1, seconds(1)))) == 1);
}

TEST_CASE("costs and priorities beyond any range are bounded")
{
    QueueFixture fixture;
    fixture.push(fixture.make("a", -7, -seconds(3)));
    fixture.push(fixture.make("a", 1'000'000, std::chrono::hours(10'000)));
    fixture.push(fixture.make("b", 1'000'000, seconds(1)));
    CHECK(fixture.queue.order().size() == 3);
    CHECK(fixture.serveNext().priority == -7);
}
