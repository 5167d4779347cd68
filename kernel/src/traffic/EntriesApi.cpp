// There is no balancer: the order of this answer is what spreads callers.
#include "EntriesApi.h"

#include "control/ControlThread.h"

#include <boost/json.hpp>

#include <algorithm>

namespace basilnotch {

namespace json = boost::json;

EntriesApi::EntriesApi(TrafficContext &context, std::uint64_t seed)
    : context(context)
    , random(seed)
{ }

void EntriesApi::handle(HttpExchange &exchange)
{
    const auto snapshot = this->context.control.snapshot();
    const std::string_view domain = exchange.request().query("failureDomain");
    std::vector<Member> usable;
    for (const Member &member : snapshot->members) {
        if (member.state == MemberState::Alive) {
            usable.push_back(member);
        }
    }
    std::shuffle(usable.begin(), usable.end(), this->random);
    std::stable_partition(usable.begin(), usable.end(), [&](const Member &member) {
        return !domain.empty() && member.failureDomain == domain;
    });
    json::array entries;
    for (const Member &member : usable) {
        entries.push_back({{"name", member.name},
                           {"address", member.callers.text()},
                           {"failureDomain", member.failureDomain}});
    }
    const auto ttl =
        std::chrono::duration_cast<milliseconds>(this->context.settings.timing.entriesTtl).count();
    HttpResponse response =
        jsonResponse(200, json::serialize(json::object{{"ttlMs", ttl}, {"entries", entries}}));
    response.headers.add("Cache-Control",
                         "max-age=" + std::to_string(std::max<long>(1, ttl / 1000)));
    (void)exchange.respond(response);
}

} // namespace basilnotch
