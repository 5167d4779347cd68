// Thin wrappers over xxHash and OpenSSL, so that callers hold plain strings and numbers.
#include <base/Hash.h>

#include <algorithm>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <cassert>

namespace basilnotch {

namespace {

std::string toHex(std::span<const unsigned char> bytes)
{
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text += kDigits[byte >> 4];
        text += kDigits[byte & 15];
    }
    return text;
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string digestHex(std::string_view text)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
    return toHex(canonical.digest);
}

std::string signHex(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &size);
    return toHex(std::span(digest).first(size));
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomHex(std::size_t bytes)
{
    std::string raw(bytes, '\0');
    auto *data = reinterpret_cast<unsigned char *>(raw.data());
    RAND_bytes(data, static_cast<int>(bytes));
    return toHex(std::span(data, bytes));
}

std::size_t rendezvousRank(std::string_view key, std::string_view self,
                           std::span<const std::string> names)
{
    const std::uint64_t seed = hash64(key);
    const std::uint64_t own = hash64(self, seed);
    return static_cast<std::size_t>(
        std::count_if(names.begin(), names.end(),
                      [&](const std::string &name) { return hash64(name, seed) > own; }));
}

std::size_t rendezvousOwner(std::string_view key, std::span<const std::string> names)
{
    assert(!names.empty());
    const std::uint64_t seed = hash64(key);
    std::size_t best = 0;
    std::uint64_t bestWeight = 0;
    for (std::size_t index = 0; index < names.size(); ++index) {
        const std::uint64_t weight = hash64(names[index], seed);
        if (index == 0 || weight > bestWeight) {
            best = index;
            bestWeight = weight;
        }
    }
    return best;
}

std::vector<std::string> rendezvousFirst(std::string_view key, std::span<const std::string> names,
                                         std::size_t count)
{
    const std::uint64_t seed = hash64(key);
    std::vector<std::string> first(names.begin(), names.end());
    const std::size_t kept = std::min(count, first.size());
    std::partial_sort(first.begin(), first.begin() + static_cast<std::ptrdiff_t>(kept), first.end(),
                      [seed](const std::string &left, const std::string &right) {
                          return hash64(left, seed) > hash64(right, seed);
                      });
    first.resize(kept);
    return first;
}

} // namespace basilnotch
