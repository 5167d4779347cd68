// At most once rests on the claim row; everything after the first byte of a claimed call is either
// the service's answer or "unknown".
#include "ServiceApi.h"

#include "DispatchDesk.h"
#include "RequestTrace.h"

#include "control/ControlThread.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpStatus.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kReceiptIdBytes = 12;
constexpr int kMaxUnrecorded = 1024;
constexpr Duration kServiceTimeout = seconds(10);
constexpr Duration kRecordRetry = milliseconds(500);
constexpr Duration kRoomWait = seconds(1);
constexpr Duration kRoomPoll = milliseconds(5);
constexpr Duration kMinHedgeDelay = milliseconds(30);
constexpr Duration kGateTimeout = seconds(2);
constexpr Duration kRetryAfter = seconds(2);
constexpr double kHedgeQuantile = 0.99;
constexpr char kServiceVersion[] = "service";

const ServiceCallSettings *findCall(const UpstreamSettings &upstream, std::string_view path)
{
    const ServiceCallSettings *best = nullptr;
    for (const ServiceCallSettings &call : upstream.calls) {
        if (path.starts_with(call.path) && (!best || call.path.size() > best->path.size())) {
            best = &call;
        }
    }
    return best;
}

bool isValidKey(std::string_view key)
{
    return !key.empty() && key.size() <= kMaxKeyBytes
        && std::all_of(key.begin(), key.end(),
                       [](unsigned char c) { return c > ' ' && c < 0x7f && c != '/'; });
}

std::string contentType(const HttpResponse &response)
{
    const std::string_view given = response.headers.find("Content-Type");
    return given.empty() ? "application/octet-stream" : std::string(given);
}

/// The service's answer without its connection headers.
HttpResponse plainAnswer(const HttpResponse &response)
{
    return {response.status, {{"Content-Type", contentType(response)}}, response.body};
}

} // namespace

/// One try of a repeatable call; shared by its fiber and the one that waits.
struct ServiceApi::Attempt
{
    std::shared_ptr<FiberEvent> done; ///< Of the waiting fiber, which may stop waiting first.
    CallCanceller canceller;
    RouteChoice choice;
    bool finished = false;
    absl::StatusOr<HttpResponse> response = absl::UnknownError("running");
};

ServiceApi::ServiceApi(TrafficContext &context)
    : context(context)
    , claims(context.platform.table())
{ }

bool ServiceApi::offers(std::string_view service) const
{
    return std::any_of(this->context.settings.upstreams.begin(),
                       this->context.settings.upstreams.end(),
                       [&](const UpstreamSettings &upstream) {
                           return !upstream.service.empty() && upstream.service == service;
                       });
}

std::optional<Refusal> ServiceApi::prepare(const HttpExchange &exchange,
                                           const std::string &workspace, ServiceCall *call) const
{
    const HttpRequest &request = exchange.request();
    const std::string target = request.target.substr(1);
    const std::size_t slash = std::min(target.find('/'), target.size());
    call->workspace = workspace;
    call->service = target.substr(0, slash);
    const std::string path = slash < target.size() ? target.substr(slash) : "/";
    const auto snapshot = this->context.control.snapshot();
    if (!snapshot->isReady(this->context.clock.now())) {
        return Refusal{status::kUnavailable, "not_ready", snapshot->notReadyMessage(),
                       RunState::NotRun,     kRetryAfter, {}};
    }
    if (!snapshot->rules->findAllowedService(workspace, call->service)) {
        return Refusal{status::kForbidden,
                       "service_not_allowed",
                       "no allow line lets this workspace call " + call->service,
                       RunState::NotRun,
                       {},
                       {}};
    }
    const auto upstream = std::find_if(
        this->context.settings.upstreams.begin(), this->context.settings.upstreams.end(),
        [&](const UpstreamSettings &item) { return item.service == call->service; });
    const ServiceCallSettings *settings = findCall(*upstream, path);
    if (!settings) {
        return Refusal{status::kNotFound,
                       "unknown_call",
                       "the settings name no call " + path + " of " + call->service,
                       RunState::NotRun,
                       {},
                       {}};
    }
    call->repeatable = settings->repeatable;
    call->idempotencyKey = std::string(request.headers.find("Idempotency-Key"));
    if (!call->repeatable && !isValidKey(call->idempotencyKey)) {
        return Refusal{status::kBadRequest,
                       "idempotency_key_needed",
                       "this call may not be repeated: an Idempotency-Key of up to 200 visible "
                       "characters without '/' is needed",
                       RunState::NotRun,
                       {},
                       {}};
    }
    call->receiptId = call->repeatable
        ? "call-" + randomHex(kReceiptIdBytes)
        : absl::StrCat("claim-", workspace, "-", call->idempotencyKey);
    call->wire = {request.method, path, {}, request.body};
    for (const char *passed : {"Content-Type", "Accept", "Idempotency-Key", "traceparent"}) {
        if (const std::string_view value = request.headers.find(passed); !value.empty()) {
            call->wire.headers.add(passed, std::string(value));
        }
    }
    call->wire.headers.add("X-Request-Id", call->receiptId);
    return std::nullopt;
}

