// Counters and latency histograms, printed in the Prometheus text format.
#pragma once

#include <base/Clock.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace basilnotch {

/// A number that only grows, or a level when `set` is used. Thread safe.
class Counter
{
public:
    void add(std::int64_t amount = 1) { this->value.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::int64_t level) { this->value.store(level, std::memory_order_relaxed); }
    std::int64_t get() const { return this->value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value{0};
};

/// Latencies from 0.1 ms to 1,000 s in logarithmic buckets (Boost.Histogram). Thread safe.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void record(Duration latency);
    /// Upper edge of the bucket that holds the `share` quantile; zero when nothing was recorded.
    Duration quantile(double share) const;
    std::int64_t count() const;
    void print(std::string &text, std::string_view name) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Owns all metrics of a process. Look-ups take a lock: keep the reference, which stays valid.
///
///     Counter &refused = metrics.counter("requests_refused_total{reason=\"queue\"}");
///     refused.add();
class Metrics
{
public:
    Counter &counter(std::string_view name);
    LatencyHistogram &histogram(std::string_view name);
    /// The Prometheus text exposition format.
    std::string print() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters;
    std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>> histograms;
};

} // namespace basilnotch
