// Accepts the OpenAI wire format; everything that this product adds travels in headers.
#include "ChatRequest.h"

#include <base/Hash.h>
#include <runtime/HttpStatus.h>

#include <absl/strings/numbers.h>
#include <boost/json.hpp>

#include <algorithm>

namespace basilnotch {

namespace json = boost::json;

namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::int64_t kMaxDeadlineMillis = 3'600'000;

Refusal invalid(std::string message)
{
    return {status::kBadRequest, "invalid_request", std::move(message), RunState::NotRun, {}, {}};
}

bool isPlainName(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxNameBytes
        && std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':';
           });
}

/// Adds a message's text to the prompt; false when the message is malformed.
bool readMessage(const json::value &value, ChatRequest &request)
{
    if (!value.is_object()) {
        return false;
    }
    const json::object &message = value.as_object();
    const json::value *role = message.if_contains("role");
    const json::value *content = message.if_contains("content");
    if (!role || !role->is_string() || !content || !content->is_string()) {
        return false;
    }
    const std::string_view text = content->as_string();
    if (role->as_string() == "system" && request.prefixHash == 0) {
        request.prefixHash = hash64(text, hash64(request.workspace));
        request.prefixTokens = estimateTokens(text);
    }
    request.promptText += text;
    request.promptText += '\n';
    return true;
}

std::optional<Refusal> readBody(const json::object &body, ChatRequest &request)
{
    const json::value *messages = body.if_contains("messages");
    if (!messages || !messages->is_array() || messages->as_array().empty()) {
        return invalid("messages: a list of at least one message is wanted");
    }
    for (const json::value &message : messages->as_array()) {
        if (!readMessage(message, request)) {
            return invalid("messages: each one is an object with role and content in text");
        }
    }
    request.messagesJson = json::serialize(*messages);
    if (const json::value *model = body.if_contains("model")) {
        if (!model->is_string()) {
            return invalid("model: a name is wanted");
        }
        const std::string name(model->as_string());
        request.model = name == "auto" ? "" : name;
    }
    if (const json::value *stream = body.if_contains("stream")) {
        if (!stream->is_bool()) {
            return invalid("stream: true or false is wanted");
        }
        request.streamed = stream->as_bool();
    }
    if (const json::value *most = body.if_contains("max_tokens")) {
        constexpr std::int64_t kMostTokens = 1'000'000;
        if (!most->is_int64() || most->as_int64() < 1 || most->as_int64() > kMostTokens) {
            return invalid("max_tokens: a whole number from 1 to 1000000 is wanted");
        }
        request.maxTokens = static_cast<int>(most->as_int64());
    }
    return std::nullopt;
}

std::optional<Refusal> readHeaders(const HttpRequest &http, ChatRequest &request,
                                   std::string_view sessionKey)
{
    if (const std::string_view task = http.headers.find("X-Task"); !task.empty()) {
        if (!isPlainName(task)) {
            return invalid("X-Task: a name of letters, digits, '-', '_' and '.' is wanted");
        }
        request.task = std::string(task);
    }
    if (const std::string_view millis = http.headers.find("X-Deadline-Ms"); !millis.empty()) {
        std::int64_t count = 0;
        if (!absl::SimpleAtoi(absl::string_view(millis.data(), millis.size()), &count) || count < 1
            || count > kMaxDeadlineMillis) {
            return invalid("X-Deadline-Ms: a whole number from 1 to 3600000 is wanted");
        }
        request.deadline = milliseconds(count);
    }
    if (const std::string_view token = http.headers.find("X-Session-Token"); !token.empty()) {
        auto session = verifyToken(token, request.workspace, sessionKey);
        if (!session.ok()) {
            return Refusal{status::kForbidden,
                           "wrong_session_token",
                           std::string(session.status().message()),
                           RunState::NotRun,
                           {},
                           failureSite(session.status())};
        }
        request.session = *std::move(session);
    } else if (const std::string_view id = http.headers.find("X-Session-Id"); !id.empty()) {
        if (!isPlainName(id)) {
            return invalid(
                "X-Session-Id: up to 128 letters, digits, '-', '_', '.' and ':' are wanted");
        }
        request.callerSessionId = std::string(id);
    }
    return std::nullopt;
}

} // namespace

int estimateTokens(std::string_view text)
{
    return static_cast<int>((text.size() + kBytesPerToken - 1) / kBytesPerToken);
}

std::variant<ChatRequest, Refusal>
readChatRequest(const HttpRequest &http, const std::string &workspace, std::string_view sessionKey)
{
    ChatRequest request;
    request.workspace = workspace;
    json::error_code error;
    const json::value body = json::parse(http.body, error);
    if (error || !body.is_object()) {
        return invalid("the body is not a JSON object: "
                       + (error ? error.message() : std::string("another value")));
    }
    if (auto refusal = readBody(body.as_object(), request)) {
        return *refusal;
    }
    if (auto refusal = readHeaders(http, request, sessionKey)) {
        return *refusal;
    }
    request.promptTokens = estimateTokens(request.promptText);
    request.fingerprint = digestHex(request.messagesJson);
    return request;
}

} // namespace basilnotch
