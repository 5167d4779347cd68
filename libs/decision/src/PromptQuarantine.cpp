// Requests that share a crashed upstream with the one that crashed it are answered on another
// upstream, which clears their parts; only the cause of the crashes is never answered.
#include <decision/PromptQuarantine.h>

#include <base/Hash.h>

#include <algorithm>

namespace basilnotch {

std::string_view promptEvidenceName(PromptEvidence basis)
{
    return basis == PromptEvidence::Beginning ? "beginning" : "whole answer";
}

PromptQuarantine::PromptQuarantine(PromptQuarantineOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

bool PromptQuarantine::isExpired(const Suspect &suspect) const
{
    return this->clock.now() - suspect.lastCrashAt >= this->options.retention;
}

bool PromptQuarantine::isQuarantined(const Suspect &suspect) const
{
    return suspect.quarantinedFrom && this->clock.now() >= *suspect.quarantinedFrom
        && !this->isExpired(suspect);
}

bool PromptQuarantine::isTrusted(const std::string &part) const
{
    const auto found = this->answeredAt.find(hash64(part));
    return found != this->answeredAt.end()
        && this->clock.now() - found->second < this->options.trustTime;
}

PromptQuarantine::PromptChains PromptQuarantine::chains(std::span<const std::string> parts) const
{
    PromptChains chains;
    if (this->suspects.empty()) {
        chains.resize(parts.size());
        return chains;
    }
    for (const std::string &part : parts) {
        const auto found = this->suspects.find(part);
        const bool isKnown = found != this->suspects.end() && !this->isExpired(found->second);
        chains.push_back(isKnown ? found->second.evidence : 0);
    }
    return chains;
}

PromptQuarantine::Suspect &PromptQuarantine::suspectFor(const std::string &part)
{
    const auto found = this->suspects.find(part);
    if (found != this->suspects.end() && !this->isExpired(found->second)) {
        return found->second;
    }
    std::erase_if(this->suspects,
                  [this](const auto &item) { return this->isExpired(item.second); });
    if (this->suspects.size() >= this->options.maxParts) {
        this->suspects.erase(std::min_element(
            this->suspects.begin(), this->suspects.end(), [](const auto &left, const auto &right) {
                return left.second.lastCrashAt < right.second.lastCrashAt;
            }));
    }
    return this->suspects[part];
}

void PromptQuarantine::setEvidence(Suspect &suspect, int evidence, bool isOnlySuspect)
{
    suspect.evidence = evidence;
    suspect.lastCrashAt = this->clock.now();
    const bool isEnough = evidence - suspect.cleared >= this->options.evidenceToQuarantine;
    if (isEnough && !suspect.quarantinedFrom) {
        suspect.quarantinedFrom =
            this->clock.now() + (isOnlySuspect ? Duration::zero() : this->options.settleTime);
    }
}

bool PromptQuarantine::isBlamed(std::span<const std::string> parts, std::size_t index) const
{
    if (!this->isTrusted(parts[index])) {
        return true;
    }
    return this->options.basis == PromptEvidence::Beginning
        && std::all_of(parts.begin(), parts.end(),
                       [this](const auto &part) { return this->isTrusted(part); });
}

bool PromptQuarantine::isOnlySuspect(std::span<const std::string> parts, std::size_t index) const
{
    if (this->options.basis == PromptEvidence::Beginning) {
        return !this->isTrusted(parts[index]) && !this->answeredAt.empty();
    }
    const auto trusted = std::count_if(parts.begin(), parts.end(),
                                       [this](const auto &part) { return this->isTrusted(part); });
    return trusted > 0 && static_cast<std::size_t>(trusted) + 1 == parts.size();
}

bool PromptQuarantine::countRequest(Suspect &suspect, std::string_view request) const
{
    if (this->options.basis == PromptEvidence::Beginning) {
        return true;
    }
    const std::uint64_t hash = hash64(request);
    if (std::find(suspect.requests.begin(), suspect.requests.end(), hash)
        != suspect.requests.end()) {
        return false;
    }
    if (suspect.requests.size() >= kMaxRequests) {
        suspect.requests.erase(suspect.requests.begin());
    }
    suspect.requests.push_back(hash);
    return true;
}

std::vector<PromptPartReport> PromptQuarantine::onCrash(std::span<const std::string> parts,
                                                        const PromptChains &sentChains,
                                                        bool hasBegun, std::string_view request)
{
    const int added =
        hasBegun ? this->options.evidenceOfBegunAnswer : this->options.evidenceOfNoAnswer;
    std::vector<PromptPartReport> reports;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        if (!this->isBlamed(parts, index)) {
            continue;
        }
        Suspect &suspect = this->suspectFor(parts[index]);
        if (!this->countRequest(suspect, request)) {
            continue;
        }
        const bool isSameMoment =
            this->clock.now() - suspect.lastCrashAt < this->options.sameMoment;
        const int evidence =
            (isSameMoment ? sentChains[index] : std::max(sentChains[index], suspect.evidence))
            + added;
        if (evidence > suspect.evidence) {
            const bool isOnlySuspect = this->isOnlySuspect(parts, index);
            this->setEvidence(suspect, evidence, isOnlySuspect);
            PromptPartReport report{parts[index], evidence};
            report.isQuarantined = suspect.quarantinedFrom.has_value();
            report.basis = this->options.basis;
            report.isOnlySuspect =
                isOnlySuspect && this->options.basis == PromptEvidence::WholeAnswer;
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

std::vector<PromptPartReport> PromptQuarantine::onAnswered(std::span<const std::string> parts)
{
    const TimePoint now = this->clock.now();
    std::vector<PromptPartReport> reports;
    for (const std::string &part : parts) {
        if (this->answeredAt.size() >= this->options.maxParts) {
            std::erase_if(this->answeredAt, [&](const auto &item) {
                return now - item.second >= this->options.trustTime;
            });
        }
        if (this->answeredAt.size() < this->options.maxParts) {
            this->answeredAt[hash64(part)] = now;
        }
        const auto found = this->suspects.find(part);
        if (found != this->suspects.end() && found->second.cleared < found->second.evidence) {
            Suspect &suspect = found->second;
            reports.push_back({part, suspect.evidence, true, suspect.quarantinedFrom.has_value(),
                               this->options.basis});
            suspect.cleared = suspect.evidence;
            suspect.quarantinedFrom.reset();
        }
    }
    return reports;
}

void PromptQuarantine::onReport(const PromptPartReport &report)
{
    Suspect &suspect = this->suspectFor(report.part);
    if (report.isCleared) {
        suspect.evidence = std::max(suspect.evidence, report.evidence);
        suspect.cleared = std::max(suspect.cleared, report.evidence);
        if (suspect.lastCrashAt == TimePoint{}) {
            suspect.lastCrashAt = this->clock.now(); // From now on it expires.
        }
        if (suspect.evidence - suspect.cleared < this->options.evidenceToQuarantine) {
            suspect.quarantinedFrom.reset();
        }
    } else if (report.evidence > suspect.evidence) {
        const bool isOnlySuspect = this->options.basis == PromptEvidence::Beginning
            ? !this->answeredAt.empty()
            : report.isOnlySuspect;
        this->setEvidence(suspect, report.evidence, isOnlySuspect && !this->isTrusted(report.part));
    }
}

std::optional<std::string>
PromptQuarantine::findQuarantined(std::span<const std::string> parts) const
{
    if (this->suspects.empty()) {
        return std::nullopt;
    }
    for (const std::string &part : parts) {
        const auto found = this->suspects.find(part);
        if (found != this->suspects.end() && this->isQuarantined(found->second)) {
            return part;
        }
    }
    return std::nullopt;
}

std::optional<TimePoint> PromptQuarantine::latestQuarantine() const
{
    std::optional<TimePoint> latest;
    for (const auto &[part, suspect] : this->suspects) {
        if (this->isQuarantined(suspect)) {
            latest = std::max(latest.value_or(TimePoint{}), *suspect.quarantinedFrom);
        }
    }
    return latest;
}

} // namespace basilnotch
