// CUSUM test: log likelihood ratios of new answers are added to a sum that does not fall below 0.
#include <decision/RegressionDetector.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace {

// Upper limit of the share of bad answers of either hypothesis.
constexpr double kMaxBadShare = 0.9;

} // namespace

RegressionDetector::RegressionDetector(RegressionDetectorOptions options)
    : options(options)
{ }

double RegressionDetector::baselineShare(const AnswerCounts &oldVersion)
{
    const auto answers = static_cast<double>(oldVersion.answers - this->seenOld.answers);
    const auto badAnswers = static_cast<double>(oldVersion.bad - this->seenOld.bad);
    if (answers > 0) {
        this->seenOld = oldVersion;
        const double decay = std::exp(-answers / this->options.recentAnswers);
        this->recentOld = this->recentOld * decay + answers;
        this->recentOldBad = this->recentOldBad * decay + std::max(badAnswers, 0.0);
    }
    const auto counted = static_cast<double>(std::max<std::int64_t>(oldVersion.answers, 1));
    const double overall = static_cast<double>(oldVersion.bad) / counted;
    const bool hasEnough = this->recentOld >= this->options.recentAnswers / 4;
    const double recent = hasEnough ? this->recentOldBad / this->recentOld : 0;
    return std::clamp(std::max(overall, recent), this->options.baselineFloor, kMaxBadShare / 2);
}

bool RegressionDetector::update(const AnswerCounts &oldVersion, const AnswerCounts &newVersion)
{
    const double baseline = this->baselineShare(oldVersion);
    const std::int64_t answers = newVersion.answers - this->seen.answers;
    const std::int64_t badAnswers = newVersion.bad - this->seen.bad;
    if (answers <= 0 || badAnswers < 0 || this->bad) {
        return this->bad;
    }
    this->seen = newVersion;
    const double alternative =
        std::clamp(baseline * this->options.badFactor, this->options.badFloor, kMaxBadShare);
    const double forBad = std::log(alternative / baseline);
    const double forGood = std::log((1 - alternative) / (1 - baseline));
    const auto bad = static_cast<double>(std::min(badAnswers, answers));
    const double good = static_cast<double>(answers) - bad;
    this->sum = std::max(0.0, this->sum + bad * forBad + good * forGood);
    this->bad = this->sum > std::log(1 / this->options.falseAlarmRate);
    return this->bad;
}

} // namespace basilnotch
