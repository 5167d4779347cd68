// The process that `basilnotch serve` runs: one control thread and several traffic threads.
#pragma once

#include <settings/Settings.h>

#include <memory>

namespace basilnotch {

/// An instance that is configured by a settings file. Owns all threads of the process.
///
///     EntryProcess process(settings);
///     process.run();   // until SIGTERM or SIGINT, then drains; returns the exit code
class EntryProcess
{
public:
    explicit EntryProcess(Settings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Blocks until the process has drained after SIGTERM or SIGINT. Returns the exit code: 0 after
    /// a clean stop, 1 when the start failed.
    int run();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace basilnotch
