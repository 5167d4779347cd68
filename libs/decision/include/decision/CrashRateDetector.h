// Whether upstreams of a new version crash more often than those of the old one.
//
// Answers the pattern of a crash during a roll-out: an upstream that dies cuts everything that ran
// on it at one moment. Such cuts are no independent failures of answers, so each crashed upstream
// counts once, and only against how many upstreams of both versions there are.
#pragma once

#include <cstdint>

namespace basilnotch {

/// Upstreams of one version; `crashed` only grows.
struct CrashCounts
{
    std::int64_t crashed = 0; ///< Distinct incarnations that broke off what they ran.
    std::int64_t live = 0;    ///< Upstreams that take work now.
};

struct CrashRateDetectorOptions
{
    double badFactor = 10; ///< The alternative: upstreams of the new version crash so much oftener.
    double falseAlarm = 0.002; ///< Chance to call a good version bad.
};

/// Feed it totals as often as they change.
class CrashRateDetector
{
public:
    explicit CrashRateDetector(CrashRateDetectorOptions options = {});

    /// True once the new version's upstreams have shown to crash more often; it stays true.
    bool update(const CrashCounts &oldVersion, const CrashCounts &newVersion);
    bool isBad() const { return this->bad; }

private:
    CrashRateDetectorOptions options;
    std::int64_t seenOld = 0;
    std::int64_t seenNew = 0;
    double sum = 0; ///< Log likelihood ratio since its last minimum.
    bool bad = false;
};

} // namespace basilnotch
