// The chain of accepted rules: reading it, extending it by compare-and-set, never going back.
#pragma once

#include <base/Failure.h>
#include <platform/TableService.h>
#include <rules/RulesParser.h>

#include <memory>
#include <string>
#include <string_view>

namespace basilnotch {

/// One accepted file.
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
    AlreadyStored, ///< An earlier try of the same edit had taken effect.
    Conflict,      ///< The file was edited on another base.
    Invalid,
    Unavailable, ///< The platform gave no answer: it may or may not have taken effect; try again.
};

struct ApplyResult
{
    ApplyOutcome outcome = ApplyOutcome::Unavailable;
    std::uint64_t version = 0; ///< Stored version, or the current one after a conflict.
    std::string changes;       ///< After a conflict: what changed since the base.
    std::vector<RulesFault> faults;
    absl::Status status;
};

/// Control thread only; calls block the calling fiber.
class RulesStore
{
public:
    explicit RulesStore(TableService &table);

    /// Reads the head and takes a higher version. OK also when there is nothing newer.
    absl::Status refresh();
    /// Takes `file` if it is newer and valid; true when it was taken.
    bool adopt(const RulesFile &file);
    /// Stores `text` as the successor of `base`. The same edit may be tried again after a lost
    /// answer.
    ApplyResult apply(std::string_view text, std::uint64_t base);

    /// Null until a first file has been read; an empty chain counts as version 0 of an empty file.
    std::shared_ptr<const Rules> rules() const { return this->parsed; }
    const RulesFile &file() const { return this->current; }
    bool hasRead() const { return this->parsed != nullptr; }
    /// Any accepted file that is still kept in the table.
    absl::StatusOr<RulesFile> version(std::uint64_t number);

private:
    ApplyResult conflict(std::uint64_t base, const RulesFile &head);

    TableService &table;
    RulesFile current; ///< Invariant: its version never falls.
    std::shared_ptr<const Rules> parsed;
};

} // namespace basilnotch
