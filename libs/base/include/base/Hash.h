// Hashing, keyed signatures and random identifiers, all by library (xxHash, OpenSSL).
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// A fast 64-bit hash, stable between processes and releases.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Digest of a body in 32 hexadecimal digits, stable between processes.
std::string digestHex(std::string_view text);

/// HMAC-SHA-256 of `text` in hexadecimal.
std::string signHex(std::string_view key, std::string_view text);

/// Comparison whose time does not depend on where the texts differ.
bool equalConstantTime(std::string_view left, std::string_view right);

/// `bytes` random bytes of the operating system's generator in hexadecimal.
std::string randomHex(std::size_t bytes);

/// Rendezvous hashing: how many of `names` come before `self` for `key`; 0 for the owner.
std::size_t rendezvousRank(std::string_view key, std::string_view self,
                           std::span<const std::string> names);

/// Rendezvous hashing: index of the name that owns `key`. Undefined for an empty list.
std::size_t rendezvousOwner(std::string_view key, std::span<const std::string> names);

/// Rendezvous hashing: the first `count` of `names` for `key`, the owner first; all if there are
/// fewer.
std::vector<std::string> rendezvousFirst(std::string_view key, std::span<const std::string> names,
                                         std::size_t count);

} // namespace basilnotch
