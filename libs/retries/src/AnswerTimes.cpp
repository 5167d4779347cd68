// Two generations of counts: the older one is dropped when the newer one has lasted a lifetime.
#include <retries/AnswerTimes.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace {

constexpr double kFirstBoundMs = 1;
constexpr double kRatio = 1.15; // 96 buckets reach beyond ten minutes.

} // namespace

AnswerTimes::Bucket AnswerTimes::bucketOf(Duration took)
{
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    if (!(ms > kFirstBoundMs)) {
        return 0;
    }
    const double index = std::ceil(std::log(ms / kFirstBoundMs) / std::log(kRatio));
    return static_cast<Bucket>(std::min(index, static_cast<double>(kBuckets - 1)));
}

Duration AnswerTimes::upperBound(std::size_t bucket)
{
    return fromSeconds(kFirstBoundMs * std::pow(kRatio, static_cast<double>(bucket)) / 1000);
}

void AnswerTimes::add(Bucket bucket, TimePoint now)
{
    if (now - this->rotatedAt >= this->lifetime) {
        const bool isStale = now - this->rotatedAt >= 2 * this->lifetime;
        this->previous = isStale ? Counts{} : this->current;
        this->current = {};
        this->rotatedAt = now;
    }
    ++this->current[std::min<std::size_t>(bucket, kBuckets - 1)];
}

std::optional<Duration> AnswerTimes::quantile(double share, int minAnswers) const
{
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < kBuckets; ++index) {
        total += this->current[index] + this->previous[index];
    }
    if (total < static_cast<std::uint64_t>(std::max(1, minAnswers))) {
        return std::nullopt;
    }
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(total)));
    std::uint64_t seen = 0;
    for (std::size_t index = 0; index < kBuckets; ++index) {
        seen += this->current[index] + this->previous[index];
        if (seen >= wanted) {
            return upperBound(index);
        }
    }
    return upperBound(kBuckets - 1);
}

} // namespace basilnotch
