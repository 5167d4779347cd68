// Steps of a chat request up to its answer, in their order. A refusal says `not_run` only while no
// byte has left for an upstream.
#include "ChatRun.h"

#include "control/PeerPayloads.h"

#include <base/Hash.h>
#include <runtime/FiberRuntime.h>
#include <runtime/HttpStatus.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace basilnotch {

namespace {

constexpr std::size_t kRequestIdBytes = 12;
constexpr std::size_t kSessionIdBytes = 8;
constexpr int kMaxAttempts = 3;

PriorityClass waitClassOf(const ChatRequest &request, const Rules &rules)
{
    const CascadeRule *rule = rules.findCascade(request.task);
    if (rule && rule->canWait) {
        return PriorityClass::Background;
    }
    return request.streamed ? PriorityClass::Interactive : PriorityClass::FullResponse;
}

int priorityOf(const ChatRequest &request, const Rules &rules)
{
    const CascadeRule *rule = rules.findCascade(request.task);
    return enginePriority(request.streamed, rule && rule->canWait);
}

} // namespace

ChatRun::ChatRun(TrafficContext &context, ChatState &state, HttpExchange &exchange,
                 ChatRequest request)
    : context(context)
    , state(state)
    , exchange(exchange)
    , request(std::move(request))
    , requestId("req-" + randomHex(kRequestIdBytes))
    , startedAt(context.clock.now())
    , trace(context.clock, context.spans, exchange.request().headers.find("traceparent"), "chat")
    , snapshot(context.control.snapshot())
{ }

void ChatRun::run()
{
    this->context.metrics.counter("requests_total{workspace=\"" + this->request.workspace + "\"}")
        .add();
    this->trace.note("request.id", this->requestId);
    this->trace.note("workspace", this->request.workspace);
    this->trace.note("task", this->request.task);
    std::optional<Refusal> refused = this->chooseChain();
    if (!refused) {
        refused = this->admit();
    }
    if (refused) {
        this->giveUp(*std::move(refused));
        return;
    }
    this->loadSession();
    this->watchCaller();
    this->context.desk.retries().onFirstAttempt();
    StageEnd end = StageEnd::GivenUp;
    for (std::size_t stage = 0; stage < this->chain.models.size(); ++stage) {
        end = this->runStage(stage);
        this->lastStage = stage;
        const bool last = stage + 1 == this->chain.models.size();
        const bool done = end != StageEnd::Answered || last || this->passesCheck(stage);
        // A caller that leaves during the wait or the check has not waited for the end either.
        if (end == StageEnd::Answered || this->callerGone) {
            this->observeRun(stage);
        }
        if (done) {
            break;
        }
    }
    this->exchange.onCallerGone(nullptr);
    if (end == StageEnd::Answered && !this->callerGone) {
        this->request.streamed ? this->endStream() : this->respondWhole();
    } else if (end == StageEnd::GivenUp && !this->callerGone) {
        this->giveUp(*this->refusal);
    } else {
        this->context.metrics.counter("requests_cancelled_total").add();
        this->closeReceipt(ReceiptState::Cancelled);
        this->exchange.abortStream();
        this->trace.finish(false);
    }
}

