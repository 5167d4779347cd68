// Little's law for one place: the wait is the number ahead times the interval between freed places.
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
    if (this->lastFreed && now - *this->lastFreed < this->options.memory) {
        const Duration latest = now - *this->lastFreed;
        const Duration before = this->interval.value_or(latest);
        this->interval =
            before + std::chrono::duration_cast<Duration>(this->options.weight * (latest - before));
    }
    this->lastFreed = now;
}

std::optional<Duration> QueueWaitEstimator::expectedWait(std::size_t ahead) const
{
    const bool isKnown = this->interval && this->lastFreed
        && this->clock->now() - *this->lastFreed < this->options.memory;
    if (!isKnown) {
        return std::nullopt;
    }
    return *this->interval * static_cast<std::int64_t>(ahead + 1);
}

Duration QueueWaitEstimator::retryAfter(std::size_t ahead) const
{
    const Duration expected = this->expectedWait(ahead).value_or(this->options.shortestReturn);
    return std::clamp(expected, this->options.shortestReturn, this->options.longestReturn);
}

} // namespace basilnotch
