// Counters of each instance only grow: merging keeps the larger table and is therefore idempotent.
#include <decision/QualityStats.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace basilnotch {

namespace {

std::int64_t totalRunsAndRatings(const QualityStats::Table &table)
{
    return std::accumulate(table.begin(), table.end(), std::int64_t{0},
                           [](std::int64_t sum, const auto &item) {
                               return sum + item.second.runs + item.second.rated;
                           });
}

} // namespace

void QualityCounts::add(const QualityCounts &other)
{
    this->runs += other.runs;
    this->finished += other.finished;
    this->rated += other.rated;
    this->good += other.good;
    this->promptTokens += other.promptTokens;
    this->outputTokens += other.outputTokens;
}

QualityStats::QualityStats(std::string self)
    : self(std::move(self))
{
    this->byInstance[this->self];
}

QualityCounts &QualityStats::own(const QualityKey &key)
{
    return this->byInstance[this->self][key];
}

void QualityStats::merge(const std::string &instance, const Table &table)
{
    if (instance == this->self) {
        return;
    }
    Table &known = this->byInstance[instance];
    if (totalRunsAndRatings(table) > totalRunsAndRatings(known)) {
        known = table;
    }
}

QualityStats::Table QualityStats::totals() const
{
    Table sum;
    for (const auto &[instance, table] : this->byInstance) {
        for (const auto &[key, counts] : table) {
            sum[key].add(counts);
        }
    }
    return sum;
}

bool PromptMedian::isLong(std::string_view task, int promptTokens)
{
    auto found = this->byTask.find(task);
    if (found == this->byTask.end()) {
        found = this->byTask.emplace(std::string(task), Estimate{}).first;
    }
    Estimate &estimate = found->second;
    const double value = std::log(std::max(1, promptTokens));
    if (estimate.count == 0) {
        estimate.logMedian = value;
    }
    ++estimate.count;
    constexpr double kFirstStep = 1.0;
    constexpr double kSmallestStep = 0.005;
    const double step = std::max(kSmallestStep, kFirstStep / static_cast<double>(estimate.count));
    estimate.logMedian += value > estimate.logMedian ? step
        : value < estimate.logMedian                 ? -step
                                                     : 0;
    return value > estimate.logMedian + std::log(2.0);
}

} // namespace basilnotch
