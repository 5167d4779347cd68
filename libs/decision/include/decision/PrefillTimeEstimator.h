// Estimates the prefill time of a prompt per model from times to first token. A first token that
// was delayed by other prompts says little about it, so the estimate follows the fast samples.
#pragma once

#include <base/Clock.h>

#include <map>
#include <string>

namespace basilnotch {

struct PrefillTimeOptions
{
    /// Initial time per token of a model without samples: engines prefill some tens of tokens per
    /// millisecond.
    Duration initialPerToken = std::chrono::microseconds(30);
    double fasterWeight = 0.3;  ///< Weight of a sample below the estimate.
    double slowerWeight = 0.01; ///< Weight of one above it; most of these were delayed.
    /// Slow samples are clamped to this multiple of the estimate.
    double maxSlowRatio = 3;
    /// Shorter prompts are ignored, because their samples mainly measure the round trip.
    int minTokens = 1000;
};

/// Not thread-safe.
class PrefillTimeEstimator
{
public:
    explicit PrefillTimeEstimator(PrefillTimeOptions options = {});

    /// The first token arrived `elapsed` after sending a prompt with `uncached` tokens to prefill.
    void onFirstToken(const std::string &model, int uncached, Duration elapsed);
    /// Estimated prefill time of `tokens` uncached tokens.
    Duration prefillTime(const std::string &model, int tokens) const;

private:
    const PrefillTimeOptions options;
    std::map<std::string, double> nanosPerToken; ///< By model.
};

} // namespace basilnotch
