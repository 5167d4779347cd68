// Forwards one request: acquires an upstream, sends the request, retries where permitted, and
// relays the response.
#pragma once

#include "AdmittedRequest.h"
#include "ExecutionTracker.h"
#include "HedgedSend.h"
#include "StreamRelay.h"
#include "UpstreamScheduler.h"

#include "site/AnswerReport.h"

#include <optional>
#include <string>
#include <vector>

namespace basilnotch {

struct AnswerSpeed;

/// Runs in the fiber of the caller's connection.
///
///     RequestForwarder(context, std::move(request), exchange).run();
class RequestForwarder
{
public:
    RequestForwarder(RelayContext &context, AdmittedRequest request, HttpExchange &exchange);
    void run();
    /// Ends a request with a quarantined prompt part, unless its upstream has already answered
    /// beyond the beginning.
    void withdrawIfQuarantined();
    /// During a roll-out: reports an answer that is far later than usual as a bad one before it has
    /// come. A version whose late answers are still to come would otherwise look sound.
    void reportOverdueAnswer();

private:
    void forward();

    enum class AttemptOutcome {
        Finished,      ///< The caller has received its response or has disconnected.
        NotSent,       ///< No connection could be established.
        NotExecuted,   ///< The upstream reports that it has not executed the request.
        MaybeExecuted, ///< Sent, but no usable response was received.
        Escalated,     ///< The small model's confidence was too low; the largest model is asked.
        UpstreamError, ///< The upstream executed the request and returned an error.
    };

    /// One attempt to send the request to an upstream.
    struct Attempt
    {
        UpstreamLease &lease;
        TimePoint sentAt;
        std::string model;
        bool isNewVersion = false;
        bool isRolloutActive = false; ///< A roll-out of the service is in progress.
        /// Of the request's shared prompt parts when it was sent.
        PromptGuard::Chains promptChains;
        std::int64_t eventsBefore = 0;  ///< Events that earlier attempts have relayed.
        bool isBeyondBeginning = false; ///< Of its answer.
        bool isSent = false;            ///< Something may have reached the upstream.
        bool hasFirstEvent = false;     ///< Of a stream.
        bool isReported = false;        ///< Its answer has been counted, or need not be.
    };

    /// Start of the current measurement interval of a stream's event rate.
    struct StreamRateSample
    {
        TimePoint since;
        std::int64_t events = 0;
    };

