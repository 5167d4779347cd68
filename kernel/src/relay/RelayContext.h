// What the parts of the traffic thread of a site share.
#pragma once

#include "site/SiteView.h"

#include <decision/AnswerCascade.h>
#include <decision/PrefillTimeEstimator.h>
#include <decision/RequestQuarantine.h>
#include <decision/RolloutInitialQuota.h>
#include <decision/SlidingWindowRetryBudget.h>
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
class UpstreamScheduler;
class SlowAnswerDetector;

/// Traffic thread only, except for what says otherwise.
struct RelayContext
{
    SiteControl &control;
    const RequestCodec &requestCodec;
    const Clock &clock;
    EventLog &log;
    Metrics &metrics;
    FiberRuntime &runtime;
    HttpClient &client;
    UpstreamScheduler &upstreams;
    RequestQuarantine &poison;
    SlowAnswerDetector &slowness;
    AnswerCascade &cascade;
    PrefillTimeEstimator &promptSpeed;
    std::map<std::string, SlidingWindowRetryBudget> &retryWindows; ///< By service.
    RolloutInitialQuota &opening;
};

} // namespace basilnotch
