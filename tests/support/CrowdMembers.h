// The clients of a crowd that break one bound each, for any HTTP port, and those of the peer port.
#pragma once

#include "Crowd.h"

#include <string>

namespace basilnotch::testing {

constexpr std::size_t kLargeChunk = 64 * 1024;
/// Memory of the smallest machine that operators run an instance on.
constexpr std::int64_t kMachineBytes = 120'000'000;
/// Descriptors of the instance in tests of a crowd on all of them, and the most that may be open.
constexpr int kDescriptors = 400;
constexpr int kMostDescriptors = 380;
/// Time for a crowd to have its effect; what it has not sent by then counts as held back.
constexpr Duration kCrowdTime = seconds(15);
/// A crowd that comes back for ever, or that reads nothing, is given this long.
constexpr Duration kEndlessCrowdTime = seconds(5);
/// Until then an ordinary request must have been answered; generous, for slow machines.
constexpr Duration kPatience = seconds(30);

inline std::string chunk(std::size_t bytes)
{
    char size[20];
    (void)std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
    return size + std::string(bytes, 'x') + "\r\n";
}

/// `head`: request line and headers, without the empty line.
inline std::vector<CrowdMember> endlessTrailers(const std::string &head)
{
    constexpr std::int64_t kParts = 1024; // 64 MB.
    const std::string body = head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n";
    const std::string line = "X-Trailer: " + std::string(1000, 't') + "\r\n";
    std::string lines;
    while (lines.size() < kLargeChunk) {
        lines += line;
    }
    const std::string unended(kLargeChunk, 't');
    std::vector<CrowdMember> members = crowdOf(2, {body + "0\r\n", lines, kParts, "\r\n"});
    for (const CrowdMember &member :
         crowdOf(2, {body + "0\r\nX-Trailer: ", unended, kParts, "\r\n\r\n"})) {
        members.push_back(member);
    }
    for (const CrowdMember &member :
         crowdOf(2, {body + "1;extension=", unended, kParts, "\r\nx\r\n0\r\n\r\n"})) {
        members.push_back(member);
    }
    return members;
}

/// Chunked bodies that end one byte short of `bytes` and stay open; a few are whole.
inline std::vector<CrowdMember> unendedBodies(const std::string &head, std::size_t bytes, int large,
                                              int small)
{
    const std::string start = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto chunks = static_cast<std::int64_t>(bytes / kLargeChunk) - 1;
    const std::string last = chunk(kLargeChunk);
    std::vector<CrowdMember> members =
        crowdOf(large, {start, chunk(kLargeChunk), chunks, last.substr(0, last.size() - 3)});
    constexpr int kSmallChunks = 1000;
    std::string ones;
    for (int count = 0; count < kSmallChunks; ++count) {
        ones += chunk(1);
    }
    constexpr std::int64_t kParts = 100;
    for (const CrowdMember &member : crowdOf(small, {start, ones, kParts, "1\r\n"})) {
        members.push_back(member);
    }
    for (const CrowdMember &member : crowdOf(4, {start, ones, kParts, "0\r\n\r\n"})) {
        members.push_back(member);
    }
    return members;
}

/// Bodies far over any limit, announced and just sent.
inline std::vector<CrowdMember> oversizeBodies(const std::string &head)
{
    constexpr std::int64_t kParts = 512; // 32 MB.
    std::vector<CrowdMember> members = crowdOf(
        20,
        {head + "Content-Length: 1000000000\r\n\r\n", std::string(kLargeChunk, 'x'), kParts, ""});
    for (const CrowdMember &member : crowdOf(
             20, {head + "Transfer-Encoding: chunked\r\n\r\n", chunk(kLargeChunk), kParts, ""})) {
        members.push_back(member);
    }
    return members;
}

/// Headers of which a byte comes now and then; who is closed comes back.
inline std::vector<CrowdMember> slowHeaders(const std::string &head, int count)
{
    constexpr std::int64_t kEndless = 1'000'000;
    return crowdOf(count, {head + "X-Slow: ", "x", kEndless, "", milliseconds(100), true, true});
}

/// Pipelined requests whose answers are never read.
inline std::vector<CrowdMember> unreadAnswers(const std::string &head, int count)
{
    constexpr std::int64_t kRequests = 20'000;
    return crowdOf(count, {"", head + "\r\n", kRequests, "", Duration::zero(), false});
}

/// The handshake that nng expects of a requester.
inline std::string peerHandshake()
{
    return {'\0', 'S', 'P', '\0', '\0', '\x30', '\0', '\0'};
}

/// Head of a message with `bytes` bytes, its length and the id of the request.
inline std::string peerMessageHead(std::uint64_t bytes)
{
    constexpr std::uint64_t kIdBytes = 4;
    std::string head;
    for (int shift = 56; shift >= 0; shift -= 8) {
        head += static_cast<char>(((bytes + kIdBytes) >> shift) & 0xff);
    }
    return head + std::string("\x80\0\0\1", kIdBytes);
}

/// Messages of the most that a peer may send, each one byte short.
inline std::vector<CrowdMember> unendedPeerMessages(int count)
{
    constexpr std::uint64_t kBytes = 8 * 1024 * 1024 - 64;
    const std::string part(kLargeChunk, 'x');
    constexpr auto kParts = static_cast<std::int64_t>(kBytes / kLargeChunk);
    constexpr std::size_t kRest = kBytes % kLargeChunk;
    return crowdOf(
        count,
        {peerHandshake() + peerMessageHead(kBytes), part, kParts, std::string(kRest - 1, 'x')});
}

/// One message whose MessagePack arrays lie in each other; `kind`: first byte of the message, a
/// letter.
inline std::vector<CrowdMember> nestedPeerMessages(char kind)
{
    constexpr std::size_t kDepth = 200'000;
    constexpr char kArrayOfOne = '\x91';
    return crowdOf(1,
                   {peerHandshake() + peerMessageHead(kDepth + 1) + kind,
                    std::string(kDepth, kArrayOfOne), 1, ""});
}

} // namespace basilnotch::testing
