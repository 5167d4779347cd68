// The error object has the fields of the OpenAI format and two of our own: run and step.
#include "Refusal.h"

#include <boost/json.hpp>

#include <cmath>

namespace basilnotch {

std::string Refusal::json() const
{
    boost::json::object error{
        {"type", this->type}, {"message", this->message}, {"run", runStateName(this->run)}};
    if (!this->site.step.empty()) {
        error["step"] = this->site.step;
        error["peer"] = this->site.peer;
    }
    return boost::json::serialize(boost::json::object{{"error", error}});
}

HttpResponse Refusal::response() const
{
    HttpResponse response = jsonResponse(this->status, this->json());
    if (this->retryAfter > Duration::zero()) {
        const auto wait = static_cast<long>(std::ceil(toSeconds(this->retryAfter)));
        response.headers.add("Retry-After", std::to_string(wait));
    }
    return response;
}

Refusal refusalFor(const absl::Status &status, RunState run)
{
    Refusal refusal;
    const bool timeout = absl::IsDeadlineExceeded(status);
    constexpr int kGatewayTimeout = 504;
    constexpr int kBadGateway = 502;
    refusal.status = timeout ? kGatewayTimeout : kBadGateway;
    refusal.type = timeout ? "upstream_timeout" : "upstream_failed";
    refusal.message = describe(status);
    refusal.run = run;
    refusal.site = failureSite(status);
    return refusal;
}

} // namespace basilnotch
