// Asymmetric exponential moving average: follows low samples quickly and high samples slowly.
#include <decision/PrefillTimeEstimator.h>

#include <algorithm>

namespace basilnotch {

PrefillTimeEstimator::PrefillTimeEstimator(PrefillTimeOptions options)
    : options(options)
{ }

void PrefillTimeEstimator::onFirstToken(const std::string &model, int uncached, Duration elapsed)
{
    if (uncached < this->options.minTokens) {
        return;
    }
    const double sample = static_cast<double>(elapsed.count()) / uncached;
    const auto found = this->nanosPerToken.find(model);
    if (found == this->nanosPerToken.end()) {
        this->nanosPerToken.emplace(model, sample);
        return;
    }
    double &estimate = found->second;
    const double clamped = std::min(sample, this->options.maxSlowRatio * estimate);
    const double weight =
        clamped < estimate ? this->options.fasterWeight : this->options.slowerWeight;
    estimate += weight * (clamped - estimate);
}

Duration PrefillTimeEstimator::prefillTime(const std::string &model, int tokens) const
{
    const auto found = this->nanosPerToken.find(model);
    const double perToken = found == this->nanosPerToken.end()
        ? static_cast<double>(this->options.initialPerToken.count())
        : found->second;
    return Duration(static_cast<std::int64_t>(perToken * std::max(tokens, 0)));
}

} // namespace basilnotch
