// Log likelihood ratios of new answers are added to a sum that does not fall below zero.
#include <decision/RegressionDetector.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace {

constexpr double kHighestShare = 0.9; // Of bad answers that either hypothesis may have.

} // namespace

RegressionDetector::RegressionDetector(RegressionDetectorOptions options)
    : options(options)
{ }

double RegressionDetector::usualShare(const AnswerCounts &oldVersion)
{
    const auto answers = static_cast<double>(oldVersion.answers - this->seenOld.answers);
    const auto badOnes = static_cast<double>(oldVersion.bad - this->seenOld.bad);
    if (answers > 0) {
        this->seenOld = oldVersion;
        const double kept = std::exp(-answers / this->options.recentAnswers);
        this->recentOld = this->recentOld * kept + answers;
        this->recentOldBad = this->recentOldBad * kept + std::max(badOnes, 0.0);
    }
    const auto counted = static_cast<double>(std::max<std::int64_t>(oldVersion.answers, 1));
    const double overall = static_cast<double>(oldVersion.bad) / counted;
    const bool enough = this->recentOld >= this->options.recentAnswers / 4;
    const double recent = enough ? this->recentOldBad / this->recentOld : 0;
    return std::clamp(std::max(overall, recent), this->options.usualFloor, kHighestShare / 2);
}

bool RegressionDetector::update(const AnswerCounts &oldVersion, const AnswerCounts &newVersion)
{
    const double usual = this->usualShare(oldVersion);
    const std::int64_t answers = newVersion.answers - this->seen.answers;
    const std::int64_t badOnes = newVersion.bad - this->seen.bad;
    if (answers <= 0 || badOnes < 0 || this->bad) {
        return this->bad;
    }
    this->seen = newVersion;
    const double alternative =
        std::clamp(usual * this->options.badFactor, this->options.badFloor, kHighestShare);
    const double forBad = std::log(alternative / usual);
    const double forGood = std::log((1 - alternative) / (1 - usual));
    const auto bad = static_cast<double>(std::min(badOnes, answers));
    const double good = static_cast<double>(answers) - bad;
    this->sum = std::max(0.0, this->sum + bad * forBad + good * forGood);
    this->bad = this->sum > std::log(1 / this->options.falseAlarm);
    return this->bad;
}

} // namespace basilnotch
