// A flag that a fiber waits for and that another fiber, a callback or another thread sets.
#pragma once

#include <base/Clock.h>

#include <memory>

namespace basilnotch {

/// Set once, or as often as a waiter has reset it. Copies share one flag.
class FiberEvent
{
public:
    FiberEvent();
    /// Wakes the waiter. Thread safe.
    void set() const;
    /// Suspends the calling fiber until set; false when `timeout` passed first.
    bool waitFor(Duration timeout) const;
    bool isSet() const;
    void reset() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace basilnotch
