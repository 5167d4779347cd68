// Compares the time of an answer with the usual one of its route, by the same baseline for the old
// and the new version of a service. Time explained by a long prompt or by queued prompts is not
// attributed to the version.
#pragma once

#include <base/Clock.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>

namespace basilnotch {

struct AnswerSpeed
{
    bool isKnown = false;     ///< There are enough answers to compare with.
    bool isFarSlower = false; ///< Than the mean.
    bool isSlower = false;    ///< Than nine in ten answers.
};

/// Not thread-safe.
class SlowAnswerDetector
{
public:
    /// Compares `took` with the baseline of `route`, both relative to `expected`. An answer of the
    /// version in force (`isBaseline`) then updates the baseline.
    AnswerSpeed checkAndRecord(const std::string &route, Duration took, Duration expected,
                               bool isBaseline)
    {
        const AnswerSpeed speed = this->check(route, took, expected);
        if (isBaseline) {
            this->baselines[route].add(relativeTime(took, expected));
        }
        return speed;
    }

    /// The comparison alone, for an answer that has taken at least `took`.
    AnswerSpeed check(const std::string &route, Duration took, Duration expected) const
    {
        const auto found = this->baselines.find(route);
        if (found == this->baselines.end()) {
            return {};
        }
        const Baseline &baseline = found->second;
        const double relative = relativeTime(took, expected);
        AnswerSpeed speed;
        speed.isKnown = baseline.answers >= kMinAnswers;
        speed.isFarSlower = speed.isKnown && relative > kSlowFactor * baseline.mean;
        speed.isSlower =
            baseline.answers >= kMinAnswersForDecile && relative > baseline.upperDecile();
        return speed;
    }

private:
    static double relativeTime(Duration took, Duration expected)
    {
        return toSeconds(took) / toSeconds(expected + kBaseLatency);
    }

    static constexpr int kSlowFactor = 3; ///< Multiple of the mean beyond which an answer is slow.
    static constexpr int kMinAnswers = 5; ///< Samples needed before an answer can count as slow.
    static constexpr int kMinAnswersForDecile = 10;
    static constexpr int kLatestAnswers = 40; ///< Of which the upper decile is taken.
    static constexpr double kMinNewestWeight =
        0.05; ///< Least weight of the newest answer in the mean.
    /// Part of the response time that does not depend on the prompt: network round trip and first
    /// token.
    static constexpr Duration kBaseLatency = std::chrono::milliseconds(50);

    /// Ratios of the actual to the expected time.
    struct Baseline
    {
        void add(double relative)
        {
            this->latest.at(this->answers % kLatestAnswers) = relative;
            ++this->answers;
            const double weight = std::max(kMinNewestWeight, 1.0 / this->answers);
            this->mean += weight * (relative - this->mean);
        }
        /// Nine in ten of the latest answers are at most this. There must be an answer.
        double upperDecile() const
        {
            constexpr int kPercent = 90;
            std::array<double, kLatestAnswers> sorted = this->latest;
            const int count = std::min(this->answers, kLatestAnswers);
            auto *const decile = sorted.begin() + (count - 1) * kPercent / 100;
            std::nth_element(sorted.begin(), decile, sorted.begin() + count);
            return *decile;
        }

        double mean = 0;
        int answers = 0;
        std::array<double, kLatestAnswers> latest{}; ///< A ring; the first `answers` are set.
    };
    std::map<std::string, Baseline> baselines;
};

} // namespace basilnotch
