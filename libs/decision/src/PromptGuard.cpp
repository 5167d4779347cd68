// Events of an answer refute that its prompt crashes upstreams at the beginning, and say nothing of
// what comes later.
#include <decision/PromptGuard.h>

#include <algorithm>

namespace basilnotch {

namespace {

/// Time for whole answers, here and elsewhere, to clear a part before it is quarantined.
constexpr Duration kWholeAnswerSettleTime = std::chrono::milliseconds(1500);
constexpr Duration kQuietTime = std::chrono::milliseconds(200); ///< Between two moments.
constexpr Duration kMaxMoment = std::chrono::seconds(1);
constexpr int kMaxRequestsPerMoment = 4; ///< Whose answers one crash has broken off here.

} // namespace

PromptGuard::PromptGuard(Duration retention, const Clock &clock)
    : clock(clock)
    , beginning({.retention = retention}, clock)
    , wholeAnswer({.basis = PromptEvidence::WholeAnswer,
                   .settleTime = kWholeAnswerSettleTime,
                   .retention = retention},
                  clock)
{ }

PromptGuard::Chains PromptGuard::chains(std::span<const std::string> parts) const
{
    return {this->beginning.chains(parts), this->wholeAnswer.chains(parts)};
}

bool PromptGuard::isWholeAnswerEvidence(std::string_view upstream)
{
    const TimePoint now = this->clock.now();
    const bool isNewMoment =
        now - this->lastCrashAt >= kQuietTime || now - this->momentBeganAt >= kMaxMoment;
    this->lastCrashAt = now;
    if (isNewMoment) {
        this->momentBeganAt = now;
        this->momentUpstream = upstream;
        this->momentRequests = 0;
    }
    if (upstream != this->momentUpstream || this->momentRequests >= kMaxRequestsPerMoment) {
        return false;
    }
    ++this->momentRequests;
    return true;
}

std::vector<PromptPartReport> PromptGuard::onCrash(std::span<const std::string> parts,
                                                   const Chains &sent, CrashedAt crashedAt,
                                                   std::string_view request,
                                                   std::string_view upstream)
{
    std::vector<PromptPartReport> reports;
    if (crashedAt != CrashedAt::Later) {
        reports = this->beginning.onCrash(parts, sent.beginning, crashedAt == CrashedAt::Beginning);
    }
    if (crashedAt != CrashedAt::Waiting && this->isWholeAnswerEvidence(upstream)) {
        std::vector<PromptPartReport> more =
            this->wholeAnswer.onCrash(parts, sent.wholeAnswer, true, request);
        std::move(more.begin(), more.end(), std::back_inserter(reports));
    }
    return reports;
}

std::vector<PromptPartReport> PromptGuard::onBegun(std::span<const std::string> parts)
{
    return this->beginning.onAnswered(parts);
}

std::vector<PromptPartReport> PromptGuard::onAnswered(std::span<const std::string> parts)
{
    std::vector<PromptPartReport> reports = this->beginning.onAnswered(parts);
    std::vector<PromptPartReport> more = this->wholeAnswer.onAnswered(parts);
    std::move(more.begin(), more.end(), std::back_inserter(reports));
    return reports;
}

void PromptGuard::onReport(const PromptPartReport &report)
{
    (report.basis == PromptEvidence::Beginning ? this->beginning : this->wholeAnswer)
        .onReport(report);
}

std::optional<std::string> PromptGuard::findQuarantined(std::span<const std::string> parts) const
{
    const std::optional<std::string> found = this->beginning.findQuarantined(parts);
    return found ? found : this->wholeAnswer.findQuarantined(parts);
}

std::optional<TimePoint> PromptGuard::latestQuarantine() const
{
    return std::max(this->beginning.latestQuarantine(), this->wholeAnswer.latestQuarantine());
}

} // namespace basilnotch