void ServiceApi::handle(HttpExchange &exchange, const std::string &workspace)
{
    ServiceCall call;
    RequestTrace trace(this->context.clock, this->context.spans,
                       exchange.request().headers.find("traceparent"), "service");
    this->context.metrics.counter("requests_total{workspace=\"" + workspace + "\"}").add();
    const TimePoint start = this->context.clock.now();
    if (const auto refusal = this->prepare(exchange, workspace, &call)) {
        this->context.metrics.counter("requests_refused_total{type=\"" + refusal->type + "\"}")
            .add();
        (void)exchange.respond(refusal->response());
        trace.finish(true);
        return;
    }
    trace.note("service", call.service);
    call.repeatable ? this->runRepeatable(exchange, call) : this->runOnce(exchange, call);
    this->context.metrics.histogram("service_seconds").record(this->context.clock.now() - start);
    trace.finish(false);
}

std::optional<RouteChoice> ServiceApi::choose(const ServiceCall &call, UpstreamIndex avoid,
                                              std::string_view avoidDomain)
{
    RoutingPolicy &policy = this->context.desk.routing();
    RouteQuery query;
    query.version = policy.versionId({call.service, kServiceVersion});
    query.avoid = avoid;
    query.avoidDomain = avoidDomain;
    const auto choice = policy.choose(query);
    if (choice) {
        policy.onDispatched(*choice, query);
    }
    return choice;
}

Duration ServiceApi::hedgeDelay() const
{
    return std::max(kMinHedgeDelay,
                    this->context.metrics.histogram("service_seconds").quantile(kHedgeQuantile));
}

absl::StatusOr<HttpResponse> ServiceApi::callService(const UpstreamSettings &upstream,
                                                     const HttpRequest &wire,
                                                     const CallOptions &options,
                                                     CallCanceller *canceller)
{
    const TimePoint until = this->context.clock.now() + options.timeout;
    const auto stream = this->context.client.open(upstream.endpoint, wire, options, canceller);
    if (!stream.ok()) {
        return stream.status();
    }
    if ((*stream)->endsWithConnection()) {
        return failure(absl::StatusCode::kDataLoss, "read body", upstream.name,
                       "an answer without a length can't be told from a cut one");
    }
    auto body =
        (*stream)->readAll(until - this->context.clock.now(),
                           static_cast<std::size_t>(this->context.settings.limits.answerBytes));
    if (!body.ok()) {
        return body.status();
    }
    return HttpResponse{(*stream)->status(), (*stream)->headers(), *std::move(body)};
}

void ServiceApi::startAttempt(const std::shared_ptr<Attempt> &attempt, const ServiceCall &call,
                              const RouteChoice &choice)
{
    attempt->choice = choice;
    this->context.runtime.spawn([this, attempt, wire = call.wire] {
        const UpstreamSettings &upstream =
            this->context.settings.upstreams[static_cast<std::size_t>(attempt->choice.upstream)];
        const TimePoint start = this->context.clock.now();
        CallOptions options;
        options.timeout = kServiceTimeout;
        attempt->response = this->callService(upstream, wire, options, &attempt->canceller);
        const bool cancelled = attempt->canceller.cancelled();
        const CompletionStatus end = attempt->response.ok() ? CompletionStatus::Finished
            : cancelled                                     ? CompletionStatus::Cancelled
                                                            : CompletionStatus::Crashed;
        this->context.desk.routing().onEnded(attempt->choice, end,
                                             this->context.clock.now() - start);
        attempt->finished = true;
        attempt->done->set();
    });
}

