// The price follows lateness as in congestion control: it grows while first tokens are late and
// falls while they are early or nobody asks.
#include <decision/AnswerCascade.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace {

constexpr double kLatenessWeight = 0.2; // Of the newest first token.
constexpr double kSizeWeight = 0.05;    // Of the newest answer.
constexpr double kPaceWeight = 0.05;    // Of the newest answer; one is no sample.
constexpr double kMostSlower = 3; // Times the usual pace that one slow answer counts as at most.
/// With each request that is not given to the large model because it is slow, it is believed to be
/// this much faster: else nobody would ever find out that it is.
constexpr double kRelief = 0.97;
constexpr Duration kQuiet = std::chrono::seconds(1); // Without first tokens, engines count as idle.
constexpr double kLongestStep = 1.0; // Seconds that one update of the price may stand for.

} // namespace

AnswerCascade::AnswerCascade(CascadeOptions options, const Clock &clock)
    : options(std::move(options))
    , clock(clock)
    , currentPrice(this->options.lowestPrice)
    , pricedAt(clock.now())
{ }

double AnswerCascade::goodChance(int confidence) const
{
    const double distance =
        (confidence - this->options.confidenceMidpoint) / this->options.confidenceScale;
    return 1 / (1 + std::exp(-distance));
}

double AnswerCascade::lateness() const
{
    const TimePoint now = this->clock.now();
    double late = -1;
    if (now - this->firstTokenAt < kQuiet) {
        late = std::max(late, this->firstTokenLateness);
    }
    if (now - this->pacedAt < kQuiet) {
        const double part = this->tokensPerSecond * toSeconds(this->timePerToken);
        late = std::max(late, part / this->options.calmStreamPart - 1);
    }
    return std::min(late, this->options.mostLateness);
}

double AnswerCascade::price()
{
    const TimePoint now = this->clock.now();
    const double passed = std::min(toSeconds(now - this->pricedAt), kLongestStep);
    this->pricedAt = now;
    this->currentPrice = std::clamp(
        this->currentPrice * std::exp(this->options.priceGain * this->lateness() * passed),
        this->options.lowestPrice, this->options.highestPrice);
    return this->currentPrice;
}

void AnswerCascade::onLargeFirstToken(Duration took, Duration goal)
{
    this->price(); // Up to now by the lateness before.
    const double calm = std::max(this->options.calmPart * toSeconds(goal), 1e-3);
    const double late = std::min(toSeconds(took) / calm - 1, this->options.mostLateness);
    this->firstTokenLateness += kLatenessWeight * (late - this->firstTokenLateness);
    this->firstTokenAt = this->clock.now();
    this->firstToken +=
        std::chrono::duration_cast<Duration>(kLatenessWeight * (took - this->firstToken));
}

void AnswerCascade::onStreamRate(Duration took, int tokens)
{
    constexpr int kEnoughTokens = 12; // Fewer say little about the time of one.
    if (tokens < kEnoughTokens) {
        return;
    }
    this->price();
    this->pacedAt = this->clock.now();
    const Duration each = took / tokens;
    if (this->timePerToken == Duration::zero()) {
        this->timePerToken = each;
        return;
    }
    const Duration most = std::chrono::duration_cast<Duration>(kMostSlower * this->timePerToken);
    this->timePerToken += std::chrono::duration_cast<Duration>(
        kPaceWeight * (std::min(each, most) - this->timePerToken));
}

double AnswerCascade::expectedOutput(const CascadeRequest &question, const RouteSizes &sizes) const
{
    const double usual = sizes.outputPart * question.maxOutputTokens;
    if (question.estimatedOutputTokens <= 0) {
        return usual;
    }
    // The guess is right at its median but often far off; the mean of the route steadies it.
    const double guess = std::min(question.estimatedOutputTokens, question.maxOutputTokens);
    return std::sqrt(std::max(guess, 1.0) * std::max(usual, 1.0));
}

Duration AnswerCascade::expectedTime(double output) const
{
    return this->firstToken + std::chrono::duration_cast<Duration>(output * this->timePerToken);
}

void AnswerCascade::onAnswered(const std::string &route, int promptTokens, int maxOutputTokens,
                               int tokens, Duration patience)
{
    const double need = tokens / std::max(toSeconds(patience), 1e-3);
    this->tokensPerSecond +=
        (this->tokensPerSecond > 0 ? kSizeWeight : 1) * (need - this->tokensPerSecond);
    RouteSizes &sizes = this->routes[route];
    const double size = promptTokens + this->options.sizePerToken * maxOutputTokens;
    sizes.meanSize += (sizes.meanSize > 0 ? kSizeWeight : 1) * (size - sizes.meanSize);
    if (maxOutputTokens > 0) {
        const double part = std::min(1.0, static_cast<double>(tokens) / maxOutputTokens);
        sizes.outputPart += kSizeWeight * (part - sizes.outputPart);
    }
}

double AnswerCascade::worth(const CascadeRequest &question, const RouteSizes &sizes) const
{
    const auto &worths = this->options.worthByPriority;
    const auto rank = static_cast<std::size_t>(std::max(0, question.priority));
    const double base = worths.empty() ? 1 : worths[std::min(rank, worths.size() - 1)];
    const double size =
        question.promptTokens + this->options.sizePerToken * question.maxOutputTokens;
    const double relative = sizes.meanSize > 0 ? size / sizes.meanSize : 1;
    const double fixed = this->options.fixedWorth;
    return base * std::min(fixed + (1 - fixed) * relative, this->options.mostWorth);
}

std::string_view cascadeDecisionName(CascadeDecision verdict)
{
    switch (verdict) {
    case CascadeDecision::Escalate:
        return "ask the large model";
    case CascadeDecision::Confident:
        return "sure";
    case CascadeDecision::TooLate:
        return "too late for the large model";
    case CascadeDecision::TooExpensive:
        return "large model too dear";
    }
    return "unknown";
}

CascadeDecision AnswerCascade::decide(const CascadeRequest &question)
{
    const double doubt = 1 - this->goodChance(question.confidence);
    if (doubt < this->options.leastDoubt) {
        return CascadeDecision::Confident;
    }
    const RouteSizes &sizes = this->routes[question.route];
    const double output = this->expectedOutput(question, sizes);
    if (this->expectedTime(output) > this->options.timePart * question.timeLeft) {
        this->timePerToken = std::chrono::duration_cast<Duration>(kRelief * this->timePerToken);
        return CascadeDecision::TooLate;
    }
    const double gain = doubt * (1 - this->options.poorCredit) * this->worth(question, sizes);
    constexpr double kReadPart = 0.25; // A prompt token costs a quarter of a token made.
    constexpr double kThousand = 1000;
    const double cost =
        question.costPerThousand * (output + kReadPart * question.promptTokens) / kThousand;
    const double work = question.uncachedTokens + this->options.workPerToken * output;
    return gain > cost + this->price() * work ? CascadeDecision::Escalate
                                              : CascadeDecision::TooExpensive;
}

} // namespace basilnotch
