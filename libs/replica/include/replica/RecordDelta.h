// Encodes a value as copies from a base value and from itself, and the bytes in between. With an
// empty base it compresses the value.
#pragma once

#include <base/Failure.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace basilnotch {

/// The same for the same arguments on all instances. Time and memory are linear in the sizes.
std::string encodeDelta(std::string_view base, std::string_view target);
/// Rebuilds the target. kDataLoss: `delta` is malformed for this base, or its target is larger than
/// `maxBytes`. A delta that belongs to another base may rebuild a wrong target, so callers compare
/// a hash.
absl::StatusOr<std::string> applyDelta(std::string_view base, std::string_view delta,
                                       std::size_t maxBytes);

} // namespace basilnotch
