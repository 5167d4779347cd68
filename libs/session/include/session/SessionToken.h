// A session's pins travel with the session: no instance keeps them. The token is signed, so a
// caller can carry it but not change it.
#pragma once

#include <base/Failure.h>
#include <rules/Rules.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// The models that a session has used and the version that it keeps for each.
struct Session
{
    std::string workspace;
    std::string id;
    std::uint64_t rulesVersion = 0; ///< Version of the rules under which it was last pinned.
    std::vector<ModelVersion> pins; ///< Invariant: each model at most once.

    std::optional<std::string> pinnedVersion(std::string_view model) const;
    void pin(const ModelVersion &id);
};

/// The token in text, signed with `key`.
std::string mintToken(const Session &session, std::string_view key);

/// The session of `token`. kPermissionDenied when the signature or the workspace is wrong,
/// kInvalidArgument when it is malformed.
absl::StatusOr<Session> verifyToken(std::string_view token, std::string_view workspace,
                                    std::string_view key);

/// Body of a durable pin row, unsigned: the table is trusted.
std::string encodeSession(const Session &session);
absl::StatusOr<Session> decodeSession(std::string_view text);

} // namespace basilnotch
