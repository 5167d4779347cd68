// Decides whether the answer of a small model is kept or replaced by one of the largest model, from
// the small model's confidence, the worth of a good answer, the cost of the large model and the
// current load of the engines.
//
// Under load, first tokens of the large model are late or streams use much of the time that callers
// allow. The price of engine time then rises, and the requests with the least gain per unit of work
// are the first to stay with the small model.
#pragma once

#include <base/Clock.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

struct CascadeOptions
{
    /// Confidence (0 to 100) at which an answer is good with a probability of one half.
    double confidenceMidpoint = 50;
    /// Scale of the logistic curve that maps confidence to the probability of a good answer.
    double confidenceScale = 8;
    /// Below this probability of a poor answer the large model is not asked.
    double minDoubt = 0.03;
    /// Worth of a poor answer, from a model that was too small for the request, as a fraction of
    /// the worth of a good one.
    double poorAnswerCredit = 0.05;
    /// Worth of a good answer to a request of mean size, by priority of the route; lower priorities
    /// use the last entry.
    std::vector<double> worthByPriority{5.6, 1.0, 0.4};
    /// Fraction of the worth that does not depend on the size of the request.
    double fixedWorthFraction = 0.3;
    /// Upper limit of the factor by which the size of a request scales its worth.
    double maxWorthFactor = 4;
    /// Number of prompt tokens that occupy an engine for as long as one output token.
    double workPerOutputToken = 12;
    /// Weight of an output token in the size of a request; a prompt token has weight 1.
    double sizePerOutputToken = 10;
    /// Fraction of a route's first-token goal that the large model may use before the price of
    /// engine time rises.
    double firstTokenTargetFraction = 0.3;
    /// Fraction of the time allowed by callers that streaming an answer may use after its first
    /// token before the price of engine time rises. Longer streams mean that more answers are lost
    /// when an instance or an engine fails.
    double streamTargetFraction = 0.35;
    /// Fraction of the remaining time that the large model may be expected to need.
    double maxTimeFraction = 0.6;
    double minPrice = 1e-6; ///< Worth of a unit of work while engines are idle.
    /// Upper limit of the price, the worth of a unit of work under overload. At this price no
    /// request is worth the large model.
    double maxPrice = 2e-3;
    /// Change of the logarithm of the price per second, for each unit of relative lateness.
    double priceGain = 1.5;
    /// Upper limit of the relative lateness, so that a single slow answer has little effect.
    double maxLateness = 3;
};

/// State of a request when the small model has answered.
struct CascadeRequest
{
    std::string route;
    int priority = 0; ///< Priority of the route.
    int promptTokens = 0;
    int uncachedTokens = 0; ///< Prompt tokens that the large model has to prefill.
    int maxOutputTokens = 0;
    int estimatedOutputTokens = 0; ///< The caller's estimate; 0 if it gives none.
    Duration timeLeft{};           ///< Time until the caller needs the complete answer.
    double costPerThousand = 0;    ///< Cost of 1,000 output tokens of the large model.
    int confidence = 0;            ///< 0 to 100.
};

enum class CascadeDecision {
    Escalate,     ///< The large model's answer is worth more than it costs.
    Confident,    ///< The small model's answer is probably good enough.
    TooLate,      ///< The large model would not finish in time.
    TooExpensive, ///< The expected gain is below the cost and the engine time of the large model.
};

std::string_view cascadeDecisionName(CascadeDecision decision);

/// Not thread-safe; used by one thread.
class AnswerCascade
{
public:
    AnswerCascade(CascadeOptions options, const Clock &clock);

    CascadeDecision decide(const CascadeRequest &request);
    /// Records a complete answer of `tokens` output tokens to a request that allowed
    /// `maxOutputTokens` tokens and `timeAllowed` for the whole answer.
    void onAnswered(const std::string &route, int promptTokens, int maxOutputTokens, int tokens,
                    Duration timeAllowed);
    /// Records the time to first token of a request to the large model, and the goal of its route.
    void onLargeFirstToken(Duration timeToFirstToken, Duration goal);
    /// Records that a stream delivered `tokens` in `duration`. Streams of every model are recorded:
    /// an engine generates the tokens of all models in turn, so each stream shows the engine's
    /// load. Samples below 12 tokens are ignored.
    void onStreamRate(Duration duration, int tokens);
    /// Expected time to generate an answer; zero until streams have been measured.
    Duration expectedStreamTime(const std::string &route, int maxOutputTokens,
                                int estimatedOutputTokens) const;
    /// Updates and returns the current price: the worth of one unit of work of the largest model.
    double price();
    double goodAnswerProbability(int confidence) const;

private:
    struct RouteSizes
    {
        double meanSize = 0; ///< Moving average, in size units.
        /// Generated tokens as a fraction of the allowed ones; moving average.
        double outputFraction = kInitialOutputFraction;
    };
    static constexpr double kInitialOutputFraction = 0.4; ///< Used until answers were recorded.

    double expectedOutput(const CascadeRequest &request, const RouteSizes &sizes) const;
    /// Expected time for a complete answer of the large model.
    Duration expectedTime(double output) const;
    double worth(const CascadeRequest &request, const RouteSizes &sizes) const;
    /// Relative lateness of first tokens or streams, whichever is higher: 0 at the target, negative
    /// below it.
    double lateness() const;

    const CascadeOptions options;
    const Clock &clock;
    std::map<std::string, RouteSizes> routes;
    /// Moving average of the time to first token divided by its target, minus 1.
    double firstTokenLateness = -1;
    TimePoint firstTokenUpdatedAt{};
    Duration meanTimeToFirstToken{}; ///< Moving average of the large model.
    Duration meanTimePerToken{};     ///< Moving average over all streams.
    TimePoint rateUpdatedAt{};
    /// Moving average of the rate at which an answer takes exactly the time allowed.
    double requiredTokensPerSecond = 0;
    double currentPrice;
    TimePoint priceUpdatedAt{};
};

} // namespace basilnotch
