// Sends a request to an upstream and, when its answer is late, to a second one; gives the answer
// that begins first and withdraws the other send.
#pragma once

#include <base/Clock.h>
#include <runtime/FiberEvent.h>
#include <runtime/HttpClient.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>

namespace basilnotch {

class FiberRuntime;

/// Used in the fiber of one request. Each send runs in a fiber of its own, which has ended when
/// run() returns.
class HedgedSend
{
public:
    using Answer = absl::StatusOr<std::unique_ptr<HttpStream>>;
    /// Sends the request and waits until its answer begins; ends soon after the canceller is used.
    using Opener = std::function<Answer(CallCanceller &canceller)>;

    struct Hooks
    {
        Opener openFirst;
        /// Called once the first send is late: the second send, empty if there shall be none.
        std::function<Opener()> startSecond;
        /// Whether an answer that has begun may be delivered; otherwise the other one is awaited.
        std::function<bool(const HttpStream &answer)> isUsable;
    };

    struct Result
    {
        Answer answer;         ///< Of the winner.
        bool isSecond = false; ///< The second send has won.
        /// How the other send has ended; empty if there was none or it was withdrawn.
        std::optional<Answer> other;
        bool wasHedged = false; ///< There was a second send.
    };

    explicit HedgedSend(FiberRuntime &runtime)
        : runtime(runtime)
    { }

    /// `delay`: after which the first send is late.
    Result run(const Hooks &hooks, Duration delay);
    /// Withdraws both sends; run() then returns soon.
    void cancel();

private:
    struct Send
    {
        CallCanceller canceller;
        std::optional<Answer> answer; ///< Set when the send has ended.
        bool isStarted = false;
    };

    void start(Send &send, Opener open);
    /// The send whose answer is to be delivered; null while that is open.
    Send *winner(const Hooks &hooks);

    FiberRuntime &runtime;
    FiberEvent ended; ///< Set when a send has ended.
    std::array<Send, 2> sends;
    bool isCancelled = false;
};

} // namespace basilnotch
