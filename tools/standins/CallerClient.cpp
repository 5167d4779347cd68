// See CallerClient.h.
#include "CallerClient.h"

#include <runtime/HttpStatus.h>

#include "StandinServer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace basilnotch {

namespace json = boost::json;

namespace {

std::string chatBody(const ChatCall &call)
{
    json::object body{{"stream", call.stream},
                      {"messages", json::array{{{"role", "user"}, {"content", call.prompt}}}}};
    if (!call.model.empty()) {
        body["model"] = call.model;
    }
    if (call.maxTokens > 0) {
        body["max_tokens"] = call.maxTokens;
    }
    return json::serialize(body);
}

void readError(const std::string &body, ChatOutcome *outcome)
{
    const json::object object = jsonBody(body);
    const json::value *error = object.if_contains("error");
    if (error && error->is_object()) {
        outcome->errorType = jsonText(error->as_object(), "type");
        outcome->run = jsonText(error->as_object(), "run");
    }
}

/// Takes one event; true at the end mark.
bool readEvent(std::string_view event, ChatOutcome *outcome)
{
    if (event.starts_with("event: error")) {
        readError(std::string(event.substr(event.find("data: ") + 6)), outcome);
        return false;
    }
    if (!event.starts_with("data: ")) {
        return false;
    }
    event.remove_prefix(6);
    if (event == "[DONE]") {
        return true;
    }
    const json::object chunk = jsonBody(event);
    const json::object &delta =
        chunk.at("choices").as_array().at(0).as_object().at("delta").as_object();
    const std::string text = jsonText(delta, "content");
    outcome->text += text;
    outcome->tokens += text.empty() ? 0 : 1;
    return false;
}

} // namespace

CallerClient::CallerClient(FiberRuntime &runtime, std::vector<Endpoint> seeds, std::uint64_t seed)
    : runtime(runtime)
    , client(runtime)
    , seeds(std::move(seeds))
    , random(seed)
{ }

std::vector<Endpoint> CallerClient::entries(const std::string &failureDomain)
{
    if (!this->kept.empty() && SystemClock().now() < this->keptUntil) {
        return this->kept;
    }
    std::vector<Endpoint> asked = this->kept.empty() ? this->seeds : this->kept;
    asked.insert(asked.end(), this->seeds.begin(), this->seeds.end());
    for (const Endpoint &seed : asked) {
        CallOptions options;
        options.timeout = seconds(1);
        const auto response = this->client.call(
            seed, {"GET", "/v1/entries?failureDomain=" + failureDomain, {}, ""}, options);
        if (!response.ok() || response->status != status::kOk) {
            continue;
        }
        const json::object body = jsonBody(response->body);
        std::vector<Endpoint> found;
        for (const json::value &item : body.at("entries").as_array()) {
            Endpoint endpoint;
            if (parseEndpoint(jsonText(item.as_object(), "address"), &endpoint)) {
                found.push_back(endpoint);
            }
        }
        if (!found.empty()) {
            this->kept = std::move(found);
            this->keptUntil =
                SystemClock().now() + std::chrono::milliseconds(jsonNumber(body, "ttlMs", 1000));
            return this->kept;
        }
    }
    this->kept.clear();
    return this->seeds;
}

absl::StatusOr<HttpResponse> CallerClient::request(const Endpoint &entry, HttpRequest request,
                                                   const std::string &key, Duration timeout)
{
    request.headers.add("Authorization", "Bearer " + key);
    CallOptions options;
    options.timeout = timeout;
    return this->client.call(entry, request, options);
}

ChatOutcome CallerClient::chat(const Endpoint &entry, const ChatCall &call)
{
    HttpRequest request{
        "POST", "/v1/chat/completions", {{"Content-Type", "application/json"}}, chatBody(call)};
    request.headers.add("Authorization", "Bearer " + call.key);
    request.headers.add("X-Task", call.task);
    if (!call.sessionToken.empty()) {
        request.headers.add("X-Session-Token", call.sessionToken);
    }
    if (!call.sessionId.empty()) {
        request.headers.add("X-Session-Id", call.sessionId);
    }
    ChatOutcome outcome;
    const auto start = SystemClock().now();
    CallOptions options;
    options.timeout = call.timeout;
    auto stream = this->client.open(entry, request, options);
    if (!stream.ok()) {
        outcome.cut = true;
        outcome.run =
            sendProgress(stream.status()) == SendProgress::NothingSent ? "not_run" : "unknown";
        return outcome;
    }
    outcome.status = (*stream)->status();
    outcome.model = std::string((*stream)->headers().find("X-Model"));
    outcome.sessionToken = std::string((*stream)->headers().find("X-Session-Token"));
    if (outcome.status != status::kOk || !call.stream) {
        const auto body = (*stream)->readAll(call.timeout, HttpClient::kMaxCallBytes);
        outcome.cut = !body.ok();
        if (body.ok() && outcome.status == status::kOk) {
            const json::object answer = jsonBody(*body);
            outcome.text = jsonText(
                answer.at("choices").as_array().at(0).as_object().at("message").as_object(),
                "content");
            outcome.whole = true;
        } else if (body.ok()) {
            readError(*body, &outcome);
        }
        return outcome;
    }
    std::string buffer;
    while (!outcome.whole) {
        const auto part = (*stream)->readSome(call.timeout);
        if (!part.ok() || part->empty()) {
            outcome.cut = true;
            return outcome;
        }
        if (outcome.firstToken == Duration::zero()) {
            outcome.firstToken = SystemClock().now() - start;
        }
        buffer += *part;
        std::size_t end = 0;
        while (!outcome.whole && (end = buffer.find("\n\n")) != std::string::npos) {
            outcome.whole = readEvent(std::string_view(buffer).substr(0, end), &outcome);
            buffer.erase(0, end + 2);
            if (call.cancelAfter >= 0 && outcome.tokens >= call.cancelAfter) {
                return outcome;
            }
        }
    }
    (void)(*stream)->readSome(call.timeout); // The end of the body, so that the connection is kept.
    return outcome;
}

} // namespace basilnotch
