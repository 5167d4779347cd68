// Counts of quality and cost of each model. Counts only grow, so that the counts of all instances
// can be summed in any order.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace basilnotch {

/// Key under which counts are kept separately.
struct QualityKey
{
    std::string workspace;
    std::string task;
    std::string model;
    bool longPrompt = false; ///< The prompt is longer than twice the median of the task.
    bool streamed = false;
    /// The answer of an earlier model to the same request failed its check.
    bool afterFailure = false;

    friend auto operator<=>(const QualityKey &, const QualityKey &) = default;
};

/// Counts of one key. Invariants: finished <= runs, good <= rated <= finished.
struct QualityCounts
{
    std::int64_t runs = 0;
    std::int64_t finished = 0; ///< Not cancelled by the caller.
    std::int64_t rated = 0;
    std::int64_t good = 0; ///< Passed by the rating service.
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< Generated tokens, including those of cancelled runs.

    void add(const QualityCounts &other);
    friend bool operator==(const QualityCounts &, const QualityCounts &) = default;
};

/// Counts of several instances. Each instance writes only its own counts; those of other instances
/// are replaced by newer ones, never added twice.
class QualityStats
{
public:
    using Table = std::map<QualityKey, QualityCounts>;

    explicit QualityStats(std::string self);

    /// Counts of this instance for `key`, to be incremented in place.
    QualityCounts &own(const QualityKey &key);
    const Table &ownTable() const { return this->byInstance.at(this->self); }
    /// Replaces the table of another instance; a table with fewer runs and ratings is older and
    /// ignored.
    void merge(const std::string &instance, const Table &table);
    /// Sum over all instances.
    Table totals() const;

private:
    std::string self;
    std::map<std::string, Table, std::less<>> byInstance;
};

/// Running median of the prompt length of each task, for the classification of long prompts.
class PromptMedian
{
public:
    /// Records a prompt and returns true if it is longer than twice the median.
    bool isLong(std::string_view task, int promptTokens);

private:
    struct Estimate
    {
        double logMedian = 0;
        std::int64_t count = 0;
    };
    std::map<std::string, Estimate, std::less<>> byTask;
};

} // namespace basilnotch
