// Log likelihood ratios are additive over requests, so totals suffice and single requests of other
// instances are not needed.
#include <decision/RolloutGuard.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace {

// Alternatives, as multiples of the old version's rate.
constexpr double kErrorFactors[] = {4, 15, 60};
constexpr double kCrashFactors[] = {10, 35, 200};
// Alternatives, as differences below the old pass rate.
constexpr double kRatingDrops[] = {0.07, 0.13, 0.30};
constexpr double kMaxRate = 0.9;
constexpr double kMinPassRate = 0.02;
// Ratings of the old version that are required to use its pass rate.
constexpr std::int64_t kMinOldRatings = 40;

double scaledRate(double rate, double factor)
{
    return std::min(kMaxRate, rate * factor);
}

/// Rate of the old version, smoothed by `kFloorTrials` trials at the floor.
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

void RolloutGuard::SequentialTest::addTrials(std::int64_t trials, std::int64_t hits, double before,
                                             const std::vector<double> &after)
{
    this->ratios.resize(after.size());
    for (std::size_t index = 0; index < after.size(); ++index) {
        const double rate = after[index];
        const double step = static_cast<double>(hits) * std::log(rate / before)
            + static_cast<double>(trials - hits) * std::log((1 - rate) / (1 - before));
        this->ratios[index].sum += step;
        this->ratios[index].cusum = std::max(0.0, this->ratios[index].cusum + step);
    }
}

bool RolloutGuard::SequentialTest::crossed(double falseHold, double cusumThresholdFactor) const
{
    if (this->ratios.empty()) {
        return false;
    }
    double mixture = 0;
    double highest = 0;
    for (const LogLikelihoodRatio &ratio : this->ratios) {
        mixture += std::exp(std::min(ratio.sum, 700.0)) / static_cast<double>(this->ratios.size());
        highest = std::max(highest, ratio.cusum);
    }
    const double ratios = static_cast<double>(this->ratios.size());
    return mixture >= 1 / falseHold
        || highest >= std::log(cusumThresholdFactor * ratios / falseHold);
}

RolloutGuard::RolloutGuard(RolloutRule rule, RolloutGuardOptions options)
    : rolloutRule(std::move(rule))
    , options(options)
{ }

bool RolloutGuard::isEnabled(HoldSignal signal) const
{
    return std::find(this->rolloutRule.holdOn.begin(), this->rolloutRule.holdOn.end(), signal)
        != this->rolloutRule.holdOn.end();
}

std::optional<HoldReason> RolloutGuard::update(const VersionCounts &oldVersion,
                                               const VersionCounts &newVersion)
{
    const std::int64_t trials = newVersion.requests - this->seen.requests;
    const auto alternatives = [](double before, const auto &factors) {
        std::vector<double> rates;
        for (const double factor : factors) {
            rates.push_back(scaledRate(before, factor));
        }
        return rates;
    };
    if (trials > 0) {
        const double errorRate =
            oldRate(oldVersion.errors, oldVersion.requests, this->options.errorFloor);
        const double crashRate =
            oldRate(oldVersion.crashes, oldVersion.requests, this->options.crashFloor);
        this->errors.addTrials(trials, newVersion.errors - this->seen.errors, errorRate,
                               alternatives(errorRate, kErrorFactors));
        this->crashes.addTrials(trials, newVersion.crashes - this->seen.crashes, crashRate,
                                alternatives(crashRate, kCrashFactors));
    }
    for (const auto &[stratum, counts] : newVersion.rated) {
        RatedCounts &processed = this->seen.rated[stratum];
        const auto old = oldVersion.rated.find(stratum);
        if (old == oldVersion.rated.end() || old->second.rated < kMinOldRatings
            || counts.rated <= processed.rated) {
            continue; // Processed later, once there are enough ratings to compare with.
        }
        const double pass = std::clamp((static_cast<double>(old->second.good) + 1)
                                           / (static_cast<double>(old->second.rated) + 2),
                                       4 * kMinPassRate, 1 - kMinPassRate);
        std::vector<double> alternativeRates;
        for (const double drop : kRatingDrops) {
            alternativeRates.push_back(std::max(kMinPassRate, pass - drop));
        }
        this->ratings.addTrials(counts.rated - processed.rated, counts.good - processed.good, pass,
                                alternativeRates);
        processed = counts;
    }
    this->seen.requests = newVersion.requests;
    this->seen.errors = newVersion.errors;
    this->seen.crashes = newVersion.crashes;
    const RolloutGuardOptions &limits = this->options;
    if (this->isEnabled(HoldSignal::Crashes)
        && this->crashes.crossed(limits.falseHoldCrashes, limits.cusumThresholdFactor)) {
        return HoldReason{
            HoldSignal::Crashes,
            absl::StrCat(newVersion.crashes, " crashes in ", newVersion.requests, " requests")};
    }
    if (this->isEnabled(HoldSignal::Errors)
        && this->errors.crossed(limits.falseHoldErrors, limits.cusumThresholdFactor)) {
        return HoldReason{
            HoldSignal::Errors,
            absl::StrCat(newVersion.errors, " errors in ", newVersion.requests, " requests")};
    }
    if (this->isEnabled(HoldSignal::Ratings)
        && this->ratings.crossed(limits.falseHoldRatings, limits.cusumThresholdFactor)) {
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