void ServiceApi::runRepeatable(HttpExchange &exchange, const ServiceCall &call)
{
    this->context.desk.retries().onFirstAttempt();
    const auto gate =
        this->context.control.openReceipt({call.receiptId, call.workspace, call.service, "call"});
    auto done = std::make_shared<FiberEvent>();
    std::vector<std::shared_ptr<Attempt>> attempts;
    bool gone = false;
    exchange.onCallerGone([&gone, done] {
        gone = true;
        done->set();
    });
    const auto launch = [&](UpstreamIndex avoid, std::string_view avoidDomain) {
        gone = gone || exchange.callerGone();
        const auto choice = gone ? std::nullopt : this->choose(call, avoid, avoidDomain);
        if (choice) {
            attempts.push_back(std::make_shared<Attempt>());
            attempts.back()->done = done;
            this->startAttempt(attempts.back(), call, *choice);
        }
        return choice.has_value();
    };
    Duration waited{};
    while (!launch(-1, "") && waited < kRoomWait && !gone) {
        this->context.runtime.sleepFor(kRoomPoll);
        waited += kRoomPoll;
    }
    constexpr std::size_t kMaxTries = 3;
    std::optional<HttpResponse> good;
    absl::Status last = failure(absl::StatusCode::kUnavailable, "choose upstream", call.service,
                                "no server of the service has room");
    bool sent = false;
    while (!good && !gone && !attempts.empty()) {
        done->waitFor(attempts.size() == 1 ? this->hedgeDelay() : kServiceTimeout);
        done->reset();
        bool anyRunning = false;
        for (const auto &attempt : attempts) {
            anyRunning = anyRunning || !attempt->finished;
            if (attempt->finished && attempt->response.ok()
                && attempt->response->status < status::kInternalError) {
                good = *attempt->response;
            } else if (attempt->finished && !attempt->response.ok()) {
                last = attempt->response.status();
                sent = sent || sendProgress(last) == SendProgress::MaybeSent;
            }
        }
        if (good || gone) {
            break;
        }
        // A hedge when the first is slow, a retry when it has failed: both from one budget.
        const RouteChoice &first = attempts.front()->choice;
        const std::string &domain =
            this->context.settings.upstreams[static_cast<std::size_t>(first.upstream)]
                .failureDomain;
        const bool more = attempts.size() < kMaxTries && this->context.desk.retries().tryAcquire();
        const bool launched =
            more && (launch(first.upstream, domain) || launch(first.upstream, ""));
        this->context.metrics.counter(anyRunning ? "hedges_total" : "retries_total")
            .add(launched ? 1 : 0);
        if (!launched && !anyRunning) {
            break;
        }
    }
    exchange.onCallerGone(nullptr);
    for (const auto &attempt : attempts) {
        if (!attempt->finished) {
            attempt->canceller.cancel();
        }
    }
    if (gone) {
        this->context.control.closeReceipt(
            {call.receiptId, call.workspace, call.service, "call", ReceiptState::Cancelled});
        exchange.abortStream();
        return;
    }
    const bool ran = sent || std::any_of(attempts.begin(), attempts.end(), [](const auto &attempt) {
                         return !attempt->finished;
                     });
    this->answer(exchange, call,
                 good ? plainAnswer(*good)
                      : refusalFor(last, ran ? RunState::Unknown : RunState::NotRun).response(),
                 gate);
}

void ServiceApi::answer(HttpExchange &exchange, const ServiceCall &call,
                        const HttpResponse &response, const std::shared_ptr<ReceiptGate> &gate)
{
    const bool safe = gate->state.load() == ReceiptGate::State::Durable
        || (gate->changed.waitFor(kGateTimeout)
            && gate->state.load() == ReceiptGate::State::Durable);
    if (!safe && call.repeatable) {
        const Refusal refusal{status::kUnavailable,
                              "receipt_not_durable",
                              "neither the table nor a peer took the receipt; nothing is charged",
                              RunState::Ran,
                              kRetryAfter,
                              {}};
        (void)exchange.respond(refusal.response());
        this->context.control.closeReceipt(
            {call.receiptId, call.workspace, call.service, "call", ReceiptState::Cancelled});
        return;
    }
    const bool sent = exchange.respond(response).ok();
    this->context.control.closeReceipt({call.receiptId, call.workspace, call.service, "call",
                                        sent ? ReceiptState::Finished : ReceiptState::Cancelled});
}

HttpResponse ServiceApi::refusalForClaim(const ClaimDecision &decision) const
{
    switch (decision.verdict) {
    case ClaimVerdict::BodyMismatch:
        return Refusal{status::kUnprocessable,
                       "idempotency_key_reused",
                       "the Idempotency-Key was used for another request",
                       RunState::NotRun,
                       {},
                       {}}
            .response();
    case ClaimVerdict::InDoubt:
        return Refusal{
            status::kConflict,
            "outcome_unknown",
            "an earlier request with this Idempotency-Key is running at, or was lost with, "
                + decision.holder,
            RunState::Unknown,
            kRetryAfter,
            {}}
            .response();
    default:
        return Refusal{status::kUnavailable,
                       "claims_unavailable",
                       "the platform's table gives no answer: " + describe(decision.status),
                       RunState::NotRun,
                       kRetryAfter,
                       failureSite(decision.status)}
            .response();
    }
}

