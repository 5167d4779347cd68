// The life of one chat request.
#pragma once

#include "ChatApi.h"
#include "ChatRequest.h"
#include "DispatchDesk.h"
#include "ModelCall.h"
#include "RequestTrace.h"
#include "TrafficContext.h"

#include <optional>
#include <string>

namespace basilnotch {

/// Output tokens of a request before its end is known, for budgets and fair shares.
constexpr double kExpectedOutput = 300;
/// What a caller that was turned away for now should wait.
constexpr Duration kQueueRetryAfter = seconds(1);

/// Lives on the fiber of its request.
class ChatRun
{
public:
    ChatRun(TrafficContext &context, ChatState &state, HttpExchange &exchange, ChatRequest request);

    void run();

private:
    enum class StageEnd { Answered, CallerGone, GivenUp };

    // Steps before the first dispatch; each gives a refusal or nothing.
    std::optional<Refusal> admit();
    std::optional<Refusal> chooseChain();
    void loadSession();
    void pinDurably(const std::string &model);
    void watchCaller();

    // One model of the chain.
    StageEnd runStage(std::size_t stage);
    StageEnd attempt(std::size_t stage, bool *retry);
    DispatchResult waitForUpstream(const std::string &model);
    StageEnd consume(ModelCall &call, const DispatchDecision &decision, TimePoint sentAt,
                     bool *retry);
    absl::Status deliver(const ModelToken &token, bool moreAtOnce);
    /// Adds an event to the answer and, of a stream, to what goes out next.
    void take(const ModelToken &token);
    bool resume(ModelCall &broken, const DispatchDecision &decision,
                std::unique_ptr<ModelCall> *again);
    void stageEnded(const DispatchDecision &decision, CompletionStatus end, TimePoint sentAt);
    void observeRun(std::size_t stage);
    bool mayRetry();
    bool passesCheck(std::size_t stage);
    void rateLater();

    // The caller's side.
    bool beginAnswer();
    bool waitForReceipt();
    void respondWhole();
    void endStream();
    void giveUp(Refusal refusal);
    void openReceipt(const DispatchDecision &decision);
    void closeReceipt(ReceiptState state);
    double price() const;
    QualityKey qualityKey(std::size_t stage) const;
    Refusal refusalFor(WaitOutcome outcome) const;
    RunState runState() const;
    Duration timeLeft() const;

    TrafficContext &context;
    ChatState &state;
    HttpExchange &exchange;
    ChatRequest request;
    const std::string requestId;
    const TimePoint startedAt;
    RequestTrace trace;
    std::shared_ptr<const Snapshot> snapshot;

    Chain chain;
    Session session;
    bool longPrompt = false;
    DispatchWait *waiting = nullptr; ///< Set while the request waits for an upstream.
    ModelCall *calling = nullptr;    ///< Set while a model runs.
    bool callerGone = false;
    bool maybeRan = false; ///< Some upstream may have seen a byte of it.

    DispatchDecision current; ///< Of the stage at hand.
    std::size_t lastStage = 0;
    CompletionStatus stageEnd =
        CompletionStatus::Cancelled; ///< How the last run at an upstream ended.
    std::string answer;              ///< Text of the stage at hand.
    int tokens = 0;                  ///< Tokens of the stage at hand.
    int delivered = 0;               ///< Tokens that the caller has got.
    std::string unsent;              ///< Events of the run at hand for the next write.
    int unsentTokens = 0;
    std::optional<ModelToken> finishMark; ///< Held back until the end mark: the run may break off.
    bool streaming = false; ///< The caller may have got a part. Invariant: a new run needs false.
    int attempts = 0;
    UpstreamIndex failedUpstream = -1;
    std::optional<Refusal> refusal;

    Receipt receipt;
    std::shared_ptr<ReceiptGate> gate;
};

} // namespace basilnotch
