// What the request handlers of one traffic thread share.
#pragma once

#include <base/Clock.h>
#include <kernel/Plugins.h>
#include <settings/Settings.h>
#include <telemetry/Metrics.h>
#include <telemetry/Spans.h>

#include <memory>
#include <vector>

namespace basilnotch {

class ControlThread;
class DispatchDesk;
class FiberRuntime;
class HttpClient;

/// References stay valid for the life of the thread.
struct TrafficContext
{
    const Settings &settings;
    const Clock &clock;
    Metrics &metrics;
    SpanBuffer &spans;
    ControlThread &control;
    FiberRuntime &runtime;
    HttpClient &client;
    Platform &platform;
    DispatchDesk &desk;
    std::vector<std::unique_ptr<AdmissionLimit>> limits;
};

} // namespace basilnotch
