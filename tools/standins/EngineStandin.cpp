// Paces tokens in real time; every third cache event is lost and the others are reported late, with
// the next load report.
#include "EngineStandin.h"

#include "StandinAnswer.h"

#include <runtime/HttpClient.h>
#include <runtime/HttpStatus.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace basilnotch {

namespace json = boost::json;

namespace {

constexpr int kReportAgeMillis = 100;
constexpr std::size_t kMaxCacheEvents = 256;

std::string promptOf(const json::object &body)
{
    std::string prompt;
    for (const json::value &message : body.at("messages").as_array()) {
        prompt += jsonText(message.as_object(), "content") + "\n";
    }
    return prompt;
}

std::string chunk(std::string_view id, std::string_view text, bool last)
{
    const json::object delta = last ? json::object{} : json::object{{"content", text}};
    const json::value finish = last ? json::value("stop") : json::value(nullptr);
    const json::object choice{{"index", 0}, {"delta", delta}, {"finish_reason", finish}};
    const json::object event{
        {"id", id}, {"object", "chat.completion.chunk"}, {"choices", json::array{choice}}};
    return "data: " + json::serialize(event) + "\n\n";
}

} // namespace

EngineStandin::EngineStandin(FiberRuntime &runtime, Endpoint listen, EngineOptions options)
    : StandinServer(runtime, std::move(listen))
    , options(std::move(options))
    , wanted(this->options.loaded)
{ }

void EngineStandin::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string_view path = request.path();
    if (path == "/v1/chat/completions") {
        this->complete(exchange);
    } else if (path == "/v1/load") {
        (void)exchange.respond(this->load());
    } else if (path == "/v1/orders") {
        (void)exchange.respond(this->order(jsonBody(request.body)));
    } else if (path == "/stats") {
        (void)exchange.respond(this->stats());
    } else if (path == "/control") {
        const json::object body = jsonBody(request.body);
        this->faults.answerDelay = milliseconds(jsonNumber(body, "answerDelayMs"));
        this->faults.crossed = jsonFlag(body, "crossed");
        this->faults.cutAfter = static_cast<int>(jsonNumber(body, "cutAfter"));
        this->faults.bad = jsonFlag(body, "bad");
        this->faults.fails = jsonFlag(body, "fails");
        this->faults.leaving = jsonFlag(body, "leaving");
        (void)exchange.respond(jsonResponse(status::kOk, "{}"));
    } else {
        (void)exchange.respond(jsonResponse(status::kNotFound, "{}"));
    }
}

HttpResponse EngineStandin::load()
{
    json::array loaded;
    for (const std::string &version : this->options.loaded) {
        loaded.emplace_back(version);
    }
    json::array events(this->cacheEvents.begin(), this->cacheEvents.end());
    this->cacheEvents.clear();
    return jsonResponse(
        status::kOk,
        json::serialize(json::object{{"running", std::min(this->running, this->options.slots)},
                                     {"queued", std::max(0, this->running - this->options.slots)},
                                     {"queuedPrefillTokens", 0},
                                     {"leaving", this->faults.leaving},
                                     {"loading", this->loading},
                                     {"ageMs", kReportAgeMillis},
                                     {"loaded", loaded},
                                     {"cacheEvents", events}}));
}

HttpResponse EngineStandin::stats() const
{
    json::object runs;
    for (const auto &[version, count] : this->runsByVersion) {
        runs[version] = count;
    }
    return jsonResponse(status::kOk,
                        json::serialize(json::object{{"runs", runs},
                                                     {"running", this->running},
                                                     {"generated", this->generated},
                                                     {"cancelled", this->cancelled},
                                                     {"ordersTaken", this->ordersTaken},
                                                     {"unloads", this->unloads},
                                                     {"ordersRefused", this->ordersRefused},
                                                     {"highestFence", this->highestFence}}));
}

