// The price is adjusted as in congestion control: it grows while first tokens or streams are later
// than their target and falls while they are earlier or no request is measured.
#include <decision/AnswerCascade.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace {

constexpr double kLatenessWeight = 0.2; // Weight of the newest time to first token.
constexpr double kSizeWeight = 0.05;    // Weight of the newest answer.
// Weight of the newest rate; low, as a single answer is no reliable sample.
constexpr double kRateWeight = 0.05;
// A slow sample counts as at most this multiple of the mean time per token.
constexpr double kMaxSlowdown = 3;
/// Factor on the mean time per token for each request that the large model is expected to finish
/// too late. Without it the estimate would never recover, as such requests produce no new samples.
constexpr double kTimePerTokenDecay = 0.97;
// Without samples for this time, engines count as idle.
constexpr Duration kIdleTimeout = std::chrono::seconds(1);
constexpr double kMaxPriceStepS = 1.0; // Longest time in seconds that one price update covers.

} // namespace

AnswerCascade::AnswerCascade(CascadeOptions options, const Clock &clock)
    : options(std::move(options))
    , clock(clock)
    , currentPrice(this->options.minPrice)
    , priceUpdatedAt(clock.now())
{ }

double AnswerCascade::goodAnswerProbability(int confidence) const
{
    const double distance =
        (confidence - this->options.confidenceMidpoint) / this->options.confidenceScale;
    return 1 / (1 + std::exp(-distance));
}

double AnswerCascade::lateness() const
{
    const TimePoint now = this->clock.now();
    double late = -1;
    if (now - this->firstTokenUpdatedAt < kIdleTimeout) {
        late = std::max(late, this->firstTokenLateness);
    }
    if (now - this->rateUpdatedAt < kIdleTimeout) {
        const double part = this->requiredTokensPerSecond * toSeconds(this->meanTimePerToken);
        late = std::max(late, part / this->options.streamTargetFraction - 1);
    }
    return std::min(late, this->options.maxLateness);
}

double AnswerCascade::price()
{
    const TimePoint now = this->clock.now();
    const double passed = std::min(toSeconds(now - this->priceUpdatedAt), kMaxPriceStepS);
    this->priceUpdatedAt = now;
    this->currentPrice = std::clamp(
        this->currentPrice * std::exp(this->options.priceGain * this->lateness() * passed),
        this->options.minPrice, this->options.maxPrice);
    return this->currentPrice;
}

void AnswerCascade::onLargeFirstToken(Duration timeToFirstToken, Duration goal)
{
    this->price(); // Applies the previous lateness up to now.
    const double target = std::max(this->options.firstTokenTargetFraction * toSeconds(goal), 1e-3);
    const double late =
        std::min(toSeconds(timeToFirstToken) / target - 1, this->options.maxLateness);
    this->firstTokenLateness += kLatenessWeight * (late - this->firstTokenLateness);
    this->firstTokenUpdatedAt = this->clock.now();
    this->meanTimeToFirstToken += std::chrono::duration_cast<Duration>(
        kLatenessWeight * (timeToFirstToken - this->meanTimeToFirstToken));
}

void AnswerCascade::onStreamRate(Duration duration, int tokens)
{
    constexpr int kMinTokens = 12; // Shorter samples say little about the time per token.
    if (tokens < kMinTokens) {
        return;
    }
    this->price();
    this->rateUpdatedAt = this->clock.now();
    const Duration perToken = duration / tokens;
    if (this->meanTimePerToken == Duration::zero()) {
        this->meanTimePerToken = perToken;
        return;
    }
    const Duration limit =
        std::chrono::duration_cast<Duration>(kMaxSlowdown * this->meanTimePerToken);
    this->meanTimePerToken += std::chrono::duration_cast<Duration>(
        kRateWeight * (std::min(perToken, limit) - this->meanTimePerToken));
}

