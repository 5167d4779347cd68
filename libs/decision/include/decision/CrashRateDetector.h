// Sequential test for whether upstreams of a new version crash more often than those of the old
// one.
//
// An upstream that crashes breaks off all its streams at once. These failures are not independent,
// so each crashed upstream counts once, relative to the number of live upstreams of both versions.
#pragma once

#include <cstdint>

namespace basilnotch {

/// Upstream counts of one version; `crashed` only grows.
struct CrashCounts
{
    std::int64_t crashed = 0; ///< Distinct upstream incarnations that broke off their streams.
    std::int64_t live = 0;    ///< Upstreams that accept work now.
};

struct CrashRateDetectorOptions
{
    /// Crash rate of the alternative hypothesis, as a multiple of the old version's rate.
    double badFactor = 10;
    double falseAlarmProbability = 0.002; ///< Probability of reporting a good version as bad.
};

/// To be updated with the totals whenever they change.
class CrashRateDetector
{
public:
    explicit CrashRateDetector(CrashRateDetectorOptions options = {});

    /// Returns true once the evidence shows that the new version crashes more often; never returns
    /// to false.
    bool update(const CrashCounts &oldVersion, const CrashCounts &newVersion);
    bool isBad() const { return this->bad; }

private:
    CrashRateDetectorOptions options;
    std::int64_t seenOld = 0;
    std::int64_t seenNew = 0;
    double sum = 0; ///< Cumulative sum of log likelihood ratios, never below 0.
    bool bad = false;
};

} // namespace basilnotch
