// Sessions decide by their own id, so that they stay on one side of a roll-out.
#include "RequestRequirements.h"

#include "site/SiteControl.h"

#include <base/Hash.h>

#include <algorithm>

namespace basilnotch {

int sharedTokens(const CallerHeaders &caller)
{
    int tokens = 0;
    for (std::size_t index = 0; index + 1 < caller.prompt.size(); ++index) {
        tokens += caller.prompt[index].tokens;
    }
    return tokens;
}

namespace {

/// Whether a request is one of the first of the new version, though it does not fall into its
/// share. Once it is, it stays so: `opened` is the order for which it has been taken.
bool isOneOfTheFirst(const SiteView &view, const RolloutState &state, Duration elapsed,
                     RolloutInitialQuota &opening, std::uint64_t *opened)
{
    if (*opened == state.order) {
        return state.phase == RolloutPhase::InProgress;
    }
    const bool isTaken = opening.isActive(state, elapsed)
        && view.upstreams->readyOf(state.service, state.toVersion) > 0
        && opening.tryAcquire(state, elapsed, view.bounds.exposureSlack, view.liveInstances);
    if (isTaken) {
        *opened = state.order;
    }
    return isTaken;
}

/// Which versions of the service the request may use, by the roll-out of `view` if there is one.
VersionFilter versionsFor(const AdmittedRequest &request, const SiteView &view, TimePoint now,
                          RolloutInitialQuota &opening, std::uint64_t *opened)
{
    const auto found = view.rollouts.find(request.service);
    if (found == view.rollouts.end()) {
        return {};
    }
    const ActiveRollout &rollout = found->second;
    const RolloutState &state = rollout.state;
    if (state.phase == RolloutPhase::Completed) {
        return {.only = state.toVersion};
    }
    const Duration elapsed = now - rollout.startedAt;
    const CallerHeaders &caller = request.caller;
    const bool hasSession = !caller.session.empty();
    const std::string &key = hasSession ? caller.session : caller.requestId;
    const double share = rolloutShare(state, elapsed, view.bounds.exposureShare);
    const bool stays = rollout.held || (hasSession && keepsSessions(state, elapsed));
    const bool onNew = !stays
        && (routesToNewVersion(key, share)
            || (!hasSession && isOneOfTheFirst(view, state, elapsed, opening, opened)));
    if (!onNew) {
        return {.closed = state.closedVersions()};
    }
    return {.only = state.toVersion, .share = share, .order = state.order};
}

} // namespace

UpstreamRequirements requirementsFor(const AdmittedRequest &request, const std::string &model,
                                     std::vector<std::string> avoid, const RelayContext &context)
{
    UpstreamRequirements want;
    want.service = request.service;
    want.versions = [&request, &context, opened = std::uint64_t{0}]() mutable {
        // Not by the view at admission: the order may have come since.
        return versionsFor(request, *context.control.view(), context.clock.now(), context.opening,
                           &opened);
    };
    want.avoid = std::move(avoid);
    want.priority = request.priority;
    want.isEngine = request.engine() != nullptr;
    const std::vector<PromptPart> &prompt = request.caller.prompt;
    if (prompt.size() > 1) {
        // The last part is the request's own; the one before it is shared by the fewest others.
        want.affinityKey = hash64(prompt[prompt.size() - 2].id, hash64(model));
    }
    want.sharedTokens = sharedTokens(request.caller);
    want.sharedWork = context.promptSpeed.prefillTime(model, want.sharedTokens);
    want.ownWork =
        context.promptSpeed.prefillTime(model, request.caller.promptTokens - want.sharedTokens);
    return want;
}

} // namespace basilnotch