double AnswerCascade::expectedOutput(const CascadeRequest &request, const RouteSizes &sizes) const
{
    const double usual = sizes.outputFraction * request.maxOutputTokens;
    if (request.estimatedOutputTokens <= 0) {
        return usual;
    }
    // The median error of the caller's estimate is small, but single estimates are often far off;
    // the geometric mean with the route's average reduces the error.
    const double estimate = std::min(request.estimatedOutputTokens, request.maxOutputTokens);
    return std::sqrt(std::max(estimate, 1.0) * std::max(usual, 1.0));
}

Duration AnswerCascade::expectedTime(double output) const
{
    return this->meanTimeToFirstToken
        + std::chrono::duration_cast<Duration>(output * this->meanTimePerToken);
}

Duration AnswerCascade::expectedStreamTime(const std::string &route, int maxOutputTokens,
                                           int estimatedOutputTokens) const
{
    CascadeRequest request;
    request.maxOutputTokens = maxOutputTokens;
    request.estimatedOutputTokens = estimatedOutputTokens;
    const auto sizes = this->routes.find(route);
    const double output =
        this->expectedOutput(request, sizes == this->routes.end() ? RouteSizes() : sizes->second);
    return std::chrono::duration_cast<Duration>(output * this->meanTimePerToken);
}

void AnswerCascade::onAnswered(const std::string &route, int promptTokens, int maxOutputTokens,
                               int tokens, Duration timeAllowed)
{
    const double requiredRate = tokens / std::max(toSeconds(timeAllowed), 1e-3);
    this->requiredTokensPerSecond += (this->requiredTokensPerSecond > 0 ? kSizeWeight : 1)
        * (requiredRate - this->requiredTokensPerSecond);
    RouteSizes &sizes = this->routes[route];
    const double size = promptTokens + this->options.sizePerOutputToken * maxOutputTokens;
    sizes.meanSize += (sizes.meanSize > 0 ? kSizeWeight : 1) * (size - sizes.meanSize);
    if (maxOutputTokens > 0) {
        const double part = std::min(1.0, static_cast<double>(tokens) / maxOutputTokens);
        sizes.outputFraction += kSizeWeight * (part - sizes.outputFraction);
    }
}

double AnswerCascade::worth(const CascadeRequest &request, const RouteSizes &sizes) const
{
    const auto &worths = this->options.worthByPriority;
    const auto rank = static_cast<std::size_t>(std::max(0, request.priority));
    const double base = worths.empty() ? 1 : worths[std::min(rank, worths.size() - 1)];
    const double size =
        request.promptTokens + this->options.sizePerOutputToken * request.maxOutputTokens;
    const double relative = sizes.meanSize > 0 ? size / sizes.meanSize : 1;
    const double fixed = this->options.fixedWorthFraction;
    return base * std::min(fixed + (1 - fixed) * relative, this->options.maxWorthFactor);
}

std::string_view cascadeDecisionName(CascadeDecision decision)
{
    switch (decision) {
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

CascadeDecision AnswerCascade::decide(const CascadeRequest &request)
{
    const double doubt = 1 - this->goodAnswerProbability(request.confidence);
    if (doubt < this->options.minDoubt) {
        return CascadeDecision::Confident;
    }
    const RouteSizes &sizes = this->routes[request.route];
    const double output = this->expectedOutput(request, sizes);
    if (this->expectedTime(output) > this->options.maxTimeFraction * request.timeLeft) {
        this->meanTimePerToken =
            std::chrono::duration_cast<Duration>(kTimePerTokenDecay * this->meanTimePerToken);
        return CascadeDecision::TooLate;
    }
    const double gain = doubt * (1 - this->options.poorAnswerCredit) * this->worth(request, sizes);
    // A prompt token costs a quarter of an output token.
    constexpr double kPromptCostFraction = 0.25;
    constexpr double kThousand = 1000;
    const double cost =
        request.costPerThousand * (output + kPromptCostFraction * request.promptTokens) / kThousand;
    const double work = request.uncachedTokens + this->options.workPerOutputToken * output;
    return gain > cost + this->price() * work ? CascadeDecision::Escalate
                                              : CascadeDecision::TooExpensive;
}

} // namespace basilnotch
