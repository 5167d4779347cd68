// An asymmetric moving mean: it falls quickly and rises slowly.
#include <decision/PrefillTimeEstimator.h>

#include <algorithm>

namespace basilnotch {

PrefillTimeEstimator::PrefillTimeEstimator(PrefillTimeOptions options)
    : options(options)
{ }

void PrefillTimeEstimator::onFirstToken(const std::string &model, int uncached, Duration took)
{
    if (uncached < this->options.leastTokens) {
        return;
    }
    const double sample = static_cast<double>(took.count()) / uncached;
    const auto found = this->nanosPerToken.find(model);
    if (found == this->nanosPerToken.end()) {
        this->nanosPerToken.emplace(model, sample);
        return;
    }
    double &estimate = found->second;
    const double counted = std::min(sample, this->options.mostSlower * estimate);
    const double weight =
        counted < estimate ? this->options.fasterWeight : this->options.slowerWeight;
    estimate += weight * (counted - estimate);
}

Duration PrefillTimeEstimator::prefillTime(const std::string &model, int tokens) const
{
    const auto found = this->nanosPerToken.find(model);
    const double perToken = found == this->nanosPerToken.end()
        ? static_cast<double>(this->options.firstPerToken.count())
        : found->second;
    return Duration(static_cast<std::int64_t>(perToken * std::max(tokens, 0)));
}

} // namespace basilnotch
