// Sequential test for whether a new version of a service gives more bad answers than the old one.
// The CUSUM test also finds a version that turns bad later.
//
// Under load, answers of both versions get slow together, so the new version is compared with what
// the old one does at the same time.
#pragma once

#include <cstdint>

namespace basilnotch {

/// Answers of one version, summed over all instances; counts only grow.
struct AnswerCounts
{
    std::int64_t answers = 0;
    std::int64_t bad = 0; ///< Failures, broken-off answers and answers far slower than usual.
    /// Answers slower than nine in ten of the version in force; they may be good.
    std::int64_t slower = 0;

    void add(const AnswerCounts &other)
    {
        this->answers += other.answers;
        this->bad += other.bad;
        this->slower += other.slower;
    }
    friend bool operator==(const AnswerCounts &, const AnswerCounts &) = default;
};

struct RegressionDetectorOptions
{
    double baselineFloor = 0.05; ///< Lower limit of the old version's assumed share of bad answers.
    /// Share of bad answers of the alternative hypothesis, as a multiple of the baseline share.
    double badFactor = 4;
    /// Lower limit of the share of bad answers of the alternative hypothesis.
    double badFloor = 0.25;
    /// Inverse of a lower bound for the mean number of answers between two false alarms. A roll-out
    /// has some hundreds of answers on each of a few routes.
    double falseAlarmRate = 2.5e-4;
    /// Time constant of the recent baseline, in answers of the old version.
    double recentAnswers = 40;
};

/// To be updated with the totals whenever they change.
class RegressionDetector
{
public:
    explicit RegressionDetector(RegressionDetectorOptions options = {});

    /// Returns true once the evidence shows that the new version is worse; never returns to false.
    bool update(const AnswerCounts &oldVersion, const AnswerCounts &newVersion);
    /// Log likelihood ratio of the answers that are new in `newVersion`, for add(). 0 where the old
    /// version fails too often to tell the versions apart.
    double logRatio(const AnswerCounts &oldVersion, const AnswerCounts &newVersion);
    /// Adds evidence, which may come from several routes. Returns isBad().
    bool add(double logRatio);
    bool isBad() const { return this->bad; }

private:
    /// Share of bad answers of the old version: overall or recent, whichever is higher.
    double baselineShare(const AnswerCounts &oldVersion);

    const RegressionDetectorOptions options;
    AnswerCounts seen;    ///< Totals of the new version that `sum` includes.
    AnswerCounts seenOld; ///< Totals of the old version that the recent counts include.
    double recentOld = 0; ///< Answers of the old version with exponential decay.
    double recentOldBad = 0;
    double sum = 0; ///< Cumulative sum of log likelihood ratios, never below 0.
    bool bad = false;
};

} // namespace basilnotch
