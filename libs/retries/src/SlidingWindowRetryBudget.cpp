// The window consists of ten buckets, which are ignored once they lie outside it.
#include <retries/SlidingWindowRetryBudget.h>

#include <algorithm>

namespace basilnotch {

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
        bucket = {number, 0, 0};
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

bool SlidingWindowRetryBudget::tryAcquire(int liveInstances)
{
    std::int64_t firstAttempts = 0;
    std::int64_t retries = 0;
    for (const Bucket &bucket : this->buckets) {
        if (this->isInWindow(bucket)) {
            firstAttempts += bucket.firstAttempts;
            retries += bucket.retries;
        }
    }
    const double share = this->options.slack / std::max(1, liveInstances);
    const double allowed = this->options.safetyFactor
        * (this->options.ratio * static_cast<double>(firstAttempts) + share);
    if (static_cast<double>(retries + 1) > allowed) {
        return false;
    }
    ++this->currentBucket().retries;
    return true;
}

} // namespace basilnotch
