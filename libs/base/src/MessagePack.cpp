// Reads heads of values only; a stack of the items left in each open array or map.
#include <base/MessagePack.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace basilnotch {

namespace {

/// Head of a value.
struct Head
{
    std::uint64_t items = 0;   ///< That follow: elements, or keys and values.
    std::uint64_t payload = 0; ///< Bytes that follow the head.
    bool isContainer = false;
};

class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : rest(text)
    { }

    /// Takes a head and its payload; nothing when the text ends before.
    std::optional<Head> next()
    {
        const std::optional<std::uint64_t> first = this->number(1);
        if (!first) {
            return std::nullopt;
        }
        const std::optional<Head> head = this->headOf(static_cast<unsigned>(*first));
        if (!head || head->payload > this->rest.size()) {
            return std::nullopt;
        }
        this->rest.remove_prefix(static_cast<std::size_t>(head->payload));
        return head;
    }

private:
    /// A big-endian number of `bytes` bytes.
    std::optional<std::uint64_t> number(std::size_t bytes)
    {
        if (this->rest.size() < bytes) {
            return std::nullopt;
        }
        constexpr unsigned kByteBits = 8;
        std::uint64_t value = 0;
        for (std::size_t index = 0; index < bytes; ++index) {
            value = (value << kByteBits) | static_cast<unsigned char>(this->rest[index]);
        }
        this->rest.remove_prefix(bytes);
        return value;
    }

    /// A head with a length of `bytes` bytes, and `extra` bytes of payload beyond that length.
    std::optional<Head> sized(std::size_t bytes, std::uint64_t extra = 0)
    {
        const std::optional<std::uint64_t> length = this->number(bytes);
        return length ? std::optional<Head>({0, *length + extra, false}) : std::nullopt;
    }

    std::optional<Head> container(std::size_t bytes, std::uint64_t itemsEach)
    {
        const std::optional<std::uint64_t> length = this->number(bytes);
        return length ? std::optional<Head>({*length * itemsEach, 0, true}) : std::nullopt;
    }

    // NOLINTBEGIN(readability-magic-numbers): the format's own codes.
    std::optional<Head> headOf(unsigned code)
    {
        if (code <= 0x7f || code >= 0xe0) {
            return Head{};
        }
        if (code <= 0x8f) {
            return Head{2ULL * (code & 0x0f), 0, true};
        }
        if (code <= 0x9f) {
            return Head{code & 0x0f, 0, true};
        }
        if (code <= 0xbf) {
            return Head{0, code & 0x1f, false};
        }
        switch (code) {
        case 0xc4:
        case 0xd9:
            return this->sized(1);
        case 0xc5:
        case 0xda:
            return this->sized(2);
        case 0xc6:
        case 0xdb:
            return this->sized(4);
        case 0xc7:
            return this->sized(1, 1);
        case 0xc8:
            return this->sized(2, 1);
        case 0xc9:
            return this->sized(4, 1);
        case 0xcc:
        case 0xd0:
            return Head{0, 1, false};
        case 0xcd:
        case 0xd1:
        case 0xd4:
            return Head{0, 2, false};
        case 0xd5:
            return Head{0, 3, false};
        case 0xca:
        case 0xce:
        case 0xd2:
            return Head{0, 4, false};
        case 0xd6:
            return Head{0, 5, false};
        case 0xcb:
        case 0xcf:
        case 0xd3:
            return Head{0, 8, false};
        case 0xd7:
            return Head{0, 9, false};
        case 0xd8:
            return Head{0, 17, false};
        case 0xdc:
            return this->container(2, 1);
        case 0xdd:
            return this->container(4, 1);
        case 0xde:
            return this->container(2, 2);
        case 0xdf:
            return this->container(4, 2);
        case 0xc1: // Never used.
            return std::nullopt;
        default: // Nil, false, true.
            return Head{};
        }
    }
    // NOLINTEND(readability-magic-numbers)

    std::string_view rest;
};

} // namespace

bool isBoundedMessagePack(std::string_view text, const MessagePackBounds &bounds)
{
    Scanner scanner(text);
    std::vector<std::uint64_t> itemsLeft{1};
    std::uint64_t items = 0;
    while (!itemsLeft.empty()) {
        if (itemsLeft.back() == 0) {
            itemsLeft.pop_back();
            continue;
        }
        --itemsLeft.back();
        const std::optional<Head> head = scanner.next();
        if (!head) {
            return false;
        }
        if (head->isContainer) {
            items += head->items;
            if (items > bounds.maxItems || itemsLeft.size() > bounds.maxDepth) {
                return false;
            }
            itemsLeft.push_back(head->items);
        }
    }
    return true;
}

} // namespace basilnotch
