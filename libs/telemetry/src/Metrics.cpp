// Boost.Histogram with thread-safe cells; the text format is printed by hand, as it is one line for
// each sample.
#include <telemetry/Metrics.h>

#include <absl/strings/str_cat.h>
#include <boost/histogram.hpp>

namespace basilnotch {

namespace bh = boost::histogram;

namespace {

constexpr int kBuckets = 56;     // Eight for each power of ten.
constexpr double kLowest = 1e-4; // Seconds.
constexpr double kHighest = 1e3; // Seconds.
constexpr std::string_view kPrefix = "basilnotch_";

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Cell = bh::accumulators::count<std::uint64_t, true>;
using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<Cell>>;

} // namespace

struct LatencyHistogram::Impl
{
    Histogram cells{std::tuple(Axis(kBuckets, kLowest, kHighest)), bh::dense_storage<Cell>()};
    std::atomic<std::int64_t> total{0};
    std::atomic<std::int64_t> sumNanos{0};
};

LatencyHistogram::LatencyHistogram()
    : impl(std::make_unique<Impl>())
{ }

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration latency)
{
    this->impl->cells(toSeconds(latency));
    this->impl->total.fetch_add(1, std::memory_order_relaxed);
    this->impl->sumNanos.fetch_add(latency.count(), std::memory_order_relaxed);
}

std::int64_t LatencyHistogram::count() const
{
    return this->impl->total.load(std::memory_order_relaxed);
}

Duration LatencyHistogram::quantile(double share) const
{
    const double wanted = share * static_cast<double>(this->count());
    double seen = 0;
    if (wanted <= 0) {
        return Duration::zero();
    }
    for (auto &&cell : bh::indexed(this->impl->cells, bh::coverage::all)) {
        seen += static_cast<double>(cell->value());
        if (seen >= wanted) {
            return fromSeconds(std::min(cell.bin().upper(), kHighest));
        }
    }
    return fromSeconds(kHighest);
}

void LatencyHistogram::print(std::string &text, std::string_view name) const
{
    std::uint64_t seen = 0;
    for (auto &&cell : bh::indexed(this->impl->cells, bh::coverage::all)) {
        seen += cell->value();
        const double upper = cell.bin().upper();
        const std::string edge = upper > kHighest ? "+Inf" : absl::StrCat(upper);
        absl::StrAppend(&text, std::string(name), "_bucket{le=\"", edge, "\"} ", seen, "\n");
    }
    const double sum = static_cast<double>(this->impl->sumNanos.load()) * 1e-9;
    absl::StrAppend(&text, std::string(name), "_sum ", sum, "\n");
    absl::StrAppend(&text, std::string(name), "_count ", this->count(), "\n");
}

Counter &Metrics::counter(std::string_view name)
{
    const std::lock_guard lock(this->mutex);
    auto found = this->counters.find(name);
    if (found == this->counters.end()) {
        found = this->counters.emplace(name, std::make_unique<Counter>()).first;
    }
    return *found->second;
}

LatencyHistogram &Metrics::histogram(std::string_view name)
{
    const std::lock_guard lock(this->mutex);
    auto found = this->histograms.find(name);
    if (found == this->histograms.end()) {
        found = this->histograms.emplace(name, std::make_unique<LatencyHistogram>()).first;
    }
    return *found->second;
}

std::string Metrics::print() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    std::string family;
    for (const auto &[name, counter] : this->counters) {
        const std::string base = name.substr(0, name.find('{'));
        if (base != family) {
            family = base;
            const bool grows = base.ends_with("_total");
            absl::StrAppend(&text, "# TYPE ", std::string(kPrefix), base,
                            grows ? " counter\n" : " gauge\n");
        }
        absl::StrAppend(&text, std::string(kPrefix), name, " ", counter->get(), "\n");
    }
    for (const auto &[name, histogram] : this->histograms) {
        const std::string full = std::string(kPrefix) + name;
        absl::StrAppend(&text, "# TYPE ", full, " histogram\n");
        histogram->print(text, full);
    }
    return text;
}

} // namespace basilnotch
