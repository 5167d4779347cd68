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

constexpr Duration kForever = seconds(60);

/// A send whose answer begins after `takes`, which may change meanwhile; `status` 0: it fails then.
struct FakeSend
{
    Duration takes{};
    int status = 200;
    bool isWithdrawn = false;
    std::function<void()> onBegin = [] {};
    std::function<void()> onEnd = [] {};

    HedgedSend::Opener opener(FiberRuntime &runtime)
    {
        return [this, &runtime](CallCanceller &canceller) -> HedgedSend::Answer {
            const TimePoint beganAt = SystemClock().now();
            this->onBegin();
            while (SystemClock().now() < beganAt + this->takes && !canceller.cancelled()) {
                runtime.sleepFor(kPoll);
            }
            this->isWithdrawn = canceller.cancelled();
            this->onEnd();
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
            this->onAsked();
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
    std::function<void()> onAsked = [] {};
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
        both.first.takes = kForever;
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
        both.first.takes = kForever;
        both.second.onBegin = [&] { both.first.takes = {}; };
        both.second.takes = kForever;
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
    for (const int failure : {0, 503}) {
        withBoth([failure](Both &both) {
            both.first.takes = kForever;
            both.second.status = failure;
            both.second.onEnd = [&] { both.first.takes = kDelay; };
            const HedgedSend::Result result = both.run();
            REQUIRE(result.answer.ok());
            CHECK_FALSE(result.isSecond);
            REQUIRE(result.other);
            CHECK(result.other->ok() == (failure != 0));
        });
    }
}

// Load: no second upstream may be asked, so the first one is awaited.
TEST_CASE("a late request without a second send waits for its first", "[hedge]")
{
    withBoth([](Both &both) {
        both.first.takes = kForever;
        both.hasSecond = false;
        both.onAsked = [&] { both.first.takes = {}; };
        const HedgedSend::Result result = both.run();
        CHECK(result.answer.ok());
        CHECK_FALSE(result.wasHedged);
        CHECK(both.asked == 1);
    });
}

// Load: the caller leaves while both sends are under way, and before the second one.
TEST_CASE("when the caller leaves, both sends are withdrawn at once", "[hedge]")
{
    for (const bool leavesBesideBoth : {false, true}) {
        withBoth([leavesBesideBoth](Both &both) {
            both.first.takes = kForever;
            both.second.takes = kForever;
            FakeSend &latest = leavesBesideBoth ? both.second : both.first;
            latest.onBegin = [&] { both.runtime.spawn([&] { both.send.cancel(); }); };
            const TimePoint beganAt = SystemClock().now();
            CHECK_FALSE(both.run().answer.ok());
            CHECK(SystemClock().now() - beganAt < kForever / 2);
            CHECK(both.first.isWithdrawn);
            CHECK(both.asked == (leavesBesideBoth ? 1 : 0));
            CHECK(both.second.isWithdrawn == leavesBesideBoth);
        });
    }
}
