// Sequential test for whether enough answers of a new version have been seen to say that it is no
// worse than the old one. While neither that nor the opposite has been shown, a version is
// undecided.
//
// Routes differ in how often even good versions fail on them, so the evidence is taken route by
// route and then summed.
#pragma once

#include <decision/RegressionDetector.h>

namespace basilnotch {

/// Compares two hypotheses on the answers of one route: the new version gives bad answers as often
/// as the old one, or a further share of its answers is bad.
class AnswerLikelihood
{
public:
    /// `baselineFloor`: lower limit of the old version's assumed share of bad answers.
    /// `addedShare`: share of the answers of a sound version that are bad by the second hypothesis.
    AnswerLikelihood(double baselineFloor, double addedShare);

    /// Adds the totals of both versions. Returns the log likelihood ratio of the answers that are
    /// new in `newVersion`, above 0 if they speak for the second hypothesis. 0 where nearly all
    /// answers of the old version are bad.
    double update(const AnswerCounts &oldVersion, const AnswerCounts &newVersion);
    /// Estimated share of the old version's answers that are bad.
    double baselineShare(const AnswerCounts &oldVersion) const;

private:
    const double baselineFloor;
    const double addedShare;
    AnswerCounts seen; ///< Totals of the new version at the last update.
};

/// Sums the evidence. A version that turns bad later is not sound any more: only the latest answers
/// that suffice for the finding count.
class SoundnessDetector
{
public:
    /// `logRatio`: of AnswerLikelihood.
    void add(double logRatio);
    /// Log likelihood ratio, with a lower limit.
    double evidence() const { return this->sum; }
    /// True while a version with the further share of bad answers is ruled out.
    bool isSound() const;
    /// True while a version without it is ruled out.
    bool isUnsound() const;

private:
    double sum = 0;
};

} // namespace basilnotch
