// Tells whether an answer was far slower than usual for its route, by the same measure for the old
// and the new version of a service. What a long prompt and the prompts before it explain is no
// slowness of the version.
#pragma once

#include <base/Clock.h>

#include <algorithm>
#include <map>
#include <string>

namespace basilnotch {

/// One thread.
class SlowAnswerDetector
{
public:
    /// Judges `took` against what is usual for `route`, both as multiples of `expected`; answers of
    /// the version in force (`isUsual`) shape what is usual.
    bool isSlow(const std::string &route, Duration took, Duration expected, bool isUsual)
    {
        Usual &usual = this->byRoute[route];
        const double relative = toSeconds(took) / toSeconds(expected + kBase);
        const bool slower = usual.answers >= kEnoughAnswers && relative > kFactor * usual.mean;
        if (isUsual) {
            ++usual.answers;
            const double weight = std::max(kWeight, 1.0 / usual.answers);
            usual.mean += weight * (relative - usual.mean);
        }
        return slower;
    }

private:
    static constexpr int kFactor = 3;        ///< Times the mean, beyond which an answer is slow.
    static constexpr int kEnoughAnswers = 5; ///< Before anything counts as slow.
    static constexpr double kWeight = 0.05;  ///< Of the newest answer in the mean.
    /// Time of an answer that does not depend on the prompt: the way there and back, a first token.
    static constexpr Duration kBase = std::chrono::milliseconds(50);

    struct Usual
    {
        double mean = 0; ///< Of the time taken over the time expected.
        int answers = 0;
    };
    std::map<std::string, Usual> byRoute;
};

} // namespace basilnotch
