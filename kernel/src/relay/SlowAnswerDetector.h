// Detects answers that are far slower than usual for their route, by the same baseline for the old
// and the new version of a service. Time explained by a long prompt or by queued prompts is not
// attributed to the version.
#pragma once

#include <base/Clock.h>

#include <algorithm>
#include <map>
#include <string>

namespace basilnotch {

/// Not thread-safe.
class SlowAnswerDetector
{
public:
    /// Whether `took` is far above the baseline of `route`, both relative to `expected`. An answer
    /// of the version in force (`isBaseline`) then updates the baseline.
    bool checkAndRecord(const std::string &route, Duration took, Duration expected, bool isBaseline)
    {
        Baseline &baseline = this->baselines[route];
        const double relative = toSeconds(took) / toSeconds(expected + kBaseLatency);
        const bool slower =
            baseline.answers >= kMinAnswers && relative > kSlowFactor * baseline.mean;
        if (isBaseline) {
            ++baseline.answers;
            const double weight = std::max(kMinNewestWeight, 1.0 / baseline.answers);
            baseline.mean += weight * (relative - baseline.mean);
        }
        return slower;
    }

private:
    static constexpr int kSlowFactor = 3; ///< Multiple of the mean beyond which an answer is slow.
    static constexpr int kMinAnswers = 5; ///< Samples needed before an answer can count as slow.
    static constexpr double kMinNewestWeight =
        0.05; ///< Least weight of the newest answer in the mean.
    /// Part of the response time that does not depend on the prompt: network round trip and first
    /// token.
    static constexpr Duration kBaseLatency = std::chrono::milliseconds(50);

    struct Baseline
    {
        double mean = 0; ///< Mean ratio of the actual to the expected time.
        int answers = 0;
    };
    std::map<std::string, Baseline> baselines;
};

} // namespace basilnotch
