// The loser's fiber is awaited after its connection has been closed, so no send outlives the
// request that it belongs to.
#include "HedgedSend.h"

#include <runtime/FiberRuntime.h>

#include <utility>

namespace basilnotch {

namespace {

constexpr Duration kLongWait = std::chrono::hours(1); // Each send has a timeout of its own.

} // namespace

void HedgedSend::start(Send &send, Opener open)
{
    send.isStarted = true;
    this->runtime.spawn([this, &send, open = std::move(open)] {
        send.answer = open(send.canceller);
        this->ended.set();
    });
}

HedgedSend::Send *HedgedSend::winner(const Hooks &hooks)
{
    Send *open = nullptr;
    Send *failed = nullptr;
    for (Send &send : this->sends) {
        if (!send.isStarted) {
            continue;
        }
        if (!send.answer) {
            open = &send;
        } else if (send.answer->ok() && hooks.isUsable(**send.answer.value())) {
            return &send;
        } else if (!failed) {
            failed = &send;
        }
    }
    return open ? nullptr : failed;
}

HedgedSend::Result HedgedSend::run(const Hooks &hooks, Duration delay)
{
    auto &[first, second] = this->sends;
    this->start(first, hooks.openFirst);
    (void)this->ended.waitFor(delay);
    if (!first.answer && !this->isCancelled) {
        if (Opener open = hooks.startSecond()) {
            this->start(second, std::move(open));
        }
    }
    Send *won = this->winner(hooks);
    while (!won) {
        this->ended.reset();
        (void)this->ended.waitFor(kLongWait);
        won = this->winner(hooks);
    }
    Result result{std::move(*won->answer), won == &second, std::nullopt, second.isStarted};
    Send &other = won == &first ? second : first;
    if (other.isStarted) {
        const bool isWithdrawn = !other.answer;
        other.canceller.cancel();
        while (!other.answer) {
            this->ended.reset();
            (void)this->ended.waitFor(kLongWait);
        }
        if (!isWithdrawn) {
            result.other = std::move(*other.answer);
        }
        other.answer.reset(); // Closes its connection.
    }
    return result;
}

void HedgedSend::cancel()
{
    this->isCancelled = true;
    for (Send &send : this->sends) {
        send.canceller.cancel();
    }
}

} // namespace basilnotch
