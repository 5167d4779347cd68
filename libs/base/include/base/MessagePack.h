// A check of MessagePack text before it is parsed: parsers recurse, on the small stack of a fiber.
#pragma once

#include <cstddef>
#include <string_view>

namespace basilnotch {

struct MessagePackBounds
{
    std::size_t maxDepth = 16;      ///< Arrays and maps that lie in each other.
    std::size_t maxItems = 200'000; ///< Of all arrays and maps, keys included.
};

/// Whether `text` begins with one whole value that keeps `bounds`. Does not allocate in proportion
/// to `text`.
bool isBoundedMessagePack(std::string_view text, const MessagePackBounds &bounds = {});

} // namespace basilnotch
