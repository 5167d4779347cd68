// How long a request that queues now will wait for a place, from how often places become free.
// Answers the pattern of a rush beyond capacity: what cannot get a place in time is refused at
// once, and is told when to come back.
#pragma once

#include <base/Clock.h>

#include <cstddef>
#include <optional>

namespace basilnotch {

struct QueueWaitOptions
{
    double weight = 0.1; ///< Of the newest interval in the moving mean.
    /// No place has become free for so long: the past says nothing about what comes.
    Duration memory = std::chrono::seconds(5);
    Duration shortestReturn = std::chrono::milliseconds(100);
    Duration longestReturn = std::chrono::seconds(5);
};

/// One service, one thread.
class QueueWaitEstimator
{
public:
    QueueWaitEstimator(QueueWaitOptions options, const Clock &clock);

    void onSlotFreed();
    /// Time until a place is free behind `ahead` others; nothing when it cannot be told.
    std::optional<Duration> expectedWait(std::size_t ahead) const;
    /// When a refused caller should come back.
    Duration retryAfter(std::size_t ahead) const;

private:
    QueueWaitOptions options;
    const Clock *clock; ///< A pointer, so that forecasts can be kept in containers.
    std::optional<TimePoint> lastFreed;
    std::optional<Duration> interval; ///< Moving mean between two freed places.
};

} // namespace basilnotch
