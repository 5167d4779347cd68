// Runs a test in a fiber of a thread of its own.
#pragma once

#include <runtime/FiberRuntime.h>

#include <csignal>
#include <functional>
#include <thread>

namespace basilnotch::testing {

/// Runs `test` in a fiber and returns when it has ended.
inline void inFiber(const std::function<void(FiberRuntime &)> &test)
{
    ::signal(SIGPIPE, SIG_IGN);
    std::thread([&] {
        FiberRuntime runtime;
        runtime.post([&] {
            test(runtime);
            runtime.stop();
        });
        runtime.run();
    }).join();
}

} // namespace basilnotch::testing
