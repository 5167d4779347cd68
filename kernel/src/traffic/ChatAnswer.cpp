// The caller's side of a chat request: the receipt's gate, the answer, the error. Whatever happens,
// the receipt that was opened is closed once.
#include "ChatRun.h"

#include "control/PeerPayloads.h"

#include <runtime/FiberRuntime.h>
#include <runtime/HttpStatus.h>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr Duration kGateTimeout = seconds(2);
constexpr double kRatingsPerSecond = 20; // Of one traffic thread, beside the checks of cascades.
constexpr double kPriceUnit = 1000;      // Tokens.

} // namespace

bool ChatRun::waitForReceipt()
{
    if (this->gate->state.load() == ReceiptGate::State::Pending) {
        Span hop = this->trace.beginHop("receipt");
        this->gate->changed.waitFor(kGateTimeout);
        this->trace.endHop(std::move(hop), this->gate->state.load() != ReceiptGate::State::Durable);
    }
    if (this->gate->state.load() == ReceiptGate::State::Durable) {
        return true;
    }
    this->context.metrics.counter("receipt_gate_refusals_total").add();
    this->refusal = Refusal{status::kUnavailable,
                            "receipt_not_durable",
                            "neither the table nor a peer took the receipt; nothing is charged",
                            RunState::Ran,
                            kQueueRetryAfter,
                            {}};
    return false;
}

bool ChatRun::beginAnswer()
{
    if (!this->waitForReceipt()) {
        return false;
    }
    this->context.metrics.histogram("first_token_seconds")
        .record(this->context.clock.now() - this->startedAt);
    const HttpHeaders headers{
        {"Content-Type", "text/event-stream"},
        {"X-Request-Id", this->requestId},
        {"X-Model", formatModelVersion(this->current.version)},
        {"X-Session-Token", mintToken(this->session, this->context.settings.sessionKey)},
        {"traceparent", this->trace.context().header()}};
    this->streaming = this->exchange.beginStream(status::kOk, headers).ok();
    return true;
}

void ChatRun::rateLater()
{
    const TimePoint now = this->context.clock.now();
    const double credit =
        this->state.ratingCredit + toSeconds(now - this->state.ratingCreditAt) * kRatingsPerSecond;
    this->state.ratingCreditAt = now;
    this->state.ratingCredit = std::min(credit, kRatingsPerSecond);
    if (this->state.ratingCredit < 1 || this->request.promptText.empty()) {
        return;
    }
    this->state.ratingCredit -= 1;
    const RatingRequest asked{this->requestId, this->request.workspace, this->request.task,
                              this->request.promptText, this->answer};
    TrafficContext &shared = this->context;
    this->context.runtime.spawn(
        [&shared, asked, key = this->qualityKey(this->lastStage), version = this->current.version] {
            const auto good = shared.platform.ratings().rate(asked);
            if (good.ok()) {
                shared.control.observe(RatingObservation{key, version, *good});
            } else {
                shared.control.observe(RatingsUnavailableObservation{});
            }
        });
}

void ChatRun::openReceipt(const DispatchDecision &decision)
{
    this->receipt.model = decision.version.model;
    this->receipt.version = decision.version.version;
    if (this->gate) {
        return;
    }
    this->receipt.requestId = this->requestId;
    this->receipt.workspace = this->request.workspace;
    this->gate = this->context.control.openReceipt(this->receipt);
}

double ChatRun::price() const
{
    const ModelRule *rule = this->snapshot->rules->findModel(this->current.version);
    if (!rule || this->delivered == 0) {
        return 0;
    }
    return (rule->price.prompt * this->request.promptTokens + rule->price.output * this->delivered)
        / kPriceUnit;
}

void ChatRun::closeReceipt(ReceiptState end)
{
    this->context.desk.budgets().settle(
        this->request.workspace, this->request.promptTokens + kExpectedOutput,
        this->delivered > 0 ? this->request.promptTokens + this->delivered : 0);
    if (!this->gate) {
        return;
    }
    this->receipt.state = end;
    this->receipt.promptTokens = this->delivered > 0 ? this->request.promptTokens : 0;
    this->receipt.outputTokens = this->delivered;
    this->receipt.amount = this->price();
    this->context.control.closeReceipt(this->receipt);
}

void ChatRun::respondWhole()
{
    if (!this->waitForReceipt()) {
        this->giveUp(*this->refusal);
        return;
    }
    namespace json = boost::json;
    const json::object message{{"role", "assistant"}, {"content", this->answer}};
    const json::object body{
        {"id", this->requestId},
        {"object", "chat.completion"},
        {"model", formatModelVersion(this->current.version)},
        {"choices", json::array{{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
        {"usage",
         {{"prompt_tokens", this->request.promptTokens}, {"completion_tokens", this->tokens}}}};
    HttpResponse response = jsonResponse(status::kOk, json::serialize(body));
    response.headers.add("X-Request-Id", this->requestId);
    response.headers.add("X-Model", formatModelVersion(this->current.version));
    response.headers.add("X-Session-Token",
                         mintToken(this->session, this->context.settings.sessionKey));
    response.headers.add("traceparent", this->trace.context().header());
    const bool sent = this->exchange.respond(response).ok();
    this->delivered = sent ? this->tokens : 0;
    this->closeReceipt(sent ? ReceiptState::Finished : ReceiptState::Cancelled);
    this->context.metrics.histogram("request_seconds")
        .record(this->context.clock.now() - this->startedAt);
    this->rateLater();
    this->trace.finish(!sent);
}

void ChatRun::endStream()
{
    if (!this->streaming && !this->beginAnswer()) {
        this->giveUp(*this->refusal);
        return;
    }
    const bool sent = this->exchange.endStream(this->unsent + "data: [DONE]\n\n").ok();
    this->delivered += sent ? this->unsentTokens : 0;
    this->closeReceipt(sent ? ReceiptState::Finished : ReceiptState::Cancelled);
    this->context.metrics.histogram("request_seconds")
        .record(this->context.clock.now() - this->startedAt);
    this->rateLater();
    this->trace.finish(!sent);
}

void ChatRun::giveUp(Refusal why)
{
    this->context.metrics.counter("requests_refused_total{type=\"" + why.type + "\"}").add();
    this->closeReceipt(ReceiptState::Cancelled);
    this->trace.note("refusal", why.type);
    this->trace.finish(true);
    if (this->streaming) {
        // The caller has a part already: it must see an error, never a quiet end.
        why.run = RunState::Ran;
        (void)this->exchange.writeChunk(absl::StrCat("event: error\ndata: ", why.json(), "\n\n"));
        this->exchange.abortStream();
        return;
    }
    (void)this->exchange.respond(why.response());
}

} // namespace basilnotch
