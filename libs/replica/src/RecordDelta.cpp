// Format: size of the target, then operations. Numbers are base-128 varints. The lowest bit of an
// operation tells a copy from literal bytes, the others are its length. The source of a copy is
// relative to the end of the copy before plus the literal bytes since then, so that a value of
// similar lines and a base with few changes both have small numbers.
#include <replica/RecordDelta.h>

#include <cstdint>
#include <cstring>
#include <vector>

namespace basilnotch {

namespace {

constexpr std::size_t kMinMatch = 4; ///< A shorter copy is not smaller than its bytes.
/// Longer sequences are rarer, so that the latest place of one is more often the right one.
constexpr std::size_t kLongMatch = 12;
constexpr int kTableBits = 15;
/// Between two places that are indexed, where long matches are expected.
constexpr std::size_t kStride = 8;
constexpr std::size_t kLongCopy = 64;
constexpr std::uint32_t kNowhere = UINT32_MAX;

void putNumber(std::string &out, std::uint64_t number)
{
    constexpr std::uint64_t kContinues = 0x80;
    while (number >= kContinues) {
        out.push_back(static_cast<char>(number | kContinues));
        number >>= 7U;
    }
    out.push_back(static_cast<char>(number));
}

bool takeNumber(std::string_view &text, std::uint64_t &number)
{
    number = 0;
    for (unsigned shift = 0; shift < 63 && !text.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(text.front());
        text.remove_prefix(1);
        number |= std::uint64_t{byte & 0x7FU} << shift;
        if (byte < 0x80U) {
            return true;
        }
    }
    return false;
}

std::uint64_t zigzag(std::int64_t number)
{
    return (static_cast<std::uint64_t>(number) << 1U) ^ static_cast<std::uint64_t>(number >> 63U);
}

std::int64_t unzigzag(std::uint64_t number)
{
    return static_cast<std::int64_t>(number >> 1U) ^ -static_cast<std::int64_t>(number & 1U);
}

class Encoder
{
public:
    Encoder(std::string_view base, std::string_view target)
        : baseSize(base.size())
        , shortPlaces(std::size_t{1} << kTableBits, kNowhere)
        , longPlaces(std::size_t{1} << kTableBits, kNowhere)
    {
        this->text.reserve(base.size() + target.size());
        this->text.append(base).append(target);
    }

    std::string run()
    {
        const std::size_t end = this->text.size();
        putNumber(this->out, end - this->baseSize);
        std::size_t literalFrom = this->baseSize;
        for (std::size_t at = 0; at < this->baseSize; at += kStride) {
            this->longPlace(at) = static_cast<std::uint32_t>(at);
        }
        for (std::size_t at = this->baseSize; at < end;) {
            const std::size_t expected = this->copyEnd + (at - literalFrom);
            std::size_t from = expected;
            std::size_t length = expected < at ? this->matchLength(expected, at) : 0;
            for (const std::size_t indexed : {this->longPlace(at), this->shortPlace(at)}) {
                const std::size_t other = indexed < at ? this->matchLength(indexed, at) : 0;
                if (other > length + 2) { // Its address takes more bytes.
                    from = indexed;
                    length = other;
                }
            }
            if (length < kMinMatch) {
                this->index(at++);
                continue;
            }
            std::size_t back = 0; // Most places of the base are not indexed.
            while (back < at - literalFrom && back < from
                   && this->text[from - back - 1] == this->text[at - back - 1]) {
                ++back;
            }
            this->putLiteral(literalFrom, at - back);
            putNumber(this->out, (std::uint64_t{length + back} << 1U) | 1U);
            putNumber(
                this->out,
                zigzag(static_cast<std::int64_t>(from) - static_cast<std::int64_t>(expected)));
            this->copyEnd = from + length;
            const std::size_t stride = length < kLongCopy ? 1 : kStride;
            for (std::size_t copied = at; copied < at + length; copied += stride) {
                this->index(copied);
            }
            at += length;
            literalFrom = at;
        }
        this->putLiteral(literalFrom, end);
        return std::move(this->out);
    }

private:
    void putLiteral(std::size_t from, std::size_t to)
    {
        if (from < to) {
            putNumber(this->out, std::uint64_t{to - from} << 1U);
            this->out.append(this->text, from, to - from);
        }
    }