    /// The model that the instance has chosen; empty when the caller names one.
    const std::string &chooseModel();
    /// The model that the request is sent to, chosen by the caller or by the instance.
    const std::string &effectiveModel();
    bool usesLargestModel() const;
    AcquireResult acquire();
    /// Records the send that follows.
    Attempt makeAttempt(UpstreamLease &lease);
    /// Sends the request and waits until its answer begins.
    HedgedSend::Answer open(Attempt &attempt, CallCanceller &sendCanceller);
    /// `lease` is afterwards that of the upstream whose answer was taken.
    AttemptOutcome attempt(std::unique_ptr<UpstreamLease> &lease);
    /// As attempt(), with a second send when the first one is late.
    AttemptOutcome attemptHedged(std::unique_ptr<UpstreamLease> &lease, Attempt &first);
    AttemptOutcome continueAttempt(Attempt &attempt, HedgedSend::Answer answer);
    void onSent();
    void onNothingSent(const Attempt &attempt, const absl::Status &status);
    /// Whether the operator allows hedges and the request has not been sent yet.
    bool mayHedge() const;
    HedgePolicy &hedgePolicy();
    /// A slot for a second send beside `first`, if there shall be one.
    std::unique_ptr<UpstreamLease> tryAcquireHedge(const Attempt &first);
    /// Accounts for the send whose answer is not taken; `other` as in HedgedSend::Result.
    void settleLoser(Attempt &loser, const std::optional<HedgedSend::Answer> &other);
    AttemptOutcome handleResponse(Attempt &attempt, HttpStream &answer);
    /// Passes on what the upstream says about itself in the headers of an answer.
    void recordNotices(const Attempt &attempt, const UpstreamHeaders &upstreamHeaders);
    /// Whether the small model's answer is discarded and the largest model asked instead; consumes
    /// retry budget.
    bool tryEscalate(const Attempt &attempt, const UpstreamHeaders &upstreamHeaders);
    AttemptOutcome relayStream(Attempt &attempt, HttpStream &answer);
    AttemptOutcome relayBuffered(Attempt &attempt, HttpStream &answer);
    AttemptOutcome onAttemptFailed(Attempt &attempt, const absl::Status &status,
                                   PromptGuard::CrashedAt crashedAt);
    /// Reports the answer's length to the cascade.
    void recordAnswerSize();
    /// Reports a stream's event rate to the cascade once the interval contains enough events.
    void recordStreamRate(StreamRateSample *sample) const;
    /// Records the prefill time of the prompt when the first token arrives.
    void recordPrefillTime(const Attempt &attempt);
    void reportAnswer(Attempt &attempt, AnswerOutcome outcome, Duration took);
    /// Reports an answer that has not begun when the caller leaves. Callers leave slow answers more
    /// often than fast ones, so without these a slow version would look like a sound one.
    void reportUnawaitedAnswer(Attempt &attempt);
    /// Reports the answer unless that has been done; a lost connection is always reported, as it
    /// may be a crash, which is counted by itself.
    void publishAnswer(Attempt &attempt, AnswerOutcome outcome, bool isSlower);
    /// Of an answer that has not come yet.
    AnswerSpeed speedSoFar(const Attempt &attempt) const;
    void reportCrash(const UpstreamRecord &upstream);
    /// Reports the upstream's crash, if it has crashed, to the quarantines of requests and of
    /// prompt parts. Blocks for the time of some connection attempts.
    void checkCrash(const Attempt &attempt, PromptGuard::CrashedAt crashedAt);
    bool hasCrashed(const UpstreamRecord &upstream);
    /// Whether a stream that has ended with its connection, between two events, is incomplete: it
    /// has no event, or its upstream has crashed. May block as hasEndedWith().
    bool isCutOff(const Attempt &attempt);
    /// Whether an answer that has ended with its connection was cut because the upstream has
    /// crashed. Blocks for the time of a connection attempt.
    bool hasEndedWith(const UpstreamRecord &upstream);
    /// Whether the whole answer comes from this attempt: none of it was relayed before.
    bool isFromBeginning(const Attempt &attempt) const;
    /// The answer has got beyond its beginning.
    void onAnswerBegun(Attempt &attempt);
    /// The answer has come to its end.
    void onAnswerComplete(Attempt &attempt);
    /// Tells the other instances.
    void announce(std::vector<PromptPartReport> reports);
    /// Ends the wait for a slot, the connection attempt or the response under way.
    void interrupt();
    /// Whether the request itself, or a part of its prompt, crashes the upstreams that run it.
    bool isQuarantined() const;
    /// Whether `upstream` may still get requests. It may have left since it was picked.
    bool isInUse(const UpstreamRecord &upstream) const;
    /// Whether the request may be sent to another upstream after `outcome`; consumes retry budget.
    bool tryAcquireRetry(AttemptOutcome outcome);
    /// How long an answer may take to begin, so that a repeat can still be of use.
    Duration responseTimeout(Duration expectedPrefillTime) const;
    Duration queueTimeout() const;
    Duration timeLeft() const;
    /// Ends a request for which no upstream gave a complete answer.
    void failRequest(std::string_view reason);
    void rejectNotExecuted(const NotExecutedProof &proof, std::string_view reason,
                           Duration retryAfter);
    void respondWithError(int status, std::string_view reason);
    void logEvent(LogKind kind, std::string_view event, std::string_view reason, int status) const;
    SlidingWindowRetryBudget &retryBudget();
    bool tryTakeFromBudget(RetryPurpose purpose);

    RelayContext &context;
    AdmittedRequest request;
    HttpExchange &exchange;
    ExecutionTracker executionTracker;
    StreamRelay stream;
    CallCanceller canceller;
    FiberEvent queueCancelled;
    HedgedSend *hedgedSend = nullptr;      ///< Under way.
    HttpStream *currentResponse = nullptr; ///< The response being read; closed on disconnect.
    Attempt *currentAttempt = nullptr;
    bool isWithdrawn = false; ///< See withdrawIfQuarantined().
    std::string model;        ///< Chosen by the instance for a request that names no model.
    /// Upstreams whose answers were dropped at their beginning, before they could crash.
    std::vector<UpstreamRef> droppedUpstreams;
    std::vector<std::string> excludedUpstreams; ///< Ids of upstreams that have failed this request.
    std::optional<HttpResponse>
        upstreamErrorResponse; ///< An upstream's own error, passed on unchanged.
    int sendCount = 0;         ///< Attempts of which an upstream may have received something.
    int connectAttempts = 0;
    std::string lastError;
    std::optional<int> confidence;   ///< Reported by the small model with its answer.
    std::string_view cascadeOutcome; ///< Decision on that answer and its reason, for the log.
    std::optional<Duration> timeToFirstEvent; ///< From arrival to the first relayed event.
    std::optional<Duration> retryAfter;       ///< When a slot may be free, if known.
};

} // namespace basilnotch
