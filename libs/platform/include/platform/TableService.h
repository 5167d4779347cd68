// The platform's transactional table, seen through the two operations that every promise rests on:
// insert-if-absent and compare-and-set, several of them in one write.
#pragma once

#include <base/Failure.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// One row. Versions of a row count from 1 and only grow.
struct TableRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// One change of one row.
struct TableWrite
{
    std::string key;
    std::string value;
    std::uint64_t expectedVersion = 0; ///< 0: insert if absent; else the version to replace.
};

/// What became of a TableWrite.
struct TableWriteResult
{
    bool applied = false;
    TableRow row; ///< The row as it is after the write, whoever wrote it.
};

/// Implementations block the calling fiber. An error other than kInvalidArgument leaves it open
/// whether the write took effect: the answer may have been lost on its way.
class TableService
{
public:
    virtual ~TableService() = default;

    /// Applies each write on its own, all in one exchange. Results are in the order of `writes`.
    virtual absl::StatusOr<std::vector<TableWriteResult>>
    write(const std::vector<TableWrite> &writes) = 0;
    /// The row of `key`; kNotFound when there is none.
    virtual absl::StatusOr<TableRow> read(std::string_view key) = 0;
    /// Rows whose key starts with `prefix`, in key order, after key `after`, at most `limit`.
    virtual absl::StatusOr<std::vector<TableRow>> list(std::string_view prefix,
                                                       std::string_view after, int limit) = 0;

    absl::StatusOr<TableWriteResult> writeOne(TableWrite write);
};

/// Whether an answer is good enough, as judged by the platform.
struct RatingRequest
{
    std::string requestId;
    std::string workspace;
    std::string task;
    std::string prompt;
    std::string answer;
};

class RatingService
{
public:
    virtual ~RatingService() = default;
    /// True when the answer passes.
    virtual absl::StatusOr<bool> rate(const RatingRequest &request) = 0;
};

enum class ListedState { Live, Leaving };

/// One line of the platform's list of instances, which lags behind.
struct ListedInstance
{
    std::string name;
    std::string address;
    std::string failureDomain;
    ListedState state = ListedState::Live;
};

class InstanceList
{
public:
    virtual ~InstanceList() = default;
    virtual absl::StatusOr<std::vector<ListedInstance>> instances() = 0;
};

/// All that the platform gives, as made by one adapter for one runtime thread.
class Platform
{
public:
    virtual ~Platform() = default;
    virtual TableService &table() = 0;
    virtual RatingService &ratings() = 0;
    virtual InstanceList &instanceList() = 0;
};

} // namespace basilnotch
