// Distribution of the answer times of one kind of request, as counts in buckets of equal ratio.
#pragma once

#include <base/Clock.h>

#include <array>
#include <cstdint>
#include <optional>

namespace basilnotch {

/// Not thread-safe. Of fixed size; an entry is forgotten after one to two lifetimes.
class AnswerTimes
{
public:
    /// Index of a bucket; small enough to be told to other instances.
    using Bucket = std::uint8_t;

    explicit AnswerTimes(Duration lifetime)
        : lifetime(lifetime)
    { }

    static Bucket bucketOf(Duration took);
    void add(Bucket bucket, TimePoint now);
    /// At least `share` of the answers took no longer, up to the width of a bucket; empty with
    /// fewer than `minAnswers`.
    std::optional<Duration> quantile(double share, int minAnswers) const;

private:
    static constexpr std::size_t kBuckets = 96;
    using Counts = std::array<std::uint32_t, kBuckets>;

    static Duration upperBound(std::size_t bucket);

    const Duration lifetime;
    TimePoint rotatedAt{};
    Counts current{};
    Counts previous{};
};

} // namespace basilnotch