void ServiceApi::releaseLater(const ClaimTicket &ticket)
{
    if (this->unrecorded >= kMaxUnrecorded) {
        return; // The claim then stays in doubt, which is safe.
    }
    ++this->unrecorded;
    this->context.runtime.spawn([this, ticket] {
        while (true) {
            const absl::Status released = this->claims.release(ticket);
            if (released.ok() || absl::IsAborted(released)) {
                break;
            }
            this->context.runtime.sleepFor(kRecordRetry);
        }
        --this->unrecorded;
    });
}

void ServiceApi::record(const ClaimTicket &ticket, const RecordedAnswer &answer)
{
    if (this->claims.finish(ticket, answer).ok() || this->unrecorded >= kMaxUnrecorded) {
        return;
    }
    ++this->unrecorded;
    this->context.metrics.counter("claims_recorded_late_total").add();
    this->context.runtime.spawn([this, ticket, answer] {
        while (true) {
            this->context.runtime.sleepFor(kRecordRetry);
            const absl::Status recorded = this->claims.finish(ticket, answer);
            if (recorded.ok() || absl::IsAborted(recorded)) {
                break;
            }
        }
        --this->unrecorded;
    });
}

void ServiceApi::runOnce(HttpExchange &exchange, const ServiceCall &call)
{
    const std::string digest =
        digestHex(call.wire.method + " " + call.wire.target + "\n" + call.wire.body);
    const ClaimDecision decision = this->claims.acquire(
        {call.workspace, call.idempotencyKey, digest, this->context.control.incarnation()});
    if (decision.verdict == ClaimVerdict::Replay) {
        this->context.metrics.counter("claims_replayed_total").add();
        HttpResponse replay{
            decision.answer.status,
            {{"Content-Type", decision.answer.contentType}, {"Idempotent-Replay", "true"}},
            decision.answer.body};
        (void)exchange.respond(replay);
        return;
    }
    if (decision.verdict != ClaimVerdict::Acquired) {
        if (decision.verdict == ClaimVerdict::Unavailable) {
            this->releaseLater(decision.ticket);
        }
        (void)exchange.respond(this->refusalForClaim(decision));
        return;
    }
    this->context.metrics.counter("claims_acquired_total").add();
    const auto gate =
        this->context.control.openReceipt({call.receiptId, call.workspace, call.service, "call"});
    const HttpResponse response = this->callOnce(call, decision.ticket);
    this->answer(exchange, call, response, gate);
}

HttpResponse ServiceApi::callOnce(const ServiceCall &call, const ClaimTicket &ticket)
{
    absl::Status last = failure(absl::StatusCode::kUnavailable, "choose upstream", call.service,
                                "no server of the service has room");
    UpstreamIndex avoid = -1;
    constexpr int kMaxTries = 3;
    for (int attempt = 0; attempt < kMaxTries; ++attempt) {
        const auto choice = this->choose(call, avoid, "");
        if (!choice) {
            break;
        }
        const UpstreamSettings &upstream =
            this->context.settings.upstreams[static_cast<std::size_t>(choice->upstream)];
        const TimePoint start = this->context.clock.now();
        CallOptions options;
        options.timeout = kServiceTimeout;
        options.freshConnection =
            true; // On an idle one, a closed peer could not be told from a lost answer.
        const auto response = this->callService(upstream, call.wire, options, nullptr);
        this->context.desk.routing().onEnded(
            *choice, response.ok() ? CompletionStatus::Finished : CompletionStatus::Crashed,
            this->context.clock.now() - start);
        if (response.ok()) {
            this->record(ticket, {response->status, contentType(*response), response->body});
            return plainAnswer(*response);
        }
        last = response.status();
        if (sendProgress(last) == SendProgress::MaybeSent) {
            // It may have run: the claim stays, and nobody will ever run it again.
            return basilnotch::refusalFor(last, RunState::Unknown).response();
        }
        avoid = choice->upstream;
    }
    this->releaseLater(ticket);
    Refusal refusal = basilnotch::refusalFor(last, RunState::NotRun);
    refusal.status = status::kUnavailable;
    refusal.retryAfter = kRetryAfter;
    return refusal.response();
}

} // namespace basilnotch
