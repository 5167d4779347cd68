// One traffic thread: a fiber runtime, an HTTP server and the handlers behind it.
#pragma once

#include <base/Failure.h>
#include <memory/ProcessLimits.h>
#include <settings/Settings.h>
#include <telemetry/Metrics.h>
#include <telemetry/Spans.h>

#include <memory>

namespace basilnotch {

class ControlThread;
class MemoryAccount;

/// Made before the control thread starts, so that its listener is in place.
class TrafficThread
{
public:
    /// `memory` is that of the process; it outlives this.
    TrafficThread(const Settings &settings, const Clock &clock, Metrics &metrics, SpanBuffer &spans,
                  ControlThread &control, MemoryAccount &memory, const ProcessLimits &limits,
                  int number);
    ~TrafficThread();
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    absl::Status start();
    /// Accepts no more connections; from any thread.
    void stopAccepting();
    /// Requests under way; from any thread.
    int activeRequests() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace basilnotch
