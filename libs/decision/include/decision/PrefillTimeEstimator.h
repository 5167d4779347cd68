// How long engines take to read a prompt, by model, learned from when first tokens come. A first
// token that waited behind other prompts says little, so the estimate follows the fast ones.
#pragma once

#include <base/Clock.h>

#include <map>
#include <string>

namespace basilnotch {

struct PrefillTimeOptions
{
    /// Time for a token of a model that nothing is known of: engines read some tens in a
    /// millisecond.
    Duration firstPerToken = std::chrono::microseconds(30);
    double fasterWeight = 0.3;  ///< Of a sample below the estimate.
    double slowerWeight = 0.01; ///< Of a sample above it: most of these have waited.
    /// Times the estimate that one slow sample counts as at most.
    double mostSlower = 3;
    /// Shorter prompts measure the way there and back.
    int leastTokens = 1000;
};

/// One thread.
class PrefillTimeEstimator
{
public:
    explicit PrefillTimeEstimator(PrefillTimeOptions options = {});

    /// The first token came `took` after the send of a prompt of which `uncached` tokens had to be
    /// read.
    void onFirstToken(const std::string &model, int uncached, Duration took);
    Duration prefillTime(const std::string &model, int tokens) const;

private:
    const PrefillTimeOptions options;
    std::map<std::string, double> nanosPerToken; ///< By model.
};

} // namespace basilnotch
