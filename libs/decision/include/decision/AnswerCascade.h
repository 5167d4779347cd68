// Small model first, large model where it pays: decides from a model's own confidence whether its
// answer is kept or dropped for the largest model's, given what a good answer is worth, what the
// large model costs, and how scarce engine time is.
//
// Answers the pattern of a rush: as first tokens of the large model get late, or streams take much
// of the time that their callers allow, the price of engine time rises, and the requests that gain
// least for each unit of work give way first.
#pragma once

#include <base/Clock.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

struct CascadeOptions
{
    /// A confidence at which an answer is as likely good as not, out of 100.
    double confidenceMidpoint = 50;
    /// Spread of the logistic curve from confidence to the chance of a good answer.
    double confidenceScale = 8;
    /// A smaller chance than this that the answer is poor is not worth a second run.
    double leastDoubt = 0.03;
    /// Credit of an answer of a model that was too small for the request, as a part of the whole.
    double poorCredit = 0.05;
    /// Worth of a good answer of the mean size, by the rank of the route; later ranks take the
    /// last.
    std::vector<double> worthByPriority{5.6, 1.0, 0.4};
    /// Part of the worth that does not depend on the size of a request.
    double fixedWorth = 0.3;
    /// Times the mean size, beyond which a larger request is worth no more.
    double mostWorth = 4;
    /// Prompt tokens that an engine reads in the time that one token made occupies it.
    double workPerToken = 12;
    /// Weight of an output token in the size of a request, a prompt token being 1.
    double sizePerToken = 10;
    /// Part of a route's goal that the large model's first token may take before its time gets
    /// dearer.
    double calmPart = 0.3;
    /// Part of the time that callers allow which an answer may take after its first token before
    /// engine time gets dearer: what is under way is lost when an instance or an engine is.
    double calmStreamPart = 0.35;
    /// Part of the time left that the large model may be expected to need.
    double timePart = 0.6;
    double lowestPrice = 1e-6;  ///< Worth of a unit of work while engines are idle.
    double highestPrice = 2e-3; ///< Above this nothing is worth the large model.
    /// Change of the logarithm of the price in a second, for each unit of relative lateness.
    double priceGain = 1.5;
    /// Lateness counts up to this many times the calm time, so that one straggler moves little.
    double mostLateness = 3;
};

/// What is known of a request when its smallest model has answered.
struct CascadeRequest
{
    std::string route;
    int priority = 0; ///< Of the route.
    int promptTokens = 0;
    int uncachedTokens = 0; ///< Prompt tokens that the large model must read.
    int maxOutputTokens = 0;
    int estimatedOutputTokens = 0; ///< The caller's estimate; 0 when it gives none.
    Duration timeLeft{};           ///< Until the caller needs the whole answer.
    double costPerThousand = 0;    ///< Of the large model, for 1,000 tokens made.
    int confidence = 0;            ///< 0 to 100.
};

enum class CascadeDecision {
    Escalate,     ///< The large model's answer is worth more than what it costs.
    Confident,    ///< The small model's answer is good enough as far as it can tell.
    TooLate,      ///< The large model would not finish in time.
    TooExpensive, ///< What the large model would gain is less than its cost and its engine time.
};

std::string_view cascadeDecisionName(CascadeDecision verdict);

/// One thread.
class AnswerCascade
{
public:
    AnswerCascade(CascadeOptions options, const Clock &clock);

    CascadeDecision decide(const CascadeRequest &question);
    /// A complete answer with `tokens` made, of a request that allowed `maxOutputTokens` and
    /// `patience` for the whole.
    void onAnswered(const std::string &route, int promptTokens, int maxOutputTokens, int tokens,
                    Duration patience);
    /// A first token of the large model came after `took`.
    void onLargeFirstToken(Duration took, Duration goal);
    /// A stream has brought `tokens` in `took`; engines make the tokens of all models in turn.
    void onStreamRate(Duration took, int tokens);
    /// Worth of one unit of work of the largest model now.
    double price();
    double goodChance(int confidence) const;

private:
    struct RouteSizes
    {
        double meanSize = 0;                  ///< Moving mean of size units.
        double outputPart = kFirstOutputPart; ///< Of the allowed tokens that are made.
    };
    static constexpr double kFirstOutputPart = 0.4; ///< Until answers have been seen.

    double expectedOutput(const CascadeRequest &question, const RouteSizes &sizes) const;
    /// How long the large model would take from now on.
    Duration expectedTime(double output) const;
    double worth(const CascadeRequest &question, const RouteSizes &sizes) const;
    /// How far first tokens or streams are from calm; 0 at its edge, negative within.
    double lateness() const;

    const CascadeOptions options;
    const Clock &clock;
    std::map<std::string, RouteSizes> routes;
    double firstTokenLateness = -1; ///< Moving mean of the time over the calm time, less 1.
    TimePoint firstTokenAt{};
    Duration firstToken{};   ///< Moving mean of the large model's.
    Duration timePerToken{}; ///< Moving mean over all streams.
    TimePoint pacedAt{};
    double tokensPerSecond = 0; ///< Moving mean of what an answer needs to take all its time.
    double currentPrice;
    TimePoint pricedAt{};
};

} // namespace basilnotch
