// CUSUM test. Under the null hypothesis a crash hits the new version with the probability of its
// share of the upstreams, under the alternative with a higher one.
#include <decision/CrashRateDetector.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

CrashRateDetector::CrashRateDetector(CrashRateDetectorOptions options)
    : options(options)
{ }

bool CrashRateDetector::update(const CrashCounts &oldVersion, const CrashCounts &newVersion)
{
    const std::int64_t oldCrashes = std::max<std::int64_t>(oldVersion.crashed - this->seenOld, 0);
    const std::int64_t newCrashes = std::max<std::int64_t>(newVersion.crashed - this->seenNew, 0);
    if (this->bad || oldCrashes + newCrashes == 0) {
        return this->bad;
    }
    this->seenOld = std::max(oldVersion.crashed, this->seenOld);
    this->seenNew = std::max(newVersion.crashed, this->seenNew);
    const auto oldLive = static_cast<double>(std::max<std::int64_t>(oldVersion.live, 1));
    const auto newLive = static_cast<double>(std::max<std::int64_t>(newVersion.live, 1));
    const double newCrashProbabilityIfGood = newLive / (newLive + oldLive);
    const double weighted = this->options.badFactor * newLive;
    const double newCrashProbabilityIfBad = weighted / (weighted + oldLive);
    const double forBad = std::log(newCrashProbabilityIfBad / newCrashProbabilityIfGood);
    const double forGood =
        std::log((1 - newCrashProbabilityIfBad) / (1 - newCrashProbabilityIfGood));
    this->sum = std::max(0.0,
                         this->sum + static_cast<double>(newCrashes) * forBad
                             + static_cast<double>(oldCrashes) * forGood);
    this->bad = this->sum > std::log(1 / this->options.falseAlarmProbability);
    return this->bad;
}

} // namespace basilnotch
