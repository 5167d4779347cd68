// Text form: s1~workspace~id~rules~model@version+model@version~signature. The separators can't
// stand in a name of the rules file.
#include <session/SessionToken.h>

#include <base/Hash.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace basilnotch {

namespace {

constexpr std::string_view kFormat = "s1";
constexpr std::size_t kMaxTokenBytes = 4096;
constexpr std::size_t kFields = 5;

absl::Status malformed(std::string_view text)
{
    return failure(absl::StatusCode::kInvalidArgument, "read session token", "caller", text);
}

} // namespace

std::optional<std::string> Session::pinnedVersion(std::string_view model) const
{
    for (const ModelVersion &pin : this->pins) {
        if (pin.model == model) {
            return pin.version;
        }
    }
    return std::nullopt;
}

void Session::pin(const ModelVersion &id)
{
    for (ModelVersion &pin : this->pins) {
        if (pin.model == id.model) {
            pin.version = id.version;
            return;
        }
    }
    this->pins.push_back(id);
}

std::string encodeSession(const Session &session)
{
    const std::string pins =
        absl::StrJoin(session.pins, "+", [](std::string *out, const ModelVersion &pin) {
            absl::StrAppend(out, pin.model, "@", pin.version);
        });
    return absl::StrCat(std::string(kFormat), "~", session.workspace, "~", session.id, "~",
                        session.rulesVersion, "~", pins);
}

absl::StatusOr<Session> decodeSession(std::string_view text)
{
    const std::vector<std::string> fields =
        absl::StrSplit(absl::string_view(text.data(), text.size()), '~');
    Session session;
    if (text.size() > kMaxTokenBytes || fields.size() != kFields || fields[0] != kFormat
        || !absl::SimpleAtoi(fields[3], &session.rulesVersion)) {
        return malformed("not a session token");
    }
    session.workspace = fields[1];
    session.id = fields[2];
    const std::vector<std::string> pins = absl::StrSplit(fields[4], '+', absl::SkipEmpty());
    for (const std::string &pin : pins) {
        const std::size_t at = pin.find('@');
        if (at == std::string::npos) {
            return malformed("malformed pin");
        }
        session.pin({pin.substr(0, at), pin.substr(at + 1)});
    }
    return session;
}

std::string mintToken(const Session &session, std::string_view key)
{
    const std::string body = encodeSession(session);
    return body + "~" + signHex(key, body);
}

absl::StatusOr<Session> verifyToken(std::string_view token, std::string_view workspace,
                                    std::string_view key)
{
    const std::size_t cut = token.rfind('~');
    if (cut == std::string_view::npos || token.size() > kMaxTokenBytes) {
        return malformed("not a session token");
    }
    const std::string_view body = token.substr(0, cut);
    if (!equalConstantTime(token.substr(cut + 1), signHex(key, body))) {
        return failure(absl::StatusCode::kPermissionDenied, "verify session token", "caller",
                       "wrong signature");
    }
    absl::StatusOr<Session> session = decodeSession(body);
    if (session.ok() && session->workspace != workspace) {
        return failure(absl::StatusCode::kPermissionDenied, "verify session token", "caller",
                       "the token belongs to another workspace");
    }
    return session;
}

} // namespace basilnotch
