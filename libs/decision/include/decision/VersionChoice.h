// Selects the version of a model for a request at dispatch, by the rules in force.
#pragma once

#include <rules/Rules.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace basilnotch {

/// Reason for the selected version; printed by `explain`.
enum class VersionReason {
    Pinned,   ///< The session is pinned to it.
    Repinned, ///< The session's version was withdrawn.
    Current,
    Rollout,    ///< The key is in the roll-out's share.
    Held,       ///< The key is in the roll-out's share, but the roll-out is held.
    NotAllowed, ///< No version is allowed.
};

std::string_view versionReasonName(VersionReason reason);

struct VersionChoice
{
    std::optional<ModelVersion> version;
    VersionReason reason = VersionReason::NotAllowed;
};

/// `stickyKey` identifies the session, or the request if it has none; the same key is always on the
/// same side of a roll-out's share. `held` contains the keys of held roll-outs. The version is
/// empty if none is allowed.
VersionChoice chooseVersion(const Rules &rules, std::string_view workspace,
                            const std::string &model, const std::optional<std::string> &pinned,
                            std::string_view stickyKey, const std::set<std::string> &held);

} // namespace basilnotch
