// All handlers respond immediately from the current view, except for caller requests, which
// RequestForwarder handles.
#include "SiteHandlers.h"

#include "RequestForwarder.h"

#include "site/SiteControl.h"

#include <decision/EntryChoice.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpStatus.h>

#include <algorithm>

namespace basilnotch {

namespace {

/// Short, so that callers soon stop using an instance that is gone; a directory query is cheap.
constexpr Duration kDirectoryTtl = seconds(1);
/// A starting instance receives its configuration from the store or its peers within some tens of
/// milliseconds; a rejected caller would retry later than that.
constexpr Duration kStartupTimeout = milliseconds(250);
constexpr Duration kStartupPollInterval = milliseconds(5);
/// By then the next attempt to confirm the configuration has been made.
constexpr Duration kRetryAfterUnconfirmed = milliseconds(500);
/// A body waits for memory for longer than others take to be sent on.
constexpr Duration kRetryAfterNoMemory = seconds(1);
constexpr std::int64_t kNeverConfirmed = -1; ///< In the log.

} // namespace

RelayHandler::RelayHandler(RelayContext &context)
    : context(context)
    , requests(context.metrics.counter("requests_total"))
    , rejectedRequests(context.metrics.counter("requests_turned_away_total"))
    , malformedRequests(context.metrics.counter("requests_malformed_total"))
    , abandonedRequests(context.metrics.counter("requests_abandoned_total"))
    , latency(context.metrics.histogram("request_seconds"))
{ }

void RelayHandler::handle(HttpExchange &exchange)
{
    this->requests.add();
    const TimePoint startedAt = this->context.clock.now();
    this->waitForConfiguration();
    Admission admitted = this->admit(exchange.request(), startedAt);
    if (const auto *problem = std::get_if<AdmissionError>(&admitted)) {
        this->reject(exchange, *problem);
        return;
    }
    RequestForwarder(this->context, std::get<AdmittedRequest>(std::move(admitted)), exchange).run();
    this->latency.record(this->context.clock.now() - startedAt);
}

Admission RelayHandler::admit(const HttpRequest &request, TimePoint arrivedAt)
{
    const auto dependsOnCatalog = [](const Admission &admission) {
        const auto *problem = std::get_if<AdmissionError>(&admission);
        return problem && problem->dependsOnCatalog;
    };
    const bool wasConfirmed = this->context.control.isCatalogConfirmed();
    Admission first = admitRequest(request, arrivedAt, this->context);
    if (wasConfirmed || !dependsOnCatalog(first)) {
        return first;
    }
    const bool isConfirmed = this->context.control.confirmCatalog();
    Admission second = admitRequest(request, arrivedAt, this->context);
    if (!isConfirmed && dependsOnCatalog(second)) {
        return AdmissionError{status::kUnavailable, "the configuration may be out of date",
                              kRetryAfterUnconfirmed};
    }
    return second;
}

void RelayHandler::reject(HttpExchange &exchange, const AdmissionError &problem)
{
    const CallerHeaders caller = this->context.requestCodec.parseCallerHeaders(exchange.request());
    const std::shared_ptr<const SiteView> view = this->context.control.view();
    const SiteKnowledge knowledge = this->context.control.knowledge();
    const std::int64_t confirmedMs =
        knowledge.sinceConfirmed ? wholeMillis(*knowledge.sinceConfirmed) : kNeverConfirmed;
    this->rejectedRequests.add();
    this->context.log.write(LogKind::Failure, "request turned away",
                            {{"request", caller.requestId},
                             {"reason", problem.reason},
                             {"status", std::int64_t{problem.status}},
                             {"configuration", view->catalog ? view->catalog->version() : 0},
                             {"confirmedMs", confirmedMs},
                             {"heardMs", wholeMillis(knowledge.sinceHeard)},
                             {"liveInstances", std::int64_t{view->liveInstances}},
                             {"runningMs", wholeMillis(knowledge.running)}});
    (void)exchange.respond(
        this->context.requestCodec.refusal(problem.status, problem.reason, problem.retryAfter));
}

void RelayHandler::waitForConfiguration()
{
    const TimePoint until = this->context.clock.now() + kStartupTimeout;
    while (this->context.clock.now() < until) {
        const std::shared_ptr<const SiteView> view = this->context.control.view();
        if (view->catalog && view->upstreams->size() > 0) {
            return;
        }
        this->context.runtime.sleepFor(kStartupPollInterval);
    }
}

void RelayHandler::abandoned(const HttpRequest &request)
{
    const CallerHeaders caller = this->context.requestCodec.parseCallerHeaders(request);
    this->requests.add();
    this->abandonedRequests.add();
    this->context.log.write(LogKind::Failure, "caller gone",
                            {{"request", caller.requestId}, {"sends", std::int64_t{0}}});
}

HttpResponse RelayHandler::malformed(int status, std::string_view text)
{
    this->malformedRequests.add();
    this->context.log.write(LogKind::Failure, "request malformed",
                            {{"reason", text}, {"status", std::int64_t{status}}});
    const bool mayRetry = status == status::kUnavailable;
    return this->context.requestCodec.refusal(
        status, text, mayRetry ? std::optional<Duration>(kRetryAfterNoMemory) : std::nullopt);
}

void DirectoryHandler::handle(HttpExchange &exchange)
{
    const std::optional<DirectoryQuery> query =
        this->context.requestCodec.parseDirectoryQuery(exchange.request());
    if (!query) {
        (void)exchange.respond(
            this->context.requestCodec.refusal(status::kNotFound, "no such call", std::nullopt));
        return;
    }
    const std::shared_ptr<const SiteView> view = this->context.control.view();
    const std::vector<DirectoryEntry> &entries = view->directory;
    if (!view->catalog || entries.empty()) {
        (void)exchange.respond(this->context.requestCodec.refusal(
            status::kUnavailable, "no instance known", std::nullopt));
        return;
    }
    std::vector<EntryCandidate> candidates;
    for (const DirectoryEntry &entry : entries) {
        candidates.push_back({entry.failureDomain, entry.capacity});
    }
    std::vector<Endpoint> addresses;
    for (const std::size_t index :
         chooseEntries(candidates, query->failureDomain, this->random,
                       {.fullListMaxInstances = kMaxSmallSiteInstances})) {
        addresses.push_back(entries[index].callers);
    }
    const Duration ttl = std::min(kDirectoryTtl, view->bounds.directoryTtlMax);
    (void)exchange.respond(this->context.requestCodec.directoryResponse(addresses, ttl));
}

HttpResponse AuxiliaryHandler::malformed(int status, std::string_view text)
{
    return this->context.requestCodec.refusal(status, text, std::nullopt);
}

void ReadinessHandler::handle(HttpExchange &exchange)
{
    const bool known = this->context.requestCodec.isReadinessCheck(exchange.request());
    const bool ready = this->context.control.view()->acceptsRequests();
    const int status = !known ? status::kNotFound : ready ? status::kOk : status::kUnavailable;
    (void)exchange.respond({status, {}, ""});
}

void MetricsHandler::handle(HttpExchange &exchange)
{
    (void)exchange.respond(
        {status::kOk, {{"Content-Type", "text/plain"}}, this->context.metrics.print()});
}

} // namespace basilnotch
