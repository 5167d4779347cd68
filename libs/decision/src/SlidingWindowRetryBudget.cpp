// Buckets of a tenth of the window; those that are too old no longer count.
#include <decision/SlidingWindowRetryBudget.h>

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

SlidingWindowRetryBudget::Bucket &SlidingWindowRetryBudget::current()
{
    const std::int64_t number = this->bucketNumber();
    Bucket &bucket = this->buckets[static_cast<std::size_t>(number) % kBuckets];
    if (bucket.number != number) {
        bucket = {number, 0, 0};
    }
    return bucket;
}

bool SlidingWindowRetryBudget::counts(const Bucket &bucket) const
{
    return bucket.number > this->bucketNumber() - static_cast<std::int64_t>(kBuckets);
}

void SlidingWindowRetryBudget::onFirstAttempt()
{
    ++this->current().first;
}

bool SlidingWindowRetryBudget::tryAcquire(int liveInstances)
{
    std::int64_t first = 0;
    std::int64_t repeats = 0;
    for (const Bucket &bucket : this->buckets) {
        if (this->counts(bucket)) {
            first += bucket.first;
            repeats += bucket.repeats;
        }
    }
    const double share = this->options.slack / std::max(1, liveInstances);
    const double allowed =
        this->options.reserve * (this->options.ratio * static_cast<double>(first) + share);
    if (static_cast<double>(repeats + 1) > allowed) {
        return false;
    }
    ++this->current().repeats;
    return true;
}

} // namespace basilnotch
