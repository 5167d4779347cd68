// Sequential tests that compare a new version with the old one on the counts of all instances. The
// roll-out is held as soon as the evidence suffices.
#pragma once

#include <rules/Rules.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Requests whose ratings are only compared with each other.
struct Stratum
{
    std::string task;
    bool longPrompt = false;
    friend auto operator<=>(const Stratum &, const Stratum &) = default;
};

struct RatedCounts
{
    std::int64_t rated = 0;
    std::int64_t good = 0;
};

/// Counts of one instance for one version; counts only grow.
struct VersionCounts
{
    std::int64_t requests = 0; ///< Ended requests, with any result.
    std::int64_t errors = 0;
    std::int64_t crashes = 0; ///< Requests that crashed the upstream.
    std::map<Stratum, RatedCounts> rated;

    void add(const VersionCounts &other);
    /// Element-wise maximum: the later of two states of the counters of one instance.
    void merge(const VersionCounts &other);
};

struct RolloutGuardOptions
{
    double falseHoldErrors = 0.003; ///< Probability of holding a good version, for each signal.
    double falseHoldCrashes = 0.003;
    double falseHoldRatings = 0.003;
    double errorFloor = 0.002; ///< Lower limit of the old version's assumed error rate.
    double crashFloor = 1e-4;
    /// Factor on the threshold of the CUSUM test, which finds a version that turns bad later.
    double cusumThresholdFactor = 20;
};

/// Reason for holding a roll-out.
struct HoldReason
{
    HoldSignal signal = HoldSignal::Errors;
    std::string text; ///< Message for operators, with the counts.
};

/// Monitors one roll-out. To be updated with the totals of all instances whenever they change.
///
///     RolloutGuard guard(rule, options);
///     if (const auto reason = guard.update(oldTotals, newTotals)) { hold(*reason); }
class RolloutGuard
{
public:
    RolloutGuard(RolloutRule rule, RolloutGuardOptions options);

    /// Processes new totals; returns a reason if the evidence suffices to hold the roll-out.
    std::optional<HoldReason> update(const VersionCounts &oldVersion,
                                     const VersionCounts &newVersion);
    const RolloutRule &rule() const { return this->rolloutRule; }

private:
    /// Mixture sequential probability ratio test over several alternatives, from the first request
    /// on, combined with a CUSUM test with a higher threshold for a version that turns bad later.
    class SequentialTest
    {
    public:
        void addTrials(std::int64_t trials, std::int64_t hits, double before,
                       const std::vector<double> &after);
        bool crossed(double falseHold, double cusumThresholdFactor) const;

    private:
        struct LogLikelihoodRatio
        {
            double sum = 0;   ///< Log likelihood ratio since the start.
            double cusum = 0; ///< Log likelihood ratio since its last minimum.
        };
        std::vector<LogLikelihoodRatio> ratios;
    };

    bool isEnabled(HoldSignal signal) const;

    RolloutRule rolloutRule;
    RolloutGuardOptions options;
    VersionCounts seen; ///< Totals of the new version that the tests include.
    SequentialTest errors;
    SequentialTest crashes;
    SequentialTest ratings;
};

} // namespace basilnotch
