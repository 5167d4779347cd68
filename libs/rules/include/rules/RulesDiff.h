// Line difference of two rules files, for `rules diff` and for the operator who lost a race.
#pragma once

#include <string>
#include <string_view>

namespace basilnotch {

/// Lines of `before` that are gone ("- ") and lines of `after` that are new ("+ "), in order, each
/// with its line number. Empty when the texts are equal.
std::string diffLines(std::string_view before, std::string_view after);

} // namespace basilnotch
