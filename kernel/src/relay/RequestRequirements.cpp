// Requests of a session choose their version by the session id, so that a session does not switch
// between versions during a roll-out.
#include "RequestRequirements.h"

#include "site/SiteControl.h"

#include <base/Hash.h>

#include <algorithm>

namespace basilnotch {

int sharedPromptTokens(const CallerHeaders &caller)
{
    int tokens = 0;
    for (std::size_t index = 0; index + 1 < caller.prompt.size(); ++index) {
        tokens += caller.prompt[index].tokens;
    }
    return tokens;
}

namespace {

/// Whether the request is sent to the new version as part of the roll-out's initial quota, although
/// it is not in the new version's traffic share. The result is sticky: `admittedOrder` holds the
/// order number of the roll-out that admitted the request.
bool usesInitialQuota(const SiteView &view, const RolloutState &state, Duration elapsed,
                      RolloutInitialQuota &initialQuota, std::uint64_t *admittedOrder)
{
    if (*admittedOrder == state.order) {
        return state.phase == RolloutPhase::InProgress;
    }
    const bool isAdmitted = initialQuota.isActive(state, elapsed)
        && view.upstreams->readyOf(state.service, state.toVersion) > 0
        && initialQuota.tryAcquire(state, elapsed, view.bounds.exposureSlack, view.liveInstances);
    if (isAdmitted) {
        *admittedOrder = state.order;
    }
    return isAdmitted;
}

/// The versions of the service that the request may use, according to the roll-out in `view` if
/// there is one.
VersionFilter versionFilterFor(const AdmittedRequest &request, const SiteView &view, TimePoint now,
                               RolloutInitialQuota &initialQuota, std::uint64_t *admittedOrder)
{
    const auto found = view.rollouts.find(request.service);
    if (found == view.rollouts.end()) {
        return {};
    }
    const ActiveRollout &rollout = found->second;
    const RolloutState &state = rollout.state;
    if (state.phase == RolloutPhase::Completed) {
        return {.onlyVersion = state.toVersion};
    }
    const Duration elapsed = now - rollout.startedAt;
    const CallerHeaders &caller = request.caller;
    const bool hasSession = !caller.session.empty();
    const std::string &key = hasSession ? caller.session : caller.requestId;
    const double share = rolloutShare(state, elapsed, view.bounds.exposureShare);
    const bool staysOnOldVersion = rollout.held || (hasSession && keepsSessions(state, elapsed));
    const bool usesNewVersion = !staysOnOldVersion
        && (routesToNewVersion(key, share)
            || (!hasSession
                && usesInitialQuota(view, state, elapsed, initialQuota, admittedOrder)));
    if (!usesNewVersion) {
        return {.excludedVersions = state.blockedVersions()};
    }
    return {.onlyVersion = state.toVersion,
            .excludedVersions = state.blockedVersions(),
            .share = share,
            .rolloutOrder = state.order};
}

} // namespace

UpstreamRequirements requirementsFor(const AdmittedRequest &request, const std::string &model,
                                     std::vector<std::string> excludedUpstreams,
                                     const RelayContext &context)
{
    return requirementsFor(request, model, std::move(excludedUpstreams), context,
                           context.initialQuota);
}

UpstreamRequirements requirementsFor(const AdmittedRequest &request, const std::string &model,
                                     std::vector<std::string> excludedUpstreams,
                                     const RelayContext &context, RolloutInitialQuota &initialQuota)
{
    UpstreamRequirements requirements;
    requirements.service = request.service;
    requirements.versions = [&request, &context, &initialQuota,
                             admittedOrder = std::uint64_t{0}]() mutable {
        // Uses the current view instead of the one at admission: a roll-out may have been ordered
        // since.
        return versionFilterFor(request, *context.control.view(), context.clock.now(), initialQuota,
                                &admittedOrder);
    };
    requirements.excludedUpstreams = std::move(excludedUpstreams);
    requirements.priority = request.priority;
    requirements.workspace = request.workspace;
    requirements.fingerprint = hash64(request.fingerprint, 0);
    requirements.isEngine = request.engine() != nullptr;
    if (requirements.isEngine) {
        requirements.expectedOutput =
            context.cascade.expectedStreamTime(request.route->name, request.caller.maxOutputTokens,
                                               request.caller.estimatedOutputTokens);
    }
    const std::vector<PromptPart> &prompt = request.caller.prompt;
    if (prompt.size() > 1) {
        // The last part is unique to the request; the part before it is shared with the fewest
        // other requests.
        requirements.affinityKey = hash64(prompt[prompt.size() - 2].id, hash64(model));
    }
    requirements.sharedTokens = sharedPromptTokens(request.caller);
    requirements.sharedWork = context.prefillTimes.prefillTime(model, requirements.sharedTokens);
    requirements.ownWork = context.prefillTimes.prefillTime(
        model, request.caller.promptTokens - requirements.sharedTokens);
    return requirements;
}

} // namespace basilnotch
