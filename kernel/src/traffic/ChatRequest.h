// A chat request as read from the wire.
#pragma once

#include "Refusal.h"

#include <runtime/HttpMessage.h>
#include <session/SessionToken.h>

#include <optional>
#include <string>
#include <variant>

namespace basilnotch {

struct ChatRequest
{
    std::string workspace;
    std::string model; ///< Empty: the router chooses by task.
    std::string task = "default";
    bool streamed = false;
    std::string messagesJson; ///< The `messages` list, passed on as it came.
    std::string promptText;   ///< All contents, for rating and token estimate.
    int promptTokens = 0;
    std::uint64_t prefixHash = 0; ///< Of the system message, which requests of a task share.
    int prefixTokens = 0;
    int maxTokens = 0;       ///< 0: not given.
    std::string fingerprint; ///< Digest of workspace-independent content: finds poisonous requests.
    std::optional<Session> session;
    std::string callerSessionId; ///< A session id of the caller's own making; pinned durably.
    Duration deadline{};         ///< Zero: none.
};

/// Rough count of tokens: four bytes each, as for English text.
int estimateTokens(std::string_view text);

/// Parses body and headers. `workspace` has been authenticated.
std::variant<ChatRequest, Refusal> readChatRequest(const HttpRequest &request,
                                                   const std::string &workspace,
                                                   std::string_view sessionKey);

} // namespace basilnotch
