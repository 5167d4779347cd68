// Services that the classes of a site's traffic thread share.
#pragma once

#include "site/SiteView.h"

#include <decision/AnswerCascade.h>
#include <decision/PrefillTimeEstimator.h>
#include <decision/PromptGuard.h>
#include <decision/RequestQuarantine.h>
#include <decision/RolloutInitialQuota.h>
#include <kernel/Site.h>
#include <retries/HedgePolicy.h>
#include <retries/SlidingWindowRetryBudget.h>
#include <runtime/HttpClient.h>
#include <telemetry/EventLog.h>
#include <telemetry/Metrics.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace basilnotch {

class FiberRuntime;
class RequestForwarder;
class SiteControl;
class UpstreamScheduler;
class SlowAnswerDetector;

/// Used on the traffic thread only, except where a member's class is thread-safe.
struct RelayContext
{
    SiteControl &control;
    const RequestCodec &requestCodec;
    const Clock &clock;
    EventLog &log;
    Metrics &metrics;
    FiberRuntime &runtime;
    HttpClient &client;
    UpstreamScheduler &scheduler;
    RequestQuarantine &quarantine;
    PromptGuard &promptGuard;
    SlowAnswerDetector &slowAnswerDetector;
    AnswerCascade &cascade;
    PrefillTimeEstimator &prefillTimes;
    std::map<std::string, SlidingWindowRetryBudget> &retryBudgets; ///< By service.
    std::map<std::string, HedgePolicy> &hedgePolicies;             ///< By service.
    RolloutInitialQuota &initialQuota;
    /// Requests under way whose prompts have shared parts.
    std::set<RequestForwarder *> &activePrompts;
    /// Requests under way to services that have a roll-out.
    std::set<RequestForwarder *> &rolloutRequests;
};

} // namespace basilnotch
