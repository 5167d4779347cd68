// The window consists of ten buckets, which are ignored once they lie outside it.
#include <retries/SlidingWindowRetryBudget.h>

#include <algorithm>

namespace basilnotch {

double purposeShare(RetryPurpose purpose)
{
    switch (purpose) {
    case RetryPurpose::NeverRun:
    case RetryPurpose::LastChance:
    case RetryPurpose::Repeat:
        break;
    case RetryPurpose::SecondModel:
        return 0.95;
    case RetryPurpose::Hedge:
        return 0.5;
    }
    return 1;
}

SlidingWindowRetryBudget::SlidingWindowRetryBudget(SlidingWindowRetryOptions options,
                                                   const Clock &clock)
    : options(options)
    , clock(clock)
{ }

std::int64_t SlidingWindowRetryBudget::bucketNumber() const
{
    const Duration width = this->options.window / kBuckets;
    return this->clock.now().time_since_epoch() / std::max(width, Duration(1));
}

SlidingWindowRetryBudget::Bucket &SlidingWindowRetryBudget::currentBucket()
{
    const std::int64_t number = this->bucketNumber();
    Bucket &bucket = this->buckets[static_cast<std::size_t>(number) % kBuckets];
    if (bucket.number != number) {
        bucket = {.number = number};
    }
    return bucket;
}

bool SlidingWindowRetryBudget::isInWindow(const Bucket &bucket) const
{
    return bucket.number > this->bucketNumber() - static_cast<std::int64_t>(kBuckets);
}

void SlidingWindowRetryBudget::onFirstAttempt()
{
    ++this->currentBucket().firstAttempts;
}

bool SlidingWindowRetryBudget::tryAcquire(RetryPurpose purpose, int members)
{
    Bucket &current = this->currentBucket();
    current.members = std::max({1, current.members, members});
    std::int64_t firstAttempts = 0;
    std::int64_t retries = 0;
    int most = 1;
    for (const Bucket &bucket : this->buckets) {
        if (this->isInWindow(bucket)) {
            firstAttempts += bucket.firstAttempts;
            retries += bucket.retries;
            most = std::max(most, bucket.members);
        }
    }
    const double slack = members > 0 ? this->options.slack / most : 0;
    const double allowed = this->options.safetyFactor
        * (this->options.ratio * static_cast<double>(firstAttempts) + slack);
    // The first send of a window is for any purpose: else a small share would serve none.
    const double limit =
        retries == 0 && purpose != RetryPurpose::Hedge ? allowed : purposeShare(purpose) * allowed;
    if (static_cast<double>(retries + 1) > limit) {
        return false;
    }
    ++current.retries;
    return true;
}

} // namespace basilnotch
