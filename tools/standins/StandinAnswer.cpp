// Hash of prompt and position: any crossed, lost or repeated token shows.
#include "StandinAnswer.h"

#include <base/Hash.h>

#include <absl/strings/str_cat.h>

namespace basilnotch {

std::string standinToken(std::string_view prompt, int index)
{
    return absl::StrCat(
        "t", index, "-",
        absl::Hex(hash64(prompt, static_cast<std::uint64_t>(index)) & 0xffff, absl::kZeroPad4),
        " ");
}

std::string standinAnswer(std::string_view prompt, int tokens)
{
    std::string answer;
    for (int index = 0; index < tokens; ++index) {
        answer += standinToken(prompt, index);
    }
    return answer;
}

} // namespace basilnotch
