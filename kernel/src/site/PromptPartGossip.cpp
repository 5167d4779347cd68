// The version of a rumor about a single crash or answer is the length of the part's chain. That of
// a quarantine is twice the length, and one more when the quarantine is lifted, so that each state
// replaces the earlier ones.
#include "PromptPartGossip.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace basilnotch {

namespace {

// Names in the Crash kind; those of requests begin with a hexadecimal digest.
constexpr char kCrashPrefix[] = "part-crash:";
constexpr char kAnswerPrefix[] = "part-answer:";
/// Before the part, when the basis is PromptEvidence::WholeAnswer. No part has a colon. Instances
/// of a release that does not know it take the whole for the name of a part, which no prompt has.
constexpr char kWholeAnswerPrefix[] = "whole:";
constexpr char kOnlySuspect[] = "only suspect"; ///< Payload of a report that is so marked.

std::string partName(const PromptPartReport &report)
{
    const bool isWhole = report.basis == PromptEvidence::WholeAnswer;
    return absl::StrCat(isWhole ? kWholeAnswerPrefix : "", report.part);
}

RumorId chainId(const PromptPartReport &report)
{
    return {RumorKind::Crash,
            absl::StrCat(report.isCleared ? kAnswerPrefix : kCrashPrefix, partName(report))};
}

void setPart(PromptPartReport &report, std::string_view name)
{
    const bool isWhole =
        absl::StartsWith(absl::string_view(name.data(), name.size()), kWholeAnswerPrefix);
    report.basis = isWhole ? PromptEvidence::WholeAnswer : PromptEvidence::Beginning;
    report.part = name.substr(isWhole ? sizeof(kWholeAnswerPrefix) - 1 : 0);
}

PromptPartReport readReport(const Rumor &rumor)
{
    PromptPartReport report;
    report.isOnlySuspect = rumor.payload == kOnlySuspect;
    if (rumor.id.kind == RumorKind::Quarantine) {
        setPart(report, rumor.id.name);
        report.evidence = static_cast<int>(rumor.version / 2);
        report.isCleared = rumor.version % 2 == 1;
        report.isQuarantined = true;
        return report;
    }
    report.isCleared = absl::StartsWith(rumor.id.name, kAnswerPrefix);
    setPart(report,
            std::string_view(rumor.id.name)
                .substr((report.isCleared ? sizeof(kAnswerPrefix) : sizeof(kCrashPrefix)) - 1));
    report.evidence = static_cast<int>(rumor.version);
    return report;
}

} // namespace

PromptPartGossip::PromptPartGossip(Gossip &gossip, const Clock &clock, Duration retention)
    : gossip(gossip)
    , clock(clock)
    , retention(retention)
{ }

bool PromptPartGossip::isPromptPart(const Rumor &rumor)
{
    return absl::StartsWith(rumor.id.name, kCrashPrefix)
        || absl::StartsWith(rumor.id.name, kAnswerPrefix);
}

bool PromptPartGossip::isRelevant(const Rumor &rumor) const
{
    return this->known.contains(rumor.id);
}

bool PromptPartGossip::learn(const Rumor &rumor)
{
    Known &entry = this->known[rumor.id];
    if (rumor.version <= entry.version) {
        return false;
    }
    entry = {rumor.version, this->clock.now()};
    return true;
}

void PromptPartGossip::announce(const PromptPartReport &report)
{
    const auto evidence = static_cast<std::uint64_t>(report.evidence);
    const auto tell = [this](const Rumor &rumor) {
        if (this->learn(rumor)) {
            this->gossip.tell(rumor);
        }
    };
    const std::string payload = report.isOnlySuspect ? kOnlySuspect : "";
    tell({chainId(report), evidence, payload});
    if (report.isQuarantined) {
        const RumorId id{RumorKind::Quarantine, partName(report)};
        const auto found = this->known.find(id);
        std::uint64_t version = 2 * evidence;
        if (found != this->known.end()) {
            // Evidence starts anew after a quarantine, versions do not.
            const std::uint64_t latest = found->second.version;
            version = std::max(version, latest + latest % 2);
        }
        tell({id, version + (report.isCleared ? 1 : 0), payload});
    }
}

bool PromptPartGossip::processRumors(const ReportHandler &handler)
{
    bool isNews = false;
    const auto process = [&](const Rumor &rumor) {
        if (this->learn(rumor)) {
            isNews = true;
            handler(readReport(rumor));
        }
    };
    this->gossip.store().forEach(RumorKind::Quarantine, process);
    this->gossip.store().forEach(RumorKind::Crash, [&](const Rumor &rumor) {
        if (isPromptPart(rumor)) {
            process(rumor);
        }
    });
    return isNews;
}

void PromptPartGossip::expire()
{
    const TimePoint oldest = this->clock.now() - this->retention;
    std::erase_if(this->known, [&](const auto &item) {
        return item.first.kind == RumorKind::Crash && item.second.since < oldest;
    });
    for (auto &[id, entry] : this->known) {
        const bool isActive = id.kind == RumorKind::Quarantine && entry.version % 2 == 0;
        if (isActive && entry.since < oldest) {
            entry = {entry.version + 1, this->clock.now()};
            this->gossip.tell({id, entry.version, ""});
        }
    }
}

} // namespace basilnotch
