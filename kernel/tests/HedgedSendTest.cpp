// Tests of two sends of one request: which answer is delivered, and what becomes of the other send.
#include "relay/HedgedSend.h"

#include <InFiber.h>

#include <runtime/FiberRuntime.h>

#include <catch2/catch.hpp>

using namespace basilnotch;
using namespace basilnotch::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kDelay = milliseconds(20);
constexpr Duration kPoll = milliseconds(1);

class FakeAnswer final : public HttpStream
{
public:
    explicit FakeAnswer(int code)
        : code(code)
    { }
    int status() const override { return this->code; }
    const HttpHeaders &headers() const override { return this->none; }
    bool endsWithConnection() const override { return false; }
    absl::StatusOr<std::string> readSome(Duration) override { return std::string(); }
    absl::StatusOr<std::string> readAll(Duration, std::size_t, MemoryReservation *) override
    {
        return std::string();
    }
    void close() override { }

private:
    const int code;
    const HttpHeaders none;
};

/// A send whose answer begins after `takes`; `status` 0: it fails then.
struct FakeSend
{
    Duration takes{};
    int status = 200;
    bool isWithdrawn = false;
    bool hasEnded = false;

    HedgedSend::Opener opener(FiberRuntime &runtime)
    {
        return [this, &runtime](CallCanceller &canceller) -> HedgedSend::Answer {
            const TimePoint until = SystemClock().now() + this->takes;
            while (SystemClock().now() < until && !canceller.cancelled()) {
                runtime.sleepFor(kPoll);
            }
            this->hasEnded = true;
            this->isWithdrawn = canceller.cancelled();
            if (this->isWithdrawn) {
                return absl::CancelledError("withdrawn");
            }
            if (this->status == 0) {
                return absl::UnavailableError("broke off");
            }
            return std::make_unique<FakeAnswer>(this->status);
        };
    }
};

struct Both
{
    explicit Both(FiberRuntime &runtime)
        : runtime(runtime)
        , send(runtime)
    { }

    HedgedSend::Result run()
    {
        HedgedSend::Hooks hooks;
        hooks.openFirst = this->first.opener(this->runtime);
        hooks.startSecond = [this]() -> HedgedSend::Opener {
            ++this->asked;
            return this->hasSecond ? this->second.opener(this->runtime) : HedgedSend::Opener();
        };
        hooks.isUsable = [](const HttpStream &answer) { return answer.status() < 500; };
        return this->send.run(hooks, kDelay);
    }

    FiberRuntime &runtime;
    HedgedSend send;
    FakeSend first;
    FakeSend second;
    bool hasSecond = true;
    int asked = 0; ///< For a second send.
};

void withBoth(const std::function<void(Both &)> &test)
{
    inFiber([&](FiberRuntime &runtime) {
        Both both(runtime);
        test(both);
    });
}

} // namespace

// Guards against a second send of a request that is answered in the usual time.
TEST_CASE("an answer in time costs no second send", "[hedge]")
{
    withBoth([](Both &both) {
        const HedgedSend::Result result = both.run();
        CHECK(result.answer.ok());
        CHECK_FALSE(result.wasHedged);
        CHECK(both.asked == 0);
    });
}

// Load: an upstream that hangs.
TEST_CASE("the second send answers for an upstream that hangs, which is withdrawn", "[hedge]")
{
    withBoth([](Both &both) {
        both.first.takes = seconds(60);
        both.second.status = 201;
        const HedgedSend::Result result = both.run();
        REQUIRE(result.answer.ok());
        CHECK(result.isSecond);
        CHECK((*result.answer)->status() == 201);
        CHECK(both.first.isWithdrawn);
        CHECK_FALSE(result.other);
    });
}

// Guards against a late second send that replaces the answer of the first, or goes on for nobody.
TEST_CASE("the first send's answer wins when it begins before the second's", "[hedge]")
{
    withBoth([](Both &both) {
        both.first.takes = 2 * kDelay;
        both.second.takes = seconds(60);
        const HedgedSend::Result result = both.run();
        CHECK(result.answer.ok());
        CHECK_FALSE(result.isSecond);
        CHECK(result.wasHedged);
        CHECK(both.second.isWithdrawn);
    });
}

// Guards against a failure that is delivered while the other send may still succeed.
TEST_CASE("a failed send does not end the other one", "[hedge]")
{
    withBoth([](Both &both) {
        both.first.takes = 3 * kDelay;
        for (const int failure : {0, 503}) {
            both.second.status = failure;
            Both again(both.runtime);
            again.first = both.first;
            again.second = both.second;
            const HedgedSend::Result result = again.run();
            REQUIRE(result.answer.ok());
            CHECK_FALSE(result.isSecond);
            REQUIRE(result.other);
            CHECK(result.other->ok() == (failure != 0));
        }
    });
}

// Load: no second upstream may be asked, so the first one is awaited.
TEST_CASE("a late request without a second send waits for its first", "[hedge]")
{
    withBoth([](Both &both) {
        both.first.takes = 3 * kDelay;
        both.hasSecond = false;
        const HedgedSend::Result result = both.run();
        CHECK(result.answer.ok());
        CHECK_FALSE(result.wasHedged);
        CHECK(both.asked == 1);
    });
}

// Load: the caller leaves while both sends are under way, and before the second one.
TEST_CASE("when the caller leaves, both sends are withdrawn at once", "[hedge]")
{
    for (const Duration leavesAfter : {kDelay / 2, 3 * kDelay}) {
        withBoth([leavesAfter](Both &both) {
            both.first.takes = seconds(60);
            both.second.takes = seconds(60);
            both.runtime.spawn([&] {
                both.runtime.sleepFor(leavesAfter);
                both.send.cancel();
            });
            const TimePoint beganAt = SystemClock().now();
            CHECK_FALSE(both.run().answer.ok());
            CHECK(SystemClock().now() - beganAt < seconds(5));
            CHECK(both.first.isWithdrawn);
            CHECK(both.second.isWithdrawn == (leavesAfter > kDelay));
        });
    }
}
