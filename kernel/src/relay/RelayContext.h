// What the parts of the traffic thread of a site share.
#pragma once

#include "site/SiteView.h"

#include <decision/AnswerCascade.h>
#include <decision/PoisonGuard.h>
#include <decision/PromptSpeed.h>
#include <decision/RetryWindow.h>
#include <decision/RolloutOpening.h>
#include <kernel/Site.h>
#include <runtime/HttpClient.h>
#include <telemetry/EventLog.h>
#include <telemetry/Metrics.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace basilnotch {

class FiberRuntime;
class SiteControl;
class UpstreamDesk;
class SlownessMeter;

/// Traffic thread only, except for what says otherwise.
struct RelayContext
{
    SiteControl &control;
    const RequestDialect &dialect;
    const Clock &clock;
    EventLog &log;
    Metrics &metrics;
    FiberRuntime &runtime;
    HttpClient &client;
    UpstreamDesk &upstreams;
    PoisonGuard &poison;
    SlownessMeter &slowness;
    AnswerCascade &cascade;
    PromptSpeed &promptSpeed;
    std::map<std::string, RetryWindow> &retryWindows; ///< By service.
    RolloutOpening &opening;
};

} // namespace basilnotch
