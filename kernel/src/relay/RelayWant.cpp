// Sessions decide by their own id, so that they stay on one side of a roll-out.
#include "RelayWant.h"

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

VersionFilter versionsFor(const RelayRequest &request, const SiteView &view, TimePoint now)
{
    const auto found = view.rollouts.find(request.service);
    if (found == view.rollouts.end()) {
        return {};
    }
    const ActiveRollout &rollout = found->second;
    if (rollout.state.phase == RolloutPhase::Completed) {
        return {.only = rollout.state.toVersion};
    }
    const Duration elapsed = now - rollout.startedAt;
    const CallerHeaders &caller = request.caller;
    const std::string &key = caller.session.empty() ? caller.requestId : caller.session;
    const double share = rolloutShare(rollout.state, elapsed, view.bounds.exposureShare);
    const bool stays = !caller.session.empty() && keepsSessions(rollout.state, elapsed);
    const bool onNew = !rollout.held && !stays && fallsOnNew(key, share);
    if (!onNew) {
        return {.closed = rollout.state.closedVersions()};
    }
    return {.only = rollout.state.toVersion, .share = share, .order = rollout.state.order};
}

namespace {

bool hasNewOnes(const SiteView &view, const RolloutState &state)
{
    const std::vector<UpstreamRef> &ready = view.upstreams->ready(state.service);
    return std::any_of(ready.begin(), ready.end(), [&](const UpstreamRef &upstream) {
        return upstream->softwareVersion == state.toVersion;
    });
}

/// Lets a request that stays on the old version be one of the first of the new one. `opened`: the
/// order for which the request has been taken; asked again, it stays with it.
VersionFilter withOpening(VersionFilter versions, const RelayRequest &request,
                          const RelayContext &context, std::uint64_t *opened)
{
    const std::shared_ptr<const SiteView> view = context.control.view();
    const auto found = view->rollouts.find(request.service);
    if (found == view->rollouts.end() || found->second.held || !request.caller.session.empty()
        || !versions.only.empty()) {
        return versions;
    }
    const RolloutState &state = found->second.state;
    if (state.phase != RolloutPhase::InProgress) {
        return versions;
    }
    const Duration elapsed = context.clock.now() - found->second.startedAt;
    if (*opened != state.order) {
        const bool isTaken = hasNewOnes(*view, state)
            && context.opening.take(state, elapsed, view->bounds.exposureSlack,
                                    view->liveInstances);
        if (!isTaken) {
            return versions;
        }
        *opened = state.order;
    }
    const double share = rolloutShare(state, elapsed, view->bounds.exposureShare);
    return {.only = state.toVersion, .share = share, .order = state.order};
}

} // namespace

UpstreamWant wantFor(const RelayRequest &request, const std::string &model,
                     std::vector<std::string> avoid, const RelayContext &context)
{
    UpstreamWant want;
    want.service = request.service;
    want.versions = [&request, &context, opened = std::uint64_t{0}]() mutable {
        // Not by the view at admission: the order may have come since.
        const VersionFilter versions =
            versionsFor(request, *context.control.view(), context.clock.now());
        return withOpening(versions, request, context, &opened);
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
    want.sharedWork = context.promptSpeed.readTime(model, want.sharedTokens);
    want.ownWork =
        context.promptSpeed.readTime(model, request.caller.promptTokens - want.sharedTokens);
    return want;
}

} // namespace basilnotch
