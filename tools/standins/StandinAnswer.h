// The answer that every engine stand-in gives to a prompt: known beforehand, so that a caller can
// check that it got the whole of its own answer.
#pragma once

#include <string>
#include <string_view>

namespace basilnotch {

/// Token number `index` of the answer to `prompt`.
std::string standinToken(std::string_view prompt, int index);
/// The first `tokens` tokens.
std::string standinAnswer(std::string_view prompt, int tokens);

/// Tokens of an answer for which the caller gave no max_tokens.
constexpr int kStandinTokens = 24;
/// A prompt with this word crashes a real engine process, an engine with another word answers
/// badly.
constexpr std::string_view kPoisonWord = "POISON";

} // namespace basilnotch
