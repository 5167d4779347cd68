// The row rules/head contains the whole current file, so that one compare-and-set both orders edits
// and makes the text durable. Earlier files remain in rules/version/N for diffs.
#include "RulesStore.h"

#include <base/Hash.h>
#include <rules/RulesDiff.h>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace basilnotch {

namespace {

constexpr char kHeadKey[] = "rules/head";

std::string versionKey(std::uint64_t version)
{
    return absl::StrCat("rules/version/", version);
}

/// Derives an id from the base and content of an edit, so that a retry is recognized.
std::string computeEditId(std::string_view text, std::uint64_t base)
{
    return digestHex(absl::StrCat(base, "\n", std::string(text)));
}

} // namespace

std::string encodeRulesFile(const RulesFile &file)
{
    return nlohmann::json{{"version", file.version}, {"editId", file.editId}, {"text", file.text}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<RulesFile> decodeRulesFile(std::string_view text)
{
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    const bool ok = object.is_object() && object.contains("version")
        && object["version"].is_number_unsigned() && object.contains("text")
        && object["text"].is_string();
    if (!ok) {
        return failure(absl::StatusCode::kDataLoss, "read rules", "table", "malformed row");
    }
    return RulesFile{object["version"], object.value("editId", ""), object["text"]};
}

RulesStore::RulesStore(TableService &table)
    : table(table)
{ }

bool RulesStore::adopt(const RulesFile &file)
{
    if (this->parsedRules && file.version <= this->currentFile.version) {
        return false;
    }
    ParsedRules read = parseRules(file.text);
    if (!read.ok()) {
        return false; // Accepted by another release; the current rules stay in force.
    }
    read.rules.version = file.version;
    this->currentFile = file;
    this->parsedRules = std::make_shared<const Rules>(std::move(read.rules));
    return true;
}

absl::Status RulesStore::refresh()
{
    const auto row = this->table.read(kHeadKey);
    if (absl::IsNotFound(row.status())) {
        if (!this->parsedRules) {
            this->adopt(RulesFile{});
        }
        return absl::OkStatus();
    }
    if (!row.ok()) {
        return row.status();
    }
    const auto file = decodeRulesFile(row->value);
    if (!file.ok()) {
        return file.status();
    }
    this->adopt(*file);
    return absl::OkStatus();
}

absl::StatusOr<RulesFile> RulesStore::readVersion(std::uint64_t number)
{
    if (number == this->currentFile.version && this->parsedRules) {
        return this->currentFile;
    }
    const auto row = this->table.read(versionKey(number));
    if (!row.ok()) {
        return row.status();
    }
    return decodeRulesFile(row->value);
}

ApplyResult RulesStore::conflictResult(std::uint64_t base, const RulesFile &head)
{
    ApplyResult result;
    result.outcome = ApplyOutcome::Conflict;
    result.version = head.version;
    const auto edited = this->readVersion(base);
    result.changes = diffLines(edited.ok() ? edited->text : "", head.text);
    return result;
}

ApplyResult RulesStore::apply(std::string_view text, std::uint64_t base)
{
    ApplyResult result;
    result.faults = parseRules(text).faults;
    if (!result.faults.empty()) {
        result.outcome = ApplyOutcome::Invalid;
        result.version = this->currentFile.version;
        return result;
    }
    const auto row = this->table.read(kHeadKey);
    if (!row.ok() && !absl::IsNotFound(row.status())) {
        result.status = row.status();
        return result;
    }
    RulesFile head;
    if (row.ok()) {
        const auto decoded = decodeRulesFile(row->value);
        if (!decoded.ok()) {
            result.status = decoded.status();
            return result;
        }
        head = *decoded;
    }
    const RulesFile next{base + 1, computeEditId(text, base), std::string(text)};
    if (head.version == next.version && head.editId == next.editId) {
        this->adopt(head);
        result.outcome = ApplyOutcome::AlreadyStored;
        result.version = head.version;
        return result;
    }
    if (head.version != base) {
        return this->conflictResult(base, head);
    }
    const std::uint64_t expected = row.ok() ? row->version : 0;
    const auto written = this->table.writeOne({kHeadKey, encodeRulesFile(next), expected});
    if (!written.ok()) {
        result.status = written.status();
        return result;
    }
    if (!written->applied) {
        const auto winner = decodeRulesFile(written->row.value);
        if (winner.ok() && winner->editId == next.editId) {
            this->adopt(*winner);
            result.outcome = ApplyOutcome::AlreadyStored;
            result.version = winner->version;
            return result;
        }
        return this->conflictResult(base, winner.ok() ? *winner : head);
    }
    // The history serves only diffs, so a failed write is ignored.
    (void)this->table.writeOne({versionKey(next.version), encodeRulesFile(next), 0});
    this->adopt(next);
    result.outcome = ApplyOutcome::Stored;
    result.version = next.version;
    return result;
}

} // namespace basilnotch
