// CUSUM test: log likelihood ratios of new answers are added to a sum that does not fall below 0.
#include <decision/RegressionDetector.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace {

// Upper limit of the share of bad answers of a bad version; the old one's is at most half of it.
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
    return std::max({overall, recent, this->options.baselineFloor});
}

double RegressionDetector::logRatio(const AnswerCounts &oldVersion, const AnswerCounts &newVersion)
{
    const double baseline = this->baselineShare(oldVersion);
    const std::int64_t answers = newVersion.answers - this->seen.answers;
    const std::int64_t badAnswers = newVersion.bad - this->seen.bad;
    if (answers <= 0 || badAnswers < 0) {
        return 0;
    }
    this->seen = newVersion;
    if (baseline > kMaxBadShare / 2) {
        return 0;
    }
    const double alternative =
        std::clamp(baseline * this->options.badFactor, this->options.badFloor, kMaxBadShare);
    const double forBad = std::log(alternative / baseline);
    const double forGood = std::log((1 - alternative) / (1 - baseline));
    const auto bad = static_cast<double>(std::min(badAnswers, answers));
    return bad * forBad + (static_cast<double>(answers) - bad) * forGood;
}

bool RegressionDetector::add(double logRatio)
{
    this->sum = std::max(0.0, this->sum + logRatio);
    this->bad = this->bad || this->sum > std::log(1 / this->options.falseAlarmRate);
    return this->bad;
}

bool RegressionDetector::update(const AnswerCounts &oldVersion, const AnswerCounts &newVersion)
{
    return this->add(this->logRatio(oldVersion, newVersion));
}

} // namespace basilnotch