std::optional<Refusal> ChatRun::chooseChain()
{
    const Rules &rules = *this->snapshot->rules;
    this->longPrompt = this->state.medians.isLong(this->request.task, this->request.promptTokens);
    if (!this->request.model.empty()) {
        if (!rules.hasModel(this->request.model)) {
            return Refusal{status::kNotFound,
                           "unknown_model",
                           "no model line names " + this->request.model,
                           RunState::NotRun,
                           {},
                           {}};
        }
        if (!rules.findAllowedModel(this->request.workspace, this->request.model)) {
            return Refusal{status::kForbidden,
                           "model_not_allowed",
                           "no allow line lets this workspace use " + this->request.model,
                           RunState::NotRun,
                           {},
                           {}};
        }
        this->chain.models = {this->request.model};
        return std::nullopt;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    const RequestClass cell{this->request.workspace, this->request.task, this->longPrompt,
                            this->request.streamed};
    this->chain =
        this->snapshot->plan->choose(cell, draw(this->state.random), draw(this->state.random));
    // The plan may be a second old: what the rules in force now forbid is taken out.
    std::erase_if(this->chain.models, [&](const std::string &model) {
        return !rules.findAllowedModel(this->request.workspace, model);
    });
    if (this->chain.models.empty()) {
        return Refusal{status::kForbidden,
                       "no_model_for_task",
                       "no cascade line gives this workspace a model for task "
                           + this->request.task,
                       RunState::NotRun,
                       {},
                       {}};
    }
    return std::nullopt;
}

std::optional<Refusal> ChatRun::admit()
{
    if (!this->snapshot->isReady(this->context.clock.now())) {
        return Refusal{status::kUnavailable, "not_ready",      this->snapshot->notReadyReason,
                       RunState::NotRun,     kQueueRetryAfter, {}};
    }
    AdmissionRequest asked;
    asked.workspace = this->request.workspace;
    asked.fingerprint = this->request.fingerprint;
    asked.expectedTokens = this->request.promptTokens + kExpectedOutput;
    asked.rules = this->snapshot->rules.get();
    for (const auto &limit : this->context.limits) {
        if (const auto refused = limit->check(asked)) {
            return Refusal{refused->status,  refused->type,       refused->message,
                           RunState::NotRun, refused->retryAfter, {}};
        }
    }
    return std::nullopt;
}

void ChatRun::loadSession()
{
    if (this->request.session) {
        this->session = *this->request.session;
    } else if (!this->request.callerSessionId.empty()) {
        this->session.id = this->request.callerSessionId;
        this->pinDurably(this->chain.models.front());
    } else {
        this->session.id = randomHex(kSessionIdBytes);
    }
    this->session.workspace = this->request.workspace;
}

void ChatRun::pinDurably(const std::string &model)
{
    // The row decides, so that two first requests at two instances agree. With the table out, the
    // session's id still falls on the same side of a roll-out under the same rules.
    const Rules &rules = *this->snapshot->rules;
    const VersionChoice choice = chooseVersion(rules, this->request.workspace, model, std::nullopt,
                                               this->session.id, this->snapshot->heldRollouts);
    if (!choice.version) {
        return;
    }
    Session wanted{this->request.workspace, this->session.id, rules.version, {*choice.version}};
    const std::string key = absl::StrCat("pin/", this->request.workspace, "/", this->session.id);
    TableService &table = this->context.platform.table();
    auto written = table.writeOne({key, encodeSession(wanted), 0});
    if (!written.ok()) {
        this->context.metrics.counter("pins_not_durable_total").add();
        return;
    }
    auto stored = decodeSession(written->row.value);
    if (!stored.ok()) {
        return;
    }
    const std::optional<std::string> pinned = stored->pinnedVersion(model);
    if (!pinned || !rules.mayRun(this->request.workspace, {model, *pinned})) {
        stored->pin(*choice.version);
        (void)table.writeOne({key, encodeSession(*stored), written->row.version});
    }
    this->session.pins = stored->pins;
}

void ChatRun::watchCaller()
{
    this->exchange.onCallerGone([this] {
        this->callerGone = true;
        if (this->waiting) {
            this->waiting->cancel();
        }
        if (this->calling) {
            this->calling->cancel();
        }
    });
}

Duration ChatRun::timeLeft() const
{
    const Duration queueWait = this->context.settings.timing.queueWait;
    if (this->request.deadline == Duration::zero()) {
        return queueWait;
    }
    const Duration left = this->request.deadline - (this->context.clock.now() - this->startedAt);
    return std::clamp(left, Duration::zero(), queueWait);
}

DispatchResult ChatRun::waitForUpstream(const std::string &model)
{
    StageRequest wanted;
    wanted.id = this->context.desk.nextId();
    wanted.workspace = this->request.workspace;
    wanted.workspaceIndex = this->context.desk.workspaceIndex(this->request.workspace);
    wanted.model = model;
    wanted.pinnedVersion = this->session.pinnedVersion(model);
    wanted.stickyKey = this->session.id;
    wanted.priorityClass = waitClassOf(this->request, *this->snapshot->rules);
    wanted.expectedTokens = this->request.promptTokens + kExpectedOutput;
    wanted.query.promptTokens = this->request.promptTokens;
    wanted.query.prefixHash = this->request.prefixHash;
    wanted.query.prefixTokens = this->request.prefixTokens;
    wanted.query.avoid = this->failedUpstream;
    DispatchWait wait;
    this->waiting = &wait;
    Span hop = this->trace.beginHop("wait");
    const DispatchResult result =
        this->context.desk.wait(std::move(wanted), wait, this->timeLeft());
    this->trace.endHop(std::move(hop), result.outcome != WaitOutcome::Dispatched);
    this->waiting = nullptr;
    return result;
}

Refusal ChatRun::refusalFor(WaitOutcome outcome) const
{
    const RunState run = this->runState();
    switch (outcome) {
    case WaitOutcome::QueueFull:
        return {status::kUnavailable,
                "queue_full",
                "too many requests wait for an upstream",
                run,
                kQueueRetryAfter,
                {}};
    case WaitOutcome::WorkspaceFull:
        return {status::kTooMany,
                "workspace_queue_full",
                "too many requests of this workspace wait for an upstream",
                run,
                kQueueRetryAfter,
                {}};
    case WaitOutcome::Refused:
        return {status::kForbidden,
                "no_version",
                "by the rules in force no version of the model may run",
                run,
                {},
                {}};
    default:
        return {status::kGatewayTimeout,
                "no_upstream_in_time",
                "no upstream had room before the deadline",
                run,
                kQueueRetryAfter,
                {}};
    }
}

RunState ChatRun::runState() const
{
    if (this->delivered > 0) {
        return RunState::Ran;
    }
    return this->maybeRan ? RunState::Unknown : RunState::NotRun;
}

ChatRun::StageEnd ChatRun::runStage(std::size_t stage)
{
    bool retry = true;
    StageEnd end = StageEnd::GivenUp;
    this->attempts = 0;
    while (retry) {
        end = this->attempt(stage, &retry);
    }
    return end;
}

bool ChatRun::mayRetry()
{
    ++this->attempts;
    const bool poisonous = this->context.desk.poison().isQuarantined(this->request.fingerprint);
    return this->attempts < kMaxAttempts && !poisonous && !this->callerGone
        && this->context.desk.retries().tryAcquire();
}

ChatRun::StageEnd ChatRun::attempt(std::size_t stage, bool *retry)
{
    *retry = false;
    this->answer.clear();
    this->tokens = 0;
    this->unsent.clear();
    this->unsentTokens = 0;
    this->finishMark.reset();
    const DispatchResult waited = this->waitForUpstream(this->chain.models[stage]);
    if (waited.outcome == WaitOutcome::Cancelled || this->callerGone) {
        if (waited.outcome == WaitOutcome::Dispatched) {
            this->context.desk.onEnded(waited.decision, CompletionStatus::Cancelled,
                                       Duration::zero());
        }
        return StageEnd::CallerGone;
    }
    if (waited.outcome != WaitOutcome::Dispatched) {
        this->refusal = this->refusalFor(waited.outcome);
        return StageEnd::GivenUp;
    }
    this->current = waited.decision;
    this->session.pin(this->current.version);
    this->session.rulesVersion = this->snapshot->rules->version;
    this->openReceipt(this->current);
    const UpstreamSettings &upstream =
        this->context.settings.upstreams[static_cast<std::size_t>(this->current.choice.upstream)];
    ModelCallOptions options;
    options.requestId = this->requestId;
    options.version = this->current.version;
    options.priority = priorityOf(this->request, *this->snapshot->rules);
    options.firstByteTimeout = this->context.settings.timing.firstByte;
    options.gapTimeout = this->context.settings.timing.streamGap;
    options.isStillWanted = [this] { return !this->exchange.callerGone(); };
    Span hop = this->trace.beginHop("upstream");
    hop.attributes = {{"upstream", upstream.name},
                      {"version", formatModelVersion(this->current.version)}};
    ModelCall call(this->context.client, upstream, this->request, options, hop.context);
    this->calling = &call;
    const TimePoint sentAt = this->context.clock.now();
    const StageEnd end = this->consume(call, this->current, sentAt, retry);
    this->calling = nullptr;
    this->trace.endHop(std::move(hop), end == StageEnd::GivenUp);
    return end;
}

ChatRun::StageEnd ChatRun::consume(ModelCall &first, const DispatchDecision &decision,
                                   TimePoint sentAt, bool *retry)
{
    ModelCall *call = &first;
    std::unique_ptr<ModelCall> resumed;
    absl::Status status = call->open();
    this->maybeRan = this->maybeRan || status.ok()
        || (sendProgress(status) == SendProgress::MaybeSent && !absl::IsNotFound(status));
    while (status.ok()) {
        auto token = call->next();
        if (!token.ok()) {
            status = token.status();
            if (this->delivered > 0 && !this->callerGone
                && this->resume(*call, decision, &resumed)) {
                call = resumed.get();
                status = absl::OkStatus();
                continue;
            }
            break;
        }
        if (!*token) {
            if (this->finishMark) {
                this->take(*this->finishMark);
            }
            this->stageEnded(decision, CompletionStatus::Finished, sentAt);
            return StageEnd::Answered;
        }
        if (this->tokens == 0 && !(*token)->last) {
            this->context.desk.onFirstToken(decision, this->context.clock.now() - sentAt);
        }
        const absl::Status sent = this->deliver(**token, call->hasBuffered());
        if (!sent.ok() || this->callerGone) {
            call->cancel();
            this->stageEnded(decision, CompletionStatus::Cancelled, sentAt);
            this->callerGone =
                this->callerGone || absl::IsUnavailable(sent) || absl::IsDeadlineExceeded(sent);
            return this->callerGone ? StageEnd::CallerGone : StageEnd::GivenUp;
        }
    }
    if (this->callerGone) {
        this->stageEnded(decision, CompletionStatus::Cancelled, sentAt);
        return StageEnd::CallerGone;
    }
    const bool sentNothing = sendProgress(status) == SendProgress::NothingSent;
    const bool crashed = absl::IsUnavailable(status);
    this->failedUpstream = decision.choice.upstream;
    const UpstreamSettings &upstream =
        this->context.settings.upstreams[static_cast<std::size_t>(this->failedUpstream)];
    if (crashed && !sentNothing) {
        this->context.desk.poison().onCrash(this->request.fingerprint, upstream.name);
        this->context.control.observe(CrashObservation{this->request.fingerprint, upstream.name});
    }
    this->stageEnded(decision,
                     crashed                        ? CompletionStatus::Crashed
                         : absl::IsNotFound(status) ? CompletionStatus::Cancelled
                                                    : CompletionStatus::Failed,
                     sentAt);
    this->context.metrics.counter("upstream_failures_total{upstream=\"" + upstream.name + "\"}")
        .add();
    *retry = this->delivered == 0 && this->mayRetry();
    this->refusal = basilnotch::refusalFor(status, this->runState());
    if (this->context.desk.poison().isQuarantined(this->request.fingerprint)) {
        this->refusal->type = "quarantined";
        this->refusal->message =
            "this request crashed more than one upstream: " + this->refusal->message;
    }
    return StageEnd::GivenUp;
}

bool ChatRun::resume(ModelCall &broken, const DispatchDecision &decision,
                     std::unique_ptr<ModelCall> *again)
{
    // Only the engine that began the answer is sure to go on with the same one.
    if (!this->mayRetry()) {
        return false;
    }
    broken.cancel();
    this->finishMark.reset(); // The engine sends it again.
    const UpstreamSettings &upstream =
        this->context.settings.upstreams[static_cast<std::size_t>(decision.choice.upstream)];
    ModelCallOptions options;
    options.requestId = this->requestId;
    options.version = decision.version;
    options.priority = priorityOf(this->request, *this->snapshot->rules);
    options.resumeFrom = this->tokens;
    options.firstByteTimeout = this->context.settings.timing.streamGap;
    options.gapTimeout = this->context.settings.timing.streamGap;
    options.isStillWanted = [this] { return !this->exchange.callerGone(); };
    Span hop = this->trace.beginHop("resume");
    auto call = std::make_unique<ModelCall>(this->context.client, upstream, this->request, options,
                                            hop.context);
    this->calling = call.get();
    const absl::Status opened = call->open();
    this->trace.endHop(std::move(hop), !opened.ok());
    this->context.metrics.counter("streams_resumed_total").add(opened.ok() ? 1 : 0);
    *again = std::move(call);
    return opened.ok();
}

absl::Status ChatRun::deliver(const ModelToken &token, bool moreAtOnce)
{
    const auto limit = static_cast<std::size_t>(this->context.settings.limits.answerBytes);
    if (!this->request.streamed && this->answer.size() + token.text.size() > limit) {
        this->refusal = Refusal{status::kUnavailable,
                                "answer_too_long",
                                "the answer is longer than limits.answerBytes",
                                RunState::Ran,
                                {},
                                {}};
        return failure(absl::StatusCode::kResourceExhausted, "keep answer", "", "too long");
    }
    if (token.last) {
        this->finishMark = token;
        return absl::OkStatus();
    }
    this->take(token);
    if (!this->request.streamed || moreAtOnce) {
        return absl::OkStatus(); // It goes out with what comes at once: the next event or the end.
    }
    if (!this->streaming && !this->beginAnswer()) {
        return failure(absl::StatusCode::kResourceExhausted, "open receipt", "", "no receipt");
    }
    const absl::Status sent = this->exchange.writeChunk(this->unsent);
    this->delivered += sent.ok() ? this->unsentTokens : 0;
    this->unsent.clear();
    this->unsentTokens = 0;
    return sent;
}

void ChatRun::take(const ModelToken &token)
{
    const int counted = token.text.empty() ? 0 : 1; // A finish mark without text is no token.
    this->tokens += counted;
    this->answer += token.text;
    if (this->request.streamed) {
        absl::StrAppend(&this->unsent, "data: ", token.event, "\n\n");
        this->unsentTokens += counted;
    }
}

void ChatRun::stageEnded(const DispatchDecision &decision, CompletionStatus end, TimePoint sentAt)
{
    this->context.desk.onEnded(decision, end, this->context.clock.now() - sentAt);
    this->stageEnd = end;
    this->context.control.observe(UpstreamRunObservation{decision.version, end});
}

void ChatRun::observeRun(std::size_t stage)
{
    ModelRunObservation observation;
    observation.key = this->qualityKey(stage);
    observation.finished = this->stageEnd == CompletionStatus::Finished && !this->callerGone;
    observation.promptTokens = this->tokens > 0 ? this->request.promptTokens : 0;
    observation.outputTokens = this->tokens;
    this->context.control.observe(observation);
}

QualityKey ChatRun::qualityKey(std::size_t stage) const
{
    return {this->request.workspace, this->request.task,     this->chain.models[stage],
            this->longPrompt,        this->request.streamed, stage > 0};
}

bool ChatRun::passesCheck(std::size_t stage)
{
    Span hop = this->trace.beginHop("check");
    const RatingRequest asked{this->requestId, this->request.workspace, this->request.task,
                              this->request.promptText, this->answer};
    const auto good = this->context.platform.ratings().rate(asked);
    this->trace.endHop(std::move(hop), !good.ok());
    if (!good.ok()) {
        this->context.control.observe(RatingsUnavailableObservation{});
        return false; // The next model costs more, but meets the target.
    }
    this->context.control.observe(
        RatingObservation{this->qualityKey(stage), this->current.version, *good});
    return *good;
}

} // namespace basilnotch
