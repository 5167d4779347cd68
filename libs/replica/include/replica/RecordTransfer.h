// What an instance asks of another one to get a large record, and the answers. An encoding of a
// record is a delta against a version that the asker has, or the compressed whole. It is the same
// at every holder, so that a transfer goes on at another one from where it has stopped.
#pragma once

#include <base/Clock.h>
#include <replica/Replica.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Names an encoding.
struct RecordEncoding
{
    RecordState target;
    RecordState base;       ///< All zero: the whole record.
    std::uint64_t hash = 0; ///< Of the encoding.
    std::uint64_t size = 0; ///< Bytes of the encoding.
    friend bool operator==(const RecordEncoding &, const RecordEncoding &) = default;
};

struct RecordRequest
{
    RecordKey key;
    std::string asker;               ///< Name of the instance.
    RecordVersion wanted = 0;        ///< Least version that is wanted.
    std::vector<RecordState> states; ///< What the asker has, newest first.
    RecordEncoding encoding;         ///< Of the transfer that goes on at `offset`.
    std::uint64_t offset = 0;        ///< 0: a new transfer.
    std::uint64_t maxBytes = 0;
};

enum class RecordReplyKind : char {
    None = 'n', ///< The holder has no such version.
    Busy = 'b', ///< It has one, and serves others.
    Part = 'p',
};

struct RecordReply
{
    RecordReplyKind kind = RecordReplyKind::None;
    RecordEncoding encoding;  ///< Part only, as are the next two.
    std::uint64_t offset = 0; ///< May be 0 where the request has another: a new transfer.
    std::string bytes;
    Duration retryAfter{};              ///< Busy only.
    std::vector<std::string> referrals; ///< Busy only: instances that have the record as well.
};

std::string encodeRequest(const RecordRequest &request);
absl::StatusOr<RecordRequest> decodeRequest(std::string_view text);
std::string encodeReply(const RecordReply &reply);
absl::StatusOr<RecordReply> decodeReply(std::string_view text);

} // namespace basilnotch