    /// Latest place of the bytes at `at`, kNowhere at the end of the text.
    std::uint32_t &shortPlace(std::size_t at)
    {
        return this->place(this->shortPlaces, at, kMinMatch);
    }

    std::uint32_t &longPlace(std::size_t at)
    {
        return this->place(this->longPlaces, at, kLongMatch);
    }

    std::uint32_t &place(std::vector<std::uint32_t> &places, std::size_t at, std::size_t length)
    {
        if (at + length > this->text.size()) {
            this->nowhere = kNowhere;
            return this->nowhere;
        }
        constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15U;
        std::uint64_t hash = 0;
        for (std::size_t offset = 0; offset < length; offset += sizeof(std::uint32_t)) {
            std::uint32_t word = 0;
            std::memcpy(&word, this->text.data() + at + offset, sizeof(word));
            hash = (hash ^ word) * kMultiplier;
            hash ^= hash >> 32U;
        }
        return places[(hash * kMultiplier) >> (64U - kTableBits)];
    }

    void index(std::size_t at)
    {
        this->shortPlace(at) = static_cast<std::uint32_t>(at);
        this->longPlace(at) = static_cast<std::uint32_t>(at);
    }

    /// Of equal bytes; the two ranges may overlap.
    std::size_t matchLength(std::size_t from, std::size_t at) const
    {
        std::size_t length = 0;
        while (at + length < this->text.size()
               && this->text[from + length] == this->text[at + length]) {
            ++length;
        }
        return length;
    }

    const std::size_t baseSize;
    std::string text;                       ///< Base, then target.
    std::vector<std::uint32_t> shortPlaces; ///< By hash; kNowhere: none.
    std::vector<std::uint32_t> longPlaces;
    std::uint32_t nowhere = kNowhere;
    std::size_t copyEnd = 0; ///< End of the source of the latest copy.
    std::string out;
};

absl::Status malformed(std::string_view why)
{
    return failure(absl::StatusCode::kDataLoss, "apply delta", "record", why);
}

} // namespace

std::string encodeDelta(std::string_view base, std::string_view target)
{
    return Encoder(base, target).run();
}

absl::StatusOr<std::string> applyDelta(std::string_view base, std::string_view delta,
                                       std::size_t maxBytes)
{
    std::uint64_t size = 0;
    if (!takeNumber(delta, size) || size > maxBytes) {
        return malformed("size");
    }
    std::string target;
    target.reserve(size);
    std::uint64_t expected = 0;
    while (!delta.empty()) {
        std::uint64_t operation = 0;
        if (!takeNumber(delta, operation) || (operation >> 1U) > size - target.size()) {
            return malformed("length");
        }
        const std::uint64_t length = operation >> 1U;
        if ((operation & 1U) == 0) {
            if (length > delta.size()) {
                return malformed("literal bytes missing");
            }
            target.append(delta.substr(0, length));
            delta.remove_prefix(length);
            expected += length;
            continue;
        }
        std::uint64_t relative = 0;
        if (!takeNumber(delta, relative)) {
            return malformed("source");
        }
        std::uint64_t from = expected + static_cast<std::uint64_t>(unzigzag(relative));
        if (from >= base.size() + target.size()) {
            return malformed("source");
        }
        for (std::uint64_t left = length; left > 0; --left, ++from) {
            target.push_back(from < base.size() ? base[from] : target[from - base.size()]);
        }
        expected = from;
    }
    if (target.size() != size) {
        return malformed("size");
    }
    return target;
}

} // namespace basilnotch
