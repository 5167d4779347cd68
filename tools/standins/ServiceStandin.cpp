// It does not look at the idempotency key except to count by it: every call takes effect.
#include "ServiceStandin.h"

#include <runtime/HttpStatus.h>

namespace basilnotch {

namespace json = boost::json;

void ServiceStandin::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string_view path = request.path();
    if (path == "/v1/load") {
        (void)exchange.respond(
            jsonResponse(status::kOk,
                         json::serialize(json::object{
                             {"running", this->running}, {"queued", 0}, {"ageMs", 100}})));
        return;
    }
    if (path == "/control") {
        const json::object body = jsonBody(request.body);
        this->faults.delay = milliseconds(jsonNumber(body, "delayMs"));
        this->faults.loseAnswer = jsonFlag(body, "loseAnswer");
        (void)exchange.respond(jsonResponse(status::kOk, "{}"));
        return;
    }
    if (path == "/runs") {
        json::object counts;
        for (const auto &[key, count] : this->runs) {
            counts[key] = count;
        }
        (void)exchange.respond(jsonResponse(status::kOk, json::serialize(counts)));
        return;
    }
    ++this->running;
    json::object answer;
    if (path.starts_with("/stock/")) {
        ++this->reads;
        answer = {{"item", path.substr(7)}, {"onHand", 41}};
    } else if (path == "/confirm") {
        const std::string key(request.headers.find("Idempotency-Key"));
        const int run = ++this->runs[key];
        answer = {{"confirmed", key}, {"run", run}};
    }
    if (this->faults.delay > Duration::zero()) {
        this->runtime.sleepFor(this->faults.delay);
    }
    --this->running;
    if (this->faults.loseAnswer) {
        exchange.abortStream();
        return;
    }
    (void)exchange.respond(answer.empty() ? jsonResponse(status::kNotFound, "{}")
                                          : jsonResponse(status::kOk, json::serialize(answer)));
}

} // namespace basilnotch
