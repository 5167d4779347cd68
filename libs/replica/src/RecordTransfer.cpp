// Fields are separated by line breaks; the last field of a message may contain any bytes.
#include <replica/RecordTransfer.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace basilnotch {

namespace {

constexpr std::size_t kMaxStates = 16;
constexpr std::size_t kMaxReferrals = 8;
constexpr std::int64_t kMaxRetryMs = 10'000;

std::string stateText(const RecordState &state)
{
    return absl::StrCat(state.version, ":", state.hash);
}

std::vector<std::string> split(std::string_view text, char separator, std::size_t maxFields)
{
    return absl::StrSplit(absl::string_view(text.data(), text.size()),
                          absl::MaxSplits(separator, static_cast<int>(maxFields) - 1));
}

bool readState(std::string_view text, RecordState &state)
{
    const std::vector<std::string> parts = split(text, ':', 2);
    return parts.size() == 2 && absl::SimpleAtoi(parts[0], &state.version)
        && absl::SimpleAtoi(parts[1], &state.hash);
}

std::string encodingText(const RecordEncoding &encoding)
{
    return absl::StrCat(stateText(encoding.target), " ", stateText(encoding.base), " ",
                        encoding.hash, " ", encoding.size);
}

bool readEncoding(std::string_view text, RecordEncoding &encoding)
{
    constexpr std::size_t kParts = 4;
    const std::vector<std::string> parts = split(text, ' ', kParts);
    return parts.size() == kParts && readState(parts[0], encoding.target)
        && readState(parts[1], encoding.base) && absl::SimpleAtoi(parts[2], &encoding.hash)
        && absl::SimpleAtoi(parts[3], &encoding.size);
}

absl::Status malformed(std::string_view what)
{
    return failure(absl::StatusCode::kDataLoss, what, "peer", "malformed");
}

} // namespace

std::string encodeRequest(const RecordRequest &request)
{
    const auto appendState = [](std::string *out, const RecordState &state) {
        out->append(stateText(state));
    };
    return absl::StrCat(request.asker, "\n", request.wanted, "\n",
                        absl::StrJoin(request.states, " ", appendState), "\n",
                        encodingText(request.encoding), "\n", request.offset, "\n",
                        request.maxBytes, "\n", request.key.table, "\n", request.key.name);
}

absl::StatusOr<RecordRequest> decodeRequest(std::string_view text)
{
    constexpr std::size_t kFields = 8;
    std::vector<std::string> fields = split(text, '\n', kFields);
    RecordRequest request;
    if (fields.size() != kFields || !absl::SimpleAtoi(fields[1], &request.wanted)
        || !readEncoding(fields[3], request.encoding)
        || !absl::SimpleAtoi(fields[4], &request.offset)
        || !absl::SimpleAtoi(fields[5], &request.maxBytes)) {
        return malformed("read record request");
    }
    const std::vector<std::string> states = absl::StrSplit(fields[2], ' ', absl::SkipEmpty());
    for (const std::string &stateField : states) {
        RecordState state;
        if (!readState(stateField, state) || request.states.size() >= kMaxStates) {
            return malformed("read record request");
        }
        request.states.push_back(state);
    }
    request.asker = std::move(fields[0]);
    request.key = {std::move(fields[6]), std::move(fields[7])};
    return request;
}

std::string encodeReply(const RecordReply &reply)
{
    return absl::StrCat(std::string(1, static_cast<char>(reply.kind)), "\n",
                        encodingText(reply.encoding), "\n", reply.offset, "\n",
                        wholeMillis(reply.retryAfter), "\n", absl::StrJoin(reply.referrals, "\t"),
                        "\n", reply.bytes);
}

absl::StatusOr<RecordReply> decodeReply(std::string_view text)
{
    constexpr std::size_t kFields = 6;
    std::vector<std::string> fields = split(text, '\n', kFields);
    RecordReply reply;
    std::int64_t retryMs = 0;
    const bool isKnownKind = fields[0] == "n" || fields[0] == "b" || fields[0] == "p";
    if (fields.size() != kFields || !isKnownKind || !readEncoding(fields[1], reply.encoding)
        || !absl::SimpleAtoi(fields[2], &reply.offset) || !absl::SimpleAtoi(fields[3], &retryMs)
        || retryMs < 0 || retryMs > kMaxRetryMs) {
        return malformed("read record reply");
    }
    reply.kind = static_cast<RecordReplyKind>(fields[0].front());
    reply.retryAfter = std::chrono::milliseconds(retryMs);
    const std::vector<std::string> referrals = absl::StrSplit(fields[4], '\t', absl::SkipEmpty());
    reply.referrals = referrals;
    if (reply.referrals.size() > kMaxReferrals) {
        return malformed("read record reply");
    }
    reply.bytes = std::move(fields[5]);
    return reply;
}

} // namespace basilnotch
