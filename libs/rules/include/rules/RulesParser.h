// Reads a rules file. A file is taken whole or refused whole, with every fault named.
#pragma once

#include <rules/Rules.h>

#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// One fault of a rules file. Line and column count from 1.
struct RulesFault
{
    int line = 0;
    int column = 0;
    std::string found;
    std::string allowed;

    /// "FILE:LINE:COLUMN: found ..., allowed here: ..."
    std::string format(std::string_view file) const;
};

/// Result of a parse. `rules` has a meaning only when `faults` is empty.
struct ParsedRules
{
    Rules rules;
    std::vector<RulesFault> faults;

    bool ok() const { return this->faults.empty(); }
};

/// Parses and validates `text`. Never throws; bounds: kMaxRulesBytes, kMaxRulesLines.
///
///     const ParsedRules parsed = parseRules(text);
///     if (!parsed.ok()) { print(parsed.faults.front().format("rules.txt")); }
ParsedRules parseRules(std::string_view text);

/// The rules as canonical text without comments; parsing it gives equal rules.
std::string printRules(const Rules &rules);

constexpr std::size_t kMaxRulesBytes = 1 << 20;
constexpr int kMaxRulesLines = 10'000;

} // namespace basilnotch
