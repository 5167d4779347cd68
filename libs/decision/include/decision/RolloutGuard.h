// Sequential tests that compare a new version with the old one on the counts of all instances, and
// hold the roll-out as soon as the evidence suffices.
#pragma once

#include <rules/Rules.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Requests of one kind whose ratings are compared with each other only.
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

/// What one instance has seen of one version; counts only grow.
struct VersionCounts
{
    std::int64_t requests = 0; ///< Ended, in whatever way.
    std::int64_t errors = 0;
    std::int64_t crashes = 0; ///< Took the upstream down.
    std::map<Stratum, RatedCounts> rated;

    void add(const VersionCounts &other);
    /// Element-wise maximum: the later of two states of one instance's counters.
    void merge(const VersionCounts &other);
};

struct RolloutGuardOptions
{
    double falseHoldErrors = 0.003; ///< Chance to hold a good version, by signal.
    double falseHoldCrashes = 0.003;
    double falseHoldRatings = 0.003;
    double errorFloor = 0.002; ///< An old version's error rate counts as at least this.
    double crashFloor = 1e-4;
    double lateFactor =
        20; ///< A version that turns bad later is held at a threshold so many times higher.
};

/// Why a roll-out is held.
struct HoldReason
{
    HoldSignal signal = HoldSignal::Errors;
    std::string text; ///< For operators, with the counts.
};

/// Watches one roll-out. Feed it the totals over all instances as often as they change.
///
///     RolloutGuard guard(rule, options);
///     if (const auto reason = guard.update(oldTotals, newTotals)) { hold(*reason); }
class RolloutGuard
{
public:
    RolloutGuard(RolloutRule rule, RolloutGuardOptions options);

    /// Takes new totals in; the reason when they have become enough to hold.
    std::optional<HoldReason> update(const VersionCounts &oldVersion,
                                     const VersionCounts &newVersion);
    const RolloutRule &rule() const { return this->watched; }

private:
    /// Mixture sequential probability ratio test over some alternatives, from the first request on,
    /// beside a CUSUM with a higher threshold for a version that turns bad later.
    class Test
    {
    public:
        void take(std::int64_t trials, std::int64_t hits, double before,
                  const std::vector<double> &after);
        bool crossed(double falseHold, double lateFactor) const;

    private:
        struct Track
        {
            double sum = 0;   ///< Log likelihood ratio since the start.
            double cusum = 0; ///< The same since its last minimum.
        };
        std::vector<Track> tracks;
    };

    bool watches(HoldSignal signal) const;

    RolloutRule watched;
    RolloutGuardOptions options;
    VersionCounts seen; ///< Totals of the new version that the tests have taken in.
    Test errors;
    Test crashes;
    Test ratings;
};

} // namespace basilnotch
