// Versioned storage of accepted rules. A compare-and-set appends the next version, and an instance
// never returns to an earlier one.
#pragma once

#include <base/Failure.h>
#include <platform/TableService.h>
#include <rules/RulesParser.h>

#include <memory>
#include <string>
#include <string_view>

namespace basilnotch {

/// An accepted rules file.
struct RulesFile
{
    std::uint64_t version = 0;
    std::string editId;
    std::string text;
};

std::string encodeRulesFile(const RulesFile &file);
absl::StatusOr<RulesFile> decodeRulesFile(std::string_view text);

enum class ApplyOutcome {
    Stored,
    AlreadyStored, ///< An earlier attempt at the same edit had succeeded.
    Conflict,      ///< `base` is not the current version.
    Invalid,
    Unavailable, ///< No usable response; the edit may have taken effect. Safe to retry.
};

struct ApplyResult
{
    ApplyOutcome outcome = ApplyOutcome::Unavailable;
    std::uint64_t version = 0; ///< Stored version, or the current one after a conflict.
    std::string changes;       ///< After a conflict: line diff from the base to the current file.
    std::vector<RulesFault> faults;
    absl::Status status;
};

/// Control thread only; calls block the calling fiber.
class RulesStore
{
public:
    explicit RulesStore(TableService &table);

    /// Reads the current file from the table and adopts it if it is newer and valid. Returns OK
    /// also if it was not adopted.
    absl::Status refresh();
    /// Makes `file` the current file if it is newer and valid; returns whether it did.
    bool adopt(const RulesFile &file);
    /// Stores `text` as the successor of version `base`. Idempotent: the same edit may be retried
    /// after a lost response.
    ApplyResult apply(std::string_view text, std::uint64_t base);

    /// Null until a file has been read. A table without rules counts as version 0 of an empty file.
    std::shared_ptr<const Rules> rules() const { return this->parsedRules; }
    const RulesFile &file() const { return this->currentFile; }
    bool isLoaded() const { return this->parsedRules != nullptr; }
    /// Returns an accepted file that is still in the table.
    absl::StatusOr<RulesFile> readVersion(std::uint64_t number);

private:
    ApplyResult conflictResult(std::uint64_t base, const RulesFile &head);

    TableService &table;
    RulesFile currentFile; ///< Invariant: the version never decreases.
    std::shared_ptr<const Rules> parsedRules;
};

} // namespace basilnotch
