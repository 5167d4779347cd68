// Little's law: the wait is the number of requests up to and including the new one times the mean
// interval between freed slots.
#include <decision/QueueWaitEstimator.h>

#include <algorithm>

namespace basilnotch {

QueueWaitEstimator::QueueWaitEstimator(QueueWaitOptions options, const Clock &clock)
    : options(options)
    , clock(&clock)
{ }

void QueueWaitEstimator::onSlotFreed()
{
    const TimePoint now = this->clock->now();
    if (this->lastFreedAt && now - *this->lastFreedAt < this->options.maxIdle) {
        const Duration latest = now - *this->lastFreedAt;
        const Duration before = this->interval.value_or(latest);
        this->interval = before
            + std::chrono::duration_cast<Duration>(this->options.smoothing * (latest - before));
    }
    this->lastFreedAt = now;
}

std::optional<Duration> QueueWaitEstimator::expectedWait(std::size_t ahead) const
{
    const bool isKnown = this->interval && this->lastFreedAt
        && this->clock->now() - *this->lastFreedAt < this->options.maxIdle;
    if (!isKnown) {
        return std::nullopt;
    }
    return *this->interval * static_cast<std::int64_t>(ahead + 1);
}

Duration QueueWaitEstimator::retryAfter(std::size_t ahead) const
{
    const Duration expected = this->expectedWait(ahead).value_or(this->options.minRetryAfter);
    return std::clamp(expected, this->options.minRetryAfter, this->options.maxRetryAfter);
}

} // namespace basilnotch