void EngineStandin::loadVersion(const std::string &version)
{
    ++this->loading;
    this->runtime.spawn([this, version] {
        HttpClient client(this->runtime);
        bool got = this->options.platform.port == 0;
        while (!got) {
            const auto response =
                client.call(this->options.platform, {"POST", "/weights", {}, "{}"}, {});
            got = response.ok() && response->status == status::kOk;
            if (!got) {
                this->runtime.sleepFor(milliseconds(50));
            }
        }
        --this->loading;
        if (this->wanted.contains(version)) {
            this->options.loaded.insert(version);
        }
    });
}

HttpResponse EngineStandin::order(const json::object &body)
{
    const auto fence = static_cast<std::uint64_t>(jsonNumber(body, "fence"));
    if (this->options.checksFencing && fence < this->highestFence) {
        ++this->ordersRefused;
        return jsonResponse(status::kConflict,
                            json::serialize(json::object{{"fence", this->highestFence}}));
    }
    this->highestFence = std::max(this->highestFence, fence);
    ++this->ordersTaken;
    std::set<std::string> next;
    for (const json::value &version : body.at("wanted").as_array()) {
        next.emplace(version.as_string());
    }
    for (const std::string &version : next) {
        if (!this->options.loaded.contains(version) && !this->wanted.contains(version)) {
            this->loadVersion(version);
        }
    }
    this->unloads += static_cast<std::int64_t>(std::erase_if(
        this->options.loaded, [&](const std::string &version) { return !next.contains(version); }));
    this->wanted = std::move(next);
    return jsonResponse(status::kOk, "{}");
}

void EngineStandin::complete(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const json::object body = jsonBody(request.body);
    const std::string version = jsonText(body, "model");
    if (!this->options.loaded.contains(version)) {
        (void)exchange.respond(jsonResponse(status::kNotFound, R"({"error":"not loaded"})"));
        return;
    }
    const std::string prompt = promptOf(body);
    ++this->runsByVersion[version];
    if (prompt.find(kPoisonWord) != std::string::npos) {
        std::_Exit(3); // A request that crashes each engine that runs it.
    }
    if (this->faults.fails) {
        (void)exchange.respond(jsonResponse(status::kInternalError, "{}"));
        return;
    }
    const std::string prefix(request.headers.find("X-Prefix"));
    const std::size_t cut = prefix.find(':');
    const bool lost = this->runsByVersion[version] % 3 == 0;
    if (cut != std::string::npos && !lost && this->cacheEvents.size() < kMaxCacheEvents) {
        int tokens = 0;
        (void)absl::SimpleAtoi(prefix.substr(cut + 1), &tokens);
        this->cacheEvents.push_back({{"prefix", prefix.substr(0, cut)}, {"tokens", tokens}});
    }
    int from = 0;
    const std::string_view resume = request.headers.find("X-Resume-From");
    (void)absl::SimpleAtoi(absl::string_view(resume.data(), resume.size()), &from);
    const auto tokens = static_cast<int>(jsonNumber(body, "max_tokens", kStandinTokens));
    ++this->running;
    this->stream(exchange, prompt, tokens, from);
    --this->running;
}

void EngineStandin::stream(HttpExchange &exchange, const std::string &prompt, int tokens, int from)
{
    const std::string id = this->faults.crossed
        ? "another-request"
        : std::string(exchange.request().headers.find("X-Request-Id"));
    exchange.onCallerGone([] {});
    this->runtime.sleepFor(this->options.firstToken + this->faults.answerDelay);
    if (!exchange.callerGone()) {
        (void)exchange.beginStream(status::kOk, {{"Content-Type", "text/event-stream"}});
    }
    const int cutAt = this->faults.cutAfter > 0 ? this->faults.cutAfter : -1;
    for (int index = from; index < tokens; ++index) {
        if (index - from == cutAt) {
            this->faults.cutAfter = 0;
            exchange.abortStream();
            return;
        }
        const bool sent = !exchange.callerGone()
            && exchange
                   .writeChunk(
                       chunk(id, this->faults.bad ? "bad " : standinToken(prompt, index), false))
                   .ok();
        ++this->generated;
        if (!sent) {
            ++this->cancelled;
            return;
        }
        this->runtime.sleepFor(this->options.step);
    }
    (void)exchange.writeChunk(chunk(id, "", true) + "data: [DONE]\n\n");
    (void)exchange.endStream();
}

} // namespace basilnotch
