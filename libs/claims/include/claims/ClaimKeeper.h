// At most one run of a call that must not be repeated. A claim row stands in the table before the
// first byte goes upstream, and once it may have run nobody takes it over.
#pragma once

#include <base/Failure.h>
#include <platform/TableService.h>

#include <string>
#include <string_view>

namespace basilnotch {

/// What a request asks to run once.
struct ClaimRequest
{
    std::string workspace;
    std::string key;    ///< The caller's Idempotency-Key.
    std::string digest; ///< Of the request's target and body.
    std::string holder; ///< Incarnation of the instance that asks.
};

/// An answer kept for those who repeat a finished request.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class ClaimVerdict {
    Acquired,     ///< Run it: nobody else has or will.
    Replay,       ///< It ran; `answer` is its answer.
    InDoubt,      ///< Somebody holds it or died holding it: it may have run.
    BodyMismatch, ///< The key was used for another request.
    Unavailable,  ///< The table gives no answer: nothing was run for this attempt.
};

/// Proof of a claim that is held.
struct ClaimTicket
{
    std::string rowKey;
    std::string attempt;
    std::string digest;
    std::string holder;
    std::uint64_t version = 0; ///< Of the row that we wrote.
};

struct ClaimDecision
{
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    ClaimTicket ticket;    ///< When acquired; when unavailable, what may still have to be released.
    RecordedAnswer answer; ///< When replayed.
    std::string holder;    ///< When in doubt: who holds it.
    absl::Status status;   ///< When unavailable: why.
};

/// Blocks the calling fiber; holds no state, so any number of them may share a table.
///
///     ClaimKeeper keeper(table);
///     const ClaimDecision decision = keeper.acquire(request);
///     if (decision.verdict == ClaimVerdict::Acquired) { run(); keeper.finish(decision.ticket,
///     answer); }
class ClaimKeeper
{
public:
    explicit ClaimKeeper(TableService &table);

    ClaimDecision acquire(const ClaimRequest &request);
    /// Gives the claim back. Only when no byte of the request was sent to any upstream.
    absl::Status release(const ClaimTicket &ticket);
    /// Records the answer. May be repeated until it is OK.
    absl::Status finish(const ClaimTicket &ticket, const RecordedAnswer &answer);

private:
    struct Outcome;

    ClaimDecision judge(const ClaimTicket &ticket, const TableRow &row);
    ClaimDecision resolveLostAnswer(const ClaimTicket &ticket, const absl::Status &cause);
    absl::Status replace(const ClaimTicket &ticket, const std::string &value);

    TableService &table;
};

} // namespace basilnotch
