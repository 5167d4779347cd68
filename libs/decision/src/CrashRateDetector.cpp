// Each crash falls on the new version with the chance that its share of the upstreams gives, or
// with a higher one if they crash more often: a cumulative sum of the log likelihood ratio.
#include <decision/CrashRateDetector.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

CrashRateDetector::CrashRateDetector(CrashRateDetectorOptions options)
    : options(options)
{ }

bool CrashRateDetector::update(const CrashCounts &oldVersion, const CrashCounts &newVersion)
{
    const std::int64_t oldOnes = std::max<std::int64_t>(oldVersion.crashed - this->seenOld, 0);
    const std::int64_t newOnes = std::max<std::int64_t>(newVersion.crashed - this->seenNew, 0);
    if (this->bad || oldOnes + newOnes == 0) {
        return this->bad;
    }
    this->seenOld = std::max(oldVersion.crashed, this->seenOld);
    this->seenNew = std::max(newVersion.crashed, this->seenNew);
    const auto oldLive = static_cast<double>(std::max<std::int64_t>(oldVersion.live, 1));
    const auto newLive = static_cast<double>(std::max<std::int64_t>(newVersion.live, 1));
    const double equal = newLive / (newLive + oldLive);
    const double weighted = this->options.badFactor * newLive;
    const double worse = weighted / (weighted + oldLive);
    const double forBad = std::log(worse / equal);
    const double forGood = std::log((1 - worse) / (1 - equal));
    this->sum = std::max(0.0,
                         this->sum + static_cast<double>(newOnes) * forBad
                             + static_cast<double>(oldOnes) * forGood);
    this->bad = this->sum > std::log(1 / this->options.falseAlarm);
    return this->bad;
}

} // namespace basilnotch
