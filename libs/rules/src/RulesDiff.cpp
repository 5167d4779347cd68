// Longest common subsequence over lines, after the equal head and tail have been cut off; what
// remains of an operator's edit is a few lines, so the quadratic table stays small.
#include <rules/RulesDiff.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <vector>

namespace basilnotch {

namespace {

using Lines = std::vector<std::string>;

/// lengths[i][j]: common lines of before[i..] and after[j..].
std::vector<std::vector<int>> commonLengths(const Lines &before, const Lines &after)
{
    std::vector<std::vector<int>> lengths(before.size() + 1, std::vector<int>(after.size() + 1, 0));
    for (std::size_t i = before.size(); i-- > 0;) {
        for (std::size_t j = after.size(); j-- > 0;) {
            lengths[i][j] = before[i] == after[j] ? lengths[i + 1][j + 1] + 1
                                                  : std::max(lengths[i + 1][j], lengths[i][j + 1]);
        }
    }
    return lengths;
}

} // namespace

std::string diffLines(std::string_view beforeText, std::string_view afterText)
{
    Lines before = absl::StrSplit(absl::string_view(beforeText.data(), beforeText.size()), '\n');
    Lines after = absl::StrSplit(absl::string_view(afterText.data(), afterText.size()), '\n');
    std::size_t head = 0;
    while (head < before.size() && head < after.size() && before[head] == after[head]) {
        ++head;
    }
    while (before.size() > head && after.size() > head && before.back() == after.back()) {
        before.pop_back();
        after.pop_back();
    }
    before.erase(before.begin(), before.begin() + static_cast<std::ptrdiff_t>(head));
    after.erase(after.begin(), after.begin() + static_cast<std::ptrdiff_t>(head));
    const auto lengths = commonLengths(before, after);
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            ++i;
            ++j;
        } else if (j == after.size()
                   || (i < before.size() && lengths[i + 1][j] >= lengths[i][j + 1])) {
            absl::StrAppend(&text, "- ", head + i + 1, ": ", before[i], "\n");
            ++i;
        } else {
            absl::StrAppend(&text, "+ ", head + j + 1, ": ", after[j], "\n");
            ++j;
        }
    }
    return text;
}

} // namespace basilnotch
