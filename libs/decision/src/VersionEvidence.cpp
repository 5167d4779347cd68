// Log likelihood ratios of new answers are added to a sum that does not fall below zero.
#include <decision/VersionEvidence.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

VersionEvidence::VersionEvidence(VersionEvidenceOptions options)
    : options(options)
{ }

bool VersionEvidence::update(const AnswerCounts &oldVersion, const AnswerCounts &newVersion)
{
    constexpr double kHighestShare = 0.9;
    const std::int64_t answers = newVersion.answers - this->seen.answers;
    const std::int64_t badOnes = newVersion.bad - this->seen.bad;
    if (answers <= 0 || badOnes < 0 || this->bad) {
        return this->bad;
    }
    this->seen = newVersion;
    const double counted = static_cast<double>(std::max<std::int64_t>(oldVersion.answers, 1));
    const double measured = static_cast<double>(oldVersion.bad) / counted;
    const double usual = std::clamp(measured, this->options.usualFloor, kHighestShare / 2);
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
