// Log likelihood ratios add up over requests, so totals are enough: no instance has to see single
// requests of another one.
#include <decision/RolloutGuard.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace {

constexpr double kErrorFactors[] = {4, 15, 60}; // Alternatives, as multiples of the old rate.
constexpr double kCrashFactors[] = {10, 35, 200};
constexpr double kRatingDrops[] = {0.07, 0.13, 0.30}; // Alternatives, below the old pass rate.
constexpr double kHighestRate = 0.9;
constexpr double kLowestPass = 0.02;
constexpr std::int64_t kEnoughRatings = 40; // Of the old version, before its pass rate is used.

double raised(double rate, double factor)
{
    return std::min(kHighestRate, rate * factor);
}

/// Rate of the old version, with the floor standing for what was not seen yet.
double oldRate(std::int64_t hits, std::int64_t trials, double floor)
{
    constexpr double kFloorTrials = 1000;
    return std::max(floor,
                    (static_cast<double>(hits) + floor * kFloorTrials)
                        / (static_cast<double>(trials) + kFloorTrials));
}

} // namespace

void VersionCounts::add(const VersionCounts &other)
{
    this->requests += other.requests;
    this->errors += other.errors;
    this->crashes += other.crashes;
    for (const auto &[stratum, counts] : other.rated) {
        this->rated[stratum].rated += counts.rated;
        this->rated[stratum].good += counts.good;
    }
}

void VersionCounts::merge(const VersionCounts &other)
{
    this->requests = std::max(this->requests, other.requests);
    this->errors = std::max(this->errors, other.errors);
    this->crashes = std::max(this->crashes, other.crashes);
    for (const auto &[stratum, counts] : other.rated) {
        RatedCounts &mine = this->rated[stratum];
        mine.rated = std::max(mine.rated, counts.rated);
        mine.good = std::max(mine.good, counts.good);
    }
}

void RolloutGuard::Test::take(std::int64_t trials, std::int64_t hits, double before,
                              const std::vector<double> &after)
{
    this->tracks.resize(after.size());
    for (std::size_t index = 0; index < after.size(); ++index) {
        const double rate = after[index];
        const double step = static_cast<double>(hits) * std::log(rate / before)
            + static_cast<double>(trials - hits) * std::log((1 - rate) / (1 - before));
        this->tracks[index].sum += step;
        this->tracks[index].cusum = std::max(0.0, this->tracks[index].cusum + step);
    }
}

bool RolloutGuard::Test::crossed(double falseHold, double lateFactor) const
{
    if (this->tracks.empty()) {
        return false;
    }
    double mixture = 0;
    double highest = 0;
    for (const Track &track : this->tracks) {
        mixture += std::exp(std::min(track.sum, 700.0)) / static_cast<double>(this->tracks.size());
        highest = std::max(highest, track.cusum);
    }
    const double tracks = static_cast<double>(this->tracks.size());
    return mixture >= 1 / falseHold || highest >= std::log(lateFactor * tracks / falseHold);
}

RolloutGuard::RolloutGuard(RolloutRule rule, RolloutGuardOptions options)
    : watched(std::move(rule))
    , options(options)
{ }

bool RolloutGuard::watches(HoldSignal signal) const
{
    return std::find(this->watched.holdOn.begin(), this->watched.holdOn.end(), signal)
        != this->watched.holdOn.end();
}

std::optional<HoldReason> RolloutGuard::update(const VersionCounts &oldVersion,
                                               const VersionCounts &newVersion)
{
    const std::int64_t trials = newVersion.requests - this->seen.requests;
    const auto alternatives = [](double before, const auto &factors) {
        std::vector<double> rates;
        for (const double factor : factors) {
            rates.push_back(raised(before, factor));
        }
        return rates;
    };
    if (trials > 0) {
        const double errorRate =
            oldRate(oldVersion.errors, oldVersion.requests, this->options.errorFloor);
        const double crashRate =
            oldRate(oldVersion.crashes, oldVersion.requests, this->options.crashFloor);
        this->errors.take(trials, newVersion.errors - this->seen.errors, errorRate,
                          alternatives(errorRate, kErrorFactors));
        this->crashes.take(trials, newVersion.crashes - this->seen.crashes, crashRate,
                           alternatives(crashRate, kCrashFactors));
    }
    for (const auto &[stratum, counts] : newVersion.rated) {
        RatedCounts &done = this->seen.rated[stratum];
        const auto old = oldVersion.rated.find(stratum);
        if (old == oldVersion.rated.end() || old->second.rated < kEnoughRatings
            || counts.rated <= done.rated) {
            continue; // Taken in later, when there is something to compare with.
        }
        const double pass = std::clamp((static_cast<double>(old->second.good) + 1)
                                           / (static_cast<double>(old->second.rated) + 2),
                                       4 * kLowestPass, 1 - kLowestPass);
        std::vector<double> worse;
        for (const double drop : kRatingDrops) {
            worse.push_back(std::max(kLowestPass, pass - drop));
        }
        this->ratings.take(counts.rated - done.rated, counts.good - done.good, pass, worse);
        done = counts;
    }
    this->seen.requests = newVersion.requests;
    this->seen.errors = newVersion.errors;
    this->seen.crashes = newVersion.crashes;
    const RolloutGuardOptions &limits = this->options;
    if (this->watches(HoldSignal::Crashes)
        && this->crashes.crossed(limits.falseHoldCrashes, limits.lateFactor)) {
        return HoldReason{
            HoldSignal::Crashes,
            absl::StrCat(newVersion.crashes, " crashes in ", newVersion.requests, " requests")};
    }
    if (this->watches(HoldSignal::Errors)
        && this->errors.crossed(limits.falseHoldErrors, limits.lateFactor)) {
        return HoldReason{
            HoldSignal::Errors,
            absl::StrCat(newVersion.errors, " errors in ", newVersion.requests, " requests")};
    }
    if (this->watches(HoldSignal::Ratings)
        && this->ratings.crossed(limits.falseHoldRatings, limits.lateFactor)) {
        std::int64_t rated = 0;
        std::int64_t good = 0;
        for (const auto &[stratum, counts] : newVersion.rated) {
            rated += counts.rated;
            good += counts.good;
        }
        return HoldReason{HoldSignal::Ratings,
                          absl::StrCat(good, " of ", rated, " rated answers passed")};
    }
    return std::nullopt;
}

} // namespace basilnotch
