// One thread serves all requests, so every write is a transaction.
#include "PlatformStandin.h"

#include <runtime/HttpStatus.h>

#include <absl/strings/match.h>

namespace basilnotch {

namespace json = boost::json;

namespace {

constexpr int kLoadsAtOnce = 2;
constexpr std::int64_t kListLimit = 10'000;
constexpr Duration kWeightTime = milliseconds(300); // Shorter than a real load, for tests.

json::object printRow(std::string_view key, const std::string &value, std::int64_t version)
{
    return {{"key", key}, {"value", value}, {"version", version}};
}

} // namespace

json::object PlatformStandin::write(const json::object &body)
{
    json::array results;
    ++this->writes;
    for (const json::value &item : body.at("writes").as_array()) {
        const json::object &wanted = item.as_object();
        const std::string key = jsonText(wanted, "key");
        const std::int64_t expected = jsonNumber(wanted, "expected");
        const auto found = this->table.find(key);
        const std::int64_t version = found == this->table.end() ? 0 : found->second.version;
        const bool applied = version == expected;
        if (applied) {
            this->table[key] = {jsonText(wanted, "value"), version + 1};
        }
        const Row &row = this->table[key];
        json::object result = printRow(key, row.value, row.version);
        result["applied"] = applied;
        results.push_back(std::move(result));
    }
    return {{"results", results}};
}

json::object PlatformStandin::list(const json::object &body) const
{
    const std::string prefix = jsonText(body, "prefix");
    const std::string after = jsonText(body, "after");
    const std::int64_t limit = jsonNumber(body, "limit", kListLimit);
    json::array rows;
    for (auto row = this->table.lower_bound(prefix);
         row != this->table.end() && row->first.starts_with(prefix); ++row) {
        if (row->first > after && static_cast<std::int64_t>(rows.size()) < limit) {
            rows.push_back(printRow(row->first, row->second.value, row->second.version));
        }
    }
    return {{"rows", rows}};
}

HttpResponse PlatformStandin::loadWeights()
{
    if (this->loadsUnderWay >= kLoadsAtOnce) {
        return jsonResponse(status::kTooMany, "{}");
    }
    ++this->loadsUnderWay;
    this->runtime.sleepFor(kWeightTime);
    --this->loadsUnderWay;
    return jsonResponse(status::kOk, "{}");
}

void PlatformStandin::control(const json::object &body)
{
    this->faults.down = jsonFlag(body, "down", this->faults.down);
    this->faults.loseAnswers = jsonFlag(body, "loseAnswers", this->faults.loseAnswers);
    this->faults.ratingsDown = jsonFlag(body, "ratingsDown", this->faults.ratingsDown);
    this->faults.delay = milliseconds(jsonNumber(
        body, "delayMs", std::chrono::duration_cast<milliseconds>(this->faults.delay).count()));
    if (const json::value *list = body.if_contains("instances")) {
        this->instances = list->as_array();
    }
}

HttpResponse PlatformStandin::answer(const HttpRequest &request)
{
    const std::string_view path = request.path();
    const json::object body = jsonBody(request.body);
    if (path == "/table/write") {
        return jsonResponse(status::kOk, json::serialize(this->write(body)));
    }
    if (path == "/table/read") {
        ++this->reads;
        const auto row = this->table.find(jsonText(body, "key"));
        return jsonResponse(
            status::kOk,
            row == this->table.end()
                ? "{}"
                : json::serialize(printRow(row->first, row->second.value, row->second.version)));
    }
    if (path == "/table/list") {
        ++this->reads;
        return jsonResponse(status::kOk, json::serialize(this->list(body)));
    }
    if (path == "/ratings") {
        const bool good = !absl::StrContains(jsonText(body, "answer"), "bad");
        return this->faults.ratingsDown
            ? jsonResponse(503, "{}")
            : jsonResponse(status::kOk, good ? R"({"good":true})" : R"({"good":false})");
    }
    if (path == "/weights") {
        return this->loadWeights();
    }
    if (path == "/objects") {
        const std::string name = jsonText(body, "name");
        if (body.contains("value")) {
            this->objects[name] = jsonText(body, "value");
        }
        return jsonResponse(status::kOk,
                            json::serialize(json::object{{"value", this->objects[name]}}));
    }
    if (path == "/instances") {
        return jsonResponse(status::kOk,
                            json::serialize(json::object{{"instances", this->instances}}));
    }
    if (path == "/v1/traces") {
        for (const json::value &group : body.at("resourceSpans").as_array()) {
            for (const json::value &scope : group.as_object().at("scopeSpans").as_array()) {
                this->spans +=
                    static_cast<std::int64_t>(scope.as_object().at("spans").as_array().size());
            }
        }
        return jsonResponse(status::kOk, "{}");
    }
    return jsonResponse(status::kNotFound, "{}");
}

void PlatformStandin::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string_view path = request.path();
    if (path == "/control") {
        this->control(jsonBody(request.body));
        (void)exchange.respond(jsonResponse(status::kOk, "{}"));
        return;
    }
    if (path == "/dump") {
        (void)exchange.respond(jsonResponse(
            status::kOk, json::serialize(this->list({{"prefix", request.query("prefix")}}))));
        return;
    }
    if (path == "/counts") {
        (void)exchange.respond(jsonResponse(status::kOk,
                                            json::serialize(json::object{{"writes", this->writes},
                                                                         {"reads", this->reads},
                                                                         {"spans", this->spans}})));
        return;
    }
    if (this->faults.delay > Duration::zero()) {
        this->runtime.sleepFor(this->faults.delay);
    }
    if (this->faults.down) {
        exchange.abortStream();
        return;
    }
    const HttpResponse response = this->answer(request);
    if (this->faults.loseAnswers && path == "/table/write") {
        exchange.abortStream();
        return;
    }
    (void)exchange.respond(response);
}

} // namespace basilnotch
