// The row's life: (absent | released) -> claimed -> (released | done). Every step is one
// compare-and-set that names the version it replaces, so a paused holder can't undo a later step.
#include <claims/ClaimKeeper.h>

#include <base/Hash.h>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace basilnotch {

namespace {

constexpr std::size_t kAttemptBytes = 8;
constexpr int kReadTries = 2;

/// A claim row in typed form.
struct ClaimRow
{
    std::string state; ///< claimed, released or done.
    std::string attempt;
    std::string digest;
    std::string holder;
    RecordedAnswer answer;
};

std::string encode(const ClaimRow &row)
{
    return nlohmann::json{{"state", row.state},          {"attempt", row.attempt},
                          {"digest", row.digest},        {"holder", row.holder},
                          {"status", row.answer.status}, {"contentType", row.answer.contentType},
                          {"body", row.answer.body}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ClaimRow decode(const std::string &text)
{
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    try {
        ClaimRow row;
        row.state = object.value("state", "claimed");
        row.attempt = object.value("attempt", "");
        row.digest = object.value("digest", "");
        row.holder = object.value("holder", "");
        row.answer = {object.value("status", 0), object.value("contentType", ""),
                      object.value("body", "")};
        return row;
    } catch (const nlohmann::json::exception &) {
        return {.state = "claimed"}; // Unreadable: nobody may run it.
    }
}

ClaimRow claimedRow(const ClaimTicket &ticket)
{
    return {"claimed", ticket.attempt, ticket.digest, ticket.holder, {}};
}

} // namespace

ClaimKeeper::ClaimKeeper(TableService &table)
    : table(table)
{ }

ClaimDecision ClaimKeeper::acquire(const ClaimRequest &request)
{
    ClaimTicket ticket;
    ticket.rowKey = absl::StrCat("claim/", request.workspace, "/", request.key);
    ticket.attempt = randomHex(kAttemptBytes);
    ticket.digest = request.digest;
    ticket.holder = request.holder;
    const auto written = this->table.writeOne({ticket.rowKey, encode(claimedRow(ticket)), 0});
    if (!written.ok()) {
        return this->resolveLostAnswer(ticket, written.status());
    }
    return this->judge(ticket, written->row);
}

ClaimDecision ClaimKeeper::judge(const ClaimTicket &ticket, const TableRow &row)
{
    const ClaimRow found = decode(row.value);
    ClaimDecision decision;
    decision.ticket = ticket;
    decision.ticket.version = row.version;
    decision.holder = found.holder;
    decision.answer = found.answer;
    if (found.attempt == ticket.attempt && found.state == "claimed") {
        decision.verdict = ClaimVerdict::Acquired;
    } else if (found.digest != ticket.digest) {
        decision.verdict = ClaimVerdict::BodyMismatch;
    } else if (found.state == "done") {
        decision.verdict = ClaimVerdict::Replay;
    } else if (found.state == "released") {
        const auto taken =
            this->table.writeOne({ticket.rowKey, encode(claimedRow(ticket)), row.version});
        if (!taken.ok()) {
            return this->resolveLostAnswer(ticket, taken.status());
        }
        if (!taken->applied) {
            decision.verdict = ClaimVerdict::InDoubt; // Another attempt was faster.
            return decision;
        }
        decision.ticket.version = taken->row.version;
        decision.verdict = ClaimVerdict::Acquired;
    } else {
        decision.verdict = ClaimVerdict::InDoubt;
    }
    return decision;
}

ClaimDecision ClaimKeeper::resolveLostAnswer(const ClaimTicket &ticket, const absl::Status &cause)
{
    for (int attempt = 0; attempt < kReadTries; ++attempt) {
        const auto row = this->table.read(ticket.rowKey);
        if (row.ok()) {
            const ClaimRow found = decode(row->value);
            if (found.attempt == ticket.attempt) {
                return this->judge(ticket, *row);
            }
            if (found.state != "released") {
                return this->judge(ticket, *row);
            }
            break; // The write may still be on its way: this attempt must not go on.
        }
        if (absl::IsNotFound(row.status())) {
            break; // As above.
        }
    }
    ClaimDecision decision;
    decision.verdict = ClaimVerdict::Unavailable;
    decision.ticket = ticket;
    decision.status = cause;
    return decision;
}

absl::Status ClaimKeeper::replace(const ClaimTicket &ticket, const std::string &value)
{
    std::uint64_t version = ticket.version;
    if (version == 0) {
        // The write of the claim got no answer and may still be on its way. Changing the row that
        // it expects, even from absent to released, makes sure that it can't take effect later.
        const auto row = this->table.read(ticket.rowKey);
        if (!row.ok() && !absl::IsNotFound(row.status())) {
            return row.status();
        }
        if (row.ok()) {
            const ClaimRow found = decode(row->value);
            if (found.attempt != ticket.attempt && found.state != "released") {
                return absl::OkStatus(); // Another attempt replaced the row: ours can't take
                                         // effect.
            }
            version = row->version;
        }
    }
    const auto written = this->table.writeOne({ticket.rowKey, value, version});
    if (!written.ok()) {
        return written.status();
    }
    if (!written->applied && written->row.value != value) {
        return failure(absl::StatusCode::kAborted, "replace claim", "table",
                       "the claim is not ours any more");
    }
    return absl::OkStatus();
}

absl::Status ClaimKeeper::release(const ClaimTicket &ticket)
{
    ClaimRow row = claimedRow(ticket);
    row.state = "released";
    return this->replace(ticket, encode(row));
}

absl::Status ClaimKeeper::finish(const ClaimTicket &ticket, const RecordedAnswer &answer)
{
    ClaimRow row = claimedRow(ticket);
    row.state = "done";
    row.answer = answer;
    return this->replace(ticket, encode(row));
}

} // namespace basilnotch
