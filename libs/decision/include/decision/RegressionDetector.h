// Whether a new version of a service answers worse than the old one: a cumulative sum test on
// counts of bad answers, which also finds a version that turns bad later.
//
// Answers the pattern of a rush during a roll-out: answers of both versions get slow together, so
// the new one is judged against what the old one does at the same time.
#pragma once

#include <cstdint>

namespace basilnotch {

/// Answers of one version, all instances together; counts only grow.
struct AnswerCounts
{
    std::int64_t answers = 0;
    std::int64_t bad = 0; ///< Failures, cuts, and answers far slower than usual.

    void add(const AnswerCounts &other)
    {
        this->answers += other.answers;
        this->bad += other.bad;
    }
    friend bool operator==(const AnswerCounts &, const AnswerCounts &) = default;
};

struct RegressionDetectorOptions
{
    double usualFloor = 0.05; ///< The old version's share of bad answers counts as at least this.
    double badFactor = 4;     ///< The alternative, as a multiple of the usual share.
    double badFloor = 0.25;   ///< The alternative is at least this share.
    /// Mean number of answers between two false alarms is above its inverse: a roll-out sees some
    /// hundreds of answers on each of a few routes.
    double falseAlarm = 2.5e-4;
    /// Answers of the old version that count as of the same time.
    double recentAnswers = 40;
};

/// Feed it totals as often as they change.
class RegressionDetector
{
public:
    explicit RegressionDetector(RegressionDetectorOptions options = {});

    /// True once the new version has shown to be worse; it stays true.
    bool update(const AnswerCounts &oldVersion, const AnswerCounts &newVersion);
    bool isBad() const { return this->bad; }

private:
    /// Share of bad answers that the old version has, at all or lately, whichever is more.
    double usualShare(const AnswerCounts &oldVersion);

    const RegressionDetectorOptions options;
    AnswerCounts seen;    ///< Totals of the new version that the sum contains.
    AnswerCounts seenOld; ///< Totals of the old version that the recent counts contain.
    double recentOld = 0; ///< Answers of the old version, older ones fading.
    double recentOldBad = 0;
    double sum = 0; ///< Log likelihood ratio since its last minimum.
    bool bad = false;
};

} // namespace basilnotch
