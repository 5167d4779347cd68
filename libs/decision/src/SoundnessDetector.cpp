// Wald's sequential probability ratio test with a lower limit of its sum.
#include <decision/SoundnessDetector.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace {

/// Above this share a route says nothing: both hypotheses expect nearly all answers to be bad.
constexpr double kMaxBaselineShare = 0.95;
/// Weight of the floor in the baseline share, in answers: few answers of the old version say
/// little.
constexpr double kFloorWeight = 3;
/// How likely the answers may be under the hypothesis that is ruled out, relative to the other one.
constexpr double kSoundRatio = 0.08;
constexpr double kUnsoundRatio = 0.0067;
/// How far the sum may fall below the threshold: a single failure leaves a sound version sound.
constexpr double kSpareEvidence = 1.5;

} // namespace

AnswerLikelihood::AnswerLikelihood(double baselineFloor, double addedShare)
    : baselineFloor(baselineFloor)
    , addedShare(addedShare)
{ }

double AnswerLikelihood::baselineShare(const AnswerCounts &oldVersion) const
{
    return (static_cast<double>(oldVersion.bad) + kFloorWeight * this->baselineFloor)
        / (static_cast<double>(oldVersion.answers) + kFloorWeight);
}

double AnswerLikelihood::update(const AnswerCounts &oldVersion, const AnswerCounts &newVersion)
{
    const auto answers = static_cast<double>(newVersion.answers - this->seen.answers);
    if (answers <= 0) {
        return 0;
    }
    const double bad =
        std::clamp(static_cast<double>(newVersion.bad - this->seen.bad), 0.0, answers);
    this->seen = newVersion;
    const double baseline = this->baselineShare(oldVersion);
    if (baseline > kMaxBaselineShare) {
        return 0;
    }
    const double sound = std::max(baseline, this->baselineFloor);
    const double unsound = sound + (1 - sound) * this->addedShare;
    return bad * std::log(unsound / sound)
        + (answers - bad) * std::log((1 - unsound) / (1 - sound));
}

void SoundnessDetector::add(double logRatio)
{
    this->sum = std::max(this->sum + logRatio, std::log(kSoundRatio) - kSpareEvidence);
}

bool SoundnessDetector::isSound() const
{
    return this->sum <= std::log(kSoundRatio);
}

bool SoundnessDetector::isUnsound() const
{
    return this->sum >= -std::log(kUnsoundRatio);
}

} // namespace basilnotch
