// Estimates how long a request that is queued now waits for a slot, from the rate at which slots
// become free. Under overload, a request that can't get a slot in time is refused at once, with the
// time after which to retry.
#pragma once

#include <base/Clock.h>

#include <cstddef>
#include <optional>

namespace basilnotch {

struct QueueWaitOptions
{
    double smoothing = 0.1; ///< Weight of the newest interval in the moving average.
    /// Without a freed slot for this long, past intervals no longer predict the wait.
    Duration maxIdle = std::chrono::seconds(5);
    Duration minRetryAfter = std::chrono::milliseconds(100);
    Duration maxRetryAfter = std::chrono::seconds(5);
};

/// For one service. Not thread-safe.
class QueueWaitEstimator
{
public:
    QueueWaitEstimator(QueueWaitOptions options, const Clock &clock);

    void onSlotFreed();
    /// Expected wait of a request with `ahead` others before it; empty without recent samples.
    std::optional<Duration> expectedWait(std::size_t ahead) const;
    /// Time after which a refused caller should retry, within the bounds of the options.
    Duration retryAfter(std::size_t ahead) const;

private:
    QueueWaitOptions options;
    const Clock *clock; ///< A pointer, so that estimators can be stored in containers.
    std::optional<TimePoint> lastFreedAt;
    std::optional<Duration> interval; ///< Moving average between freed slots.
};

} // namespace basilnotch
