// /SERVICE/PATH: plain services beside the model engines. Calls that may be repeated are retried
// and hedged; the others run at most once.
#pragma once

#include "Refusal.h"
#include "TrafficContext.h"

#include <claims/ClaimKeeper.h>
#include <runtime/HttpClient.h>
#include <runtime/HttpServer.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basilnotch {

struct ReceiptGate;

/// A call as it goes to the service.
struct ServiceCall
{
    std::string workspace;
    std::string service;
    bool repeatable = false;
    HttpRequest wire;
    std::string idempotencyKey;
    std::string receiptId;
};

/// Traffic thread only.
class ServiceApi
{
public:
    explicit ServiceApi(TrafficContext &context);

    /// True when some upstream offers `service`.
    bool offers(std::string_view service) const;
    void handle(HttpExchange &exchange, const std::string &workspace);

private:
    struct Attempt;

    std::optional<Refusal> prepare(const HttpExchange &exchange, const std::string &workspace,
                                   ServiceCall *call) const;
    void runRepeatable(HttpExchange &exchange, const ServiceCall &call);
    void runOnce(HttpExchange &exchange, const ServiceCall &call);
    HttpResponse callOnce(const ServiceCall &call, const ClaimTicket &ticket);
    HttpResponse refusalForClaim(const ClaimDecision &decision) const;
    void record(const ClaimTicket &ticket, const RecordedAnswer &answer);
    void releaseLater(const ClaimTicket &ticket);
    std::optional<RouteChoice> choose(const ServiceCall &call, UpstreamIndex avoid,
                                      std::string_view avoidDomain);
    /// One exchange with a server, within `options.timeout` once the connection is there. An answer
    /// that ends with its connection is an error: it can't be told from a cut one.
    absl::StatusOr<HttpResponse> callService(const UpstreamSettings &upstream,
                                             const HttpRequest &wire, const CallOptions &options,
                                             CallCanceller *canceller);
    void startAttempt(const std::shared_ptr<Attempt> &attempt, const ServiceCall &call,
                      const RouteChoice &choice);
    void answer(HttpExchange &exchange, const ServiceCall &call, const HttpResponse &response,
                const std::shared_ptr<ReceiptGate> &gate);
    Duration hedgeDelay() const;

    TrafficContext &context;
    ClaimKeeper claims;
    int unrecorded = 0; ///< Answers and releases that still have to reach the table; bounded.
};

} // namespace basilnotch
