// Precedence: the withdrawal of a version overrides the pin, and the pin overrides a roll-out.
#include <decision/VersionChoice.h>

#include <base/Hash.h>

namespace basilnotch {

namespace {

/// Position of `key` in [0, 1) for the roll-out.
double hashPosition(std::string_view key, const RolloutRule &rollout)
{
    constexpr double kTwoTo53 = 9007199254740992.0;
    return static_cast<double>(hash64(key, hash64(rollout.key())) >> 11) / kTwoTo53;
}

} // namespace

std::string_view versionReasonName(VersionReason reason)
{
    switch (reason) {
    case VersionReason::Pinned:
        return "the session keeps it";
    case VersionReason::Repinned:
        return "the session's version was withdrawn";
    case VersionReason::Current:
        return "current version";
    case VersionReason::Rollout:
        return "in the roll-out's share";
    case VersionReason::Held:
        return "the roll-out is held";
    case VersionReason::NotAllowed:
        return "no version may run";
    }
    return "";
}

VersionChoice chooseVersion(const Rules &rules, std::string_view workspace,
                            const std::string &model, const std::optional<std::string> &pinned,
                            std::string_view stickyKey, const std::set<std::string> &held)
{
    const bool allowed = rules.findAllowedModel(workspace, model);
    const std::optional<std::string> current = rules.currentVersion(model);
    if (!allowed || !current) {
        return {};
    }
    if (pinned && rules.mayRun(workspace, {model, *pinned})) {
        return {ModelVersion{model, *pinned}, VersionReason::Pinned};
    }
    VersionReason reason = pinned ? VersionReason::Repinned : VersionReason::Current;
    const RolloutRule *rollout = rules.findRollout(model);
    const bool inShare = rollout && rules.mayRun(workspace, {model, rollout->to})
        && hashPosition(stickyKey, *rollout) < rollout->share;
    if (inShare && held.contains(rollout->key())) {
        reason = VersionReason::Held;
    } else if (inShare) {
        return {ModelVersion{model, rollout->to}, VersionReason::Rollout};
    }
    return {ModelVersion{model, *current}, reason};
}

} // namespace basilnotch
