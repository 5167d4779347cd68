// Every event is checked against the request id: an answer that crossed with another one must not
// reach the caller.
#include "ModelCall.h"

#include <runtime/HttpStatus.h>

#include "ChatRequest.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace basilnotch {

namespace json = boost::json;

namespace {

constexpr std::string_view kEnd = "[DONE]";

std::string wireBody(const ChatRequest &request, const ModelCallOptions &options)
{
    std::string body =
        absl::StrCat("{\"model\":\"", options.version.model, "@", options.version.version,
                     "\",\"stream\":true,\"messages\":", request.messagesJson);
    if (request.maxTokens > 0) {
        absl::StrAppend(&body, ",\"max_tokens\":", request.maxTokens);
    }
    return body + "}";
}

/// Text and finish mark of one chunk; false when it is malformed.
bool readChunk(const json::object &chunk, ModelToken *token)
{
    const json::value *choices = chunk.if_contains("choices");
    if (!choices || !choices->is_array() || choices->as_array().empty()
        || !choices->as_array()[0].is_object()) {
        return false;
    }
    const json::object &choice = choices->as_array()[0].as_object();
    if (const json::value *delta = choice.if_contains("delta"); delta && delta->is_object()) {
        const json::value *content = delta->as_object().if_contains("content");
        token->text = content && content->is_string() ? std::string(content->as_string()) : "";
    }
    const json::value *finish = choice.if_contains("finish_reason");
    token->last = finish && finish->is_string();
    return true;
}

} // namespace

ModelCall::ModelCall(HttpClient &client, const UpstreamSettings &upstream,
                     const ChatRequest &request, ModelCallOptions options,
                     const TraceContext &trace)
    : client(client)
    , upstream(upstream)
    , options(std::move(options))
{
    this->wire = {"POST",
                  "/v1/chat/completions",
                  {{"Content-Type", "application/json"}},
                  wireBody(request, this->options)};
    this->wire.headers.add("X-Request-Id", this->options.requestId);
    this->wire.headers.add("X-Priority", std::to_string(this->options.priority));
    this->wire.headers.add("traceparent", trace.header());
    if (request.prefixHash != 0) {
        this->wire.headers.add(
            "X-Prefix", absl::StrCat(absl::Hex(request.prefixHash), ":", request.prefixTokens));
    }
    if (this->options.resumeFrom > 0) {
        this->wire.headers.add("X-Resume-From", std::to_string(this->options.resumeFrom));
    }
}

absl::Status ModelCall::open()
{
    CallOptions call;
    call.timeout = this->options.firstByteTimeout;
    call.isStillWanted = this->options.isStillWanted;
    auto opened = this->client.open(this->upstream.endpoint, this->wire, call, &this->canceller);
    if (!opened.ok()) {
        return opened.status();
    }
    this->stream = std::move(*opened);
    if (this->stream->status() == status::kOk) {
        return absl::OkStatus();
    }
    const absl::StatusCode code = this->stream->status() == status::kNotFound
        ? absl::StatusCode::kNotFound
        : absl::StatusCode::kInternal;
    return failure(code, "open answer", this->upstream.name,
                   absl::StrCat("status ", this->stream->status()));
}

absl::StatusOr<std::optional<ModelToken>> ModelCall::next()
{
    if (this->ended) {
        return std::nullopt;
    }
    std::optional<std::string> event = this->events.next();
    while (!event) {
        absl::StatusOr<std::string> part = this->stream->readSome(this->options.gapTimeout);
        if (!part.ok()) {
            return part.status();
        }
        if (part->empty()) {
            return failure(absl::StatusCode::kUnavailable, "read answer", this->upstream.name,
                           "the stream ended before its end mark");
        }
        if (!this->events.add(*part)) {
            return failure(absl::StatusCode::kResourceExhausted, "read answer", this->upstream.name,
                           "event too large");
        }
        event = this->events.next();
    }
    if (*event == kEnd) {
        if (!this->finished) {
            return failure(absl::StatusCode::kInternal, "read answer", this->upstream.name,
                           "an end mark without a finish mark");
        }
        this->ended = true;
        (void)this->stream->readSome(
            this->options.gapTimeout); // Takes the last chunk, so that the connection can be kept.
        return std::nullopt;
    }
    json::error_code error;
    const json::value chunk = json::parse(*event, error);
    ModelToken token;
    if (error || !chunk.is_object() || !readChunk(chunk.as_object(), &token)) {
        return failure(absl::StatusCode::kInternal, "read answer", this->upstream.name,
                       "malformed event");
    }
    const json::value *id = chunk.as_object().if_contains("id");
    if (!id || !id->is_string() || id->as_string() != this->options.requestId) {
        return failure(absl::StatusCode::kDataLoss, "check answer", this->upstream.name,
                       "the answer belongs to another request");
    }
    this->finished = this->finished || token.last;
    token.event = *std::move(event);
    return token;
}

void ModelCall::cancel()
{
    this->canceller.cancel();
    if (this->stream) {
        this->stream->close();
    }
}

} // namespace basilnotch
