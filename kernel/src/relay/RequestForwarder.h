// The life of one request: an upstream, one or more sends, the answer.
#pragma once

#include "AdmittedRequest.h"
#include "ExecutionTracker.h"
#include "StreamRelay.h"
#include "UpstreamScheduler.h"

#include "site/AnswerReport.h"

#include <optional>
#include <string>
#include <vector>

namespace basilnotch {

/// Runs in the fiber of the caller's connection.
///
///     RequestForwarder(context, std::move(request), exchange).run();
class RequestForwarder
{
public:
    RequestForwarder(RelayContext &context, AdmittedRequest request, HttpExchange &exchange);
    void run();

private:
    enum class AttemptEnd {
        Answered, ///< The caller has its answer, or has gone.
        NotSent,  ///< No connection could be made.
        NotRun,   ///< The upstream says that it has not run the request.
        MaybeRun, ///< Sent, and no usable answer came.
        Dropped,  ///< The small model was unsure: the large one shall answer.
        RanBadly, ///< The upstream ran it and answered with a failure of its own.
    };

    /// One send to one upstream and what came of it.
    struct Attempt
    {
        UpstreamLease &lease;
        TimePoint sentAt;
        std::string model;
        bool isNewVersion = false;
        bool versionMatters = false; ///< A roll-out of the service is under way.
    };

    /// From where the pace of a stream is measured next.
    struct PaceSample
    {
        TimePoint since;
        std::int64_t events = 0;
    };

    /// The model to ask; empty when the caller has named one.
    const std::string &chooseModel();
    /// The model that is asked, whoever chose it.
    const std::string &askedModel();
    bool usesLargestModel() const;
    AcquireResult acquire();
    AttemptEnd attempt(UpstreamLease &lease);
    AttemptEnd takeAnswer(Attempt &attempt, HttpStream &answer);
    /// Whether the answer of a small model is dropped for the largest one's; draws on the budget.
    bool dropsForLargeModel(const Attempt &attempt, const UpstreamHeaders &read);
    AttemptEnd relayStream(Attempt &attempt, HttpStream &answer);
    AttemptEnd relayWhole(Attempt &attempt, HttpStream &answer);
    AttemptEnd onNoAnswer(Attempt &attempt, const absl::Status &status);
    /// Tells the cascade how long the answers of the route are.
    void learnSize();
    /// Tells the cascade how fast the events of a stream come, when there are enough of them.
    void learnPace(PaceSample *sample) const;
    /// Tells how fast prompts are read, now that the first token has come.
    void learnPromptSpeed(const Attempt &attempt);
    void reportAnswer(const Attempt &attempt, AnswerOutcome outcome, Duration took);
    void onCrash(const UpstreamRecord &upstream);
    /// Whether another upstream may be tried after `end`; draws on the retry budget.
    bool mayTryAgain(AttemptEnd end);
    Duration firstAnswerPatience() const;
    Duration queuePatience() const;
    Duration timeLeft() const;
    /// Ends a request that got no answer.
    void giveUp(std::string_view reason);
    void refuse(const NotExecutedProof &proof, std::string_view reason, Duration retryAfter);
    void answerFailure(int status, std::string_view reason);
    void logEnd(LogKind kind, std::string_view event, std::string_view reason, int status) const;
    SlidingWindowRetryBudget &retryWindow();

    RelayContext &context;
    AdmittedRequest request;
    HttpExchange &exchange;
    ExecutionTracker ledger;
    StreamRelay stream;
    CallCanceller canceller;
    FiberEvent queueCancelled;
    HttpStream *current = nullptr;  ///< The answer being read, for the caller-gone callback.
    std::string model;              ///< Chosen for a request that names none.
    std::vector<std::string> avoid; ///< Upstreams that have failed this request.
    std::optional<HttpResponse>
        lastFailure;  ///< An upstream's own failure, to be passed on unchanged.
    int sends = 0;    ///< That an upstream may have seen.
    int contacts = 0; ///< Connections that were tried.
    std::string lastProblem;
    std::optional<int> confidence;          ///< Of the smallest model in its answer.
    std::string_view cascadeOutcome;        ///< What was decided about that answer, and why.
    std::optional<Duration> firstEventTook; ///< From the request to the first event passed on.
    std::optional<Duration> comeBackAfter;  ///< When a place may be free, if that is known.
};

} // namespace basilnotch
