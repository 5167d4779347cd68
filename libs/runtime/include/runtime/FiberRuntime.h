// One thread of fibers over one asio io_context: every blocking call of the product suspends a
// fiber here and lets the thread serve others.
#pragma once

#include <base/Clock.h>

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace basilnotch {

/// Runs fibers on the thread that calls `run`. Only `post` and `stop` may be called from others.
///
///     FiberRuntime runtime;
///     runtime.post([&] { serve(); });
///     runtime.run(); // returns after stop(), when every fiber has ended
class FiberRuntime
{
public:
    FiberRuntime();
    ~FiberRuntime();
    FiberRuntime(const FiberRuntime &) = delete;
    FiberRuntime &operator=(const FiberRuntime &) = delete;

    void run();
    void stop();
    /// Runs `task` as a new fiber of this runtime. Thread safe.
    void post(std::function<void()> task);
    /// Runs `task` as a new fiber; only on this runtime's own thread.
    void spawn(std::function<void()> task);
    /// Suspends the calling fiber; only on this runtime's own thread.
    void sleepFor(Duration duration);
    boost::asio::io_context &context();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace basilnotch
