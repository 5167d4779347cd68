// Keeps prompts from upstreams that they crash, whether these crash as they begin to answer or
// after some of the answer has been sent.
#pragma once

#include <decision/PromptQuarantine.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// One quarantine for each basis of evidence. A part that crashes upstreams at the beginning is
/// found by the first after three crashes; one that does so later by the second after three
/// requests. Not thread-safe.
class PromptGuard
{
public:
    /// Evidence against each part when a request was sent.
    struct Chains
    {
        PromptQuarantine::PromptChains beginning;
        PromptQuarantine::PromptChains wholeAnswer;
    };
    /// How far the answer had come when its upstream crashed.
    enum class CrashedAt {
        Waiting,   ///< The request may not have been running.
        Beginning, ///< The answer had begun.
        Later,     ///< The answer had got beyond its beginning.
    };

    PromptGuard(Duration retention, const Clock &clock);

    Chains chains(std::span<const std::string> parts) const;
    /// `request`: the same for repeats of one request. Returns what has changed, for the other
    /// instances.
    std::vector<PromptPartReport> onCrash(std::span<const std::string> parts, const Chains &sent,
                                          CrashedAt crashedAt, std::string_view request,
                                          std::string_view upstream);
    /// An answer has got beyond its beginning.
    std::vector<PromptPartReport> onBegun(std::span<const std::string> parts);
    /// One upstream has given a whole answer, not just the rest of one.
    std::vector<PromptPartReport> onAnswered(std::span<const std::string> parts);
    /// Another instance's report.
    void onReport(const PromptPartReport &report);
    /// The first quarantined part of a prompt; empty when there is none.
    std::optional<std::string> findQuarantined(std::span<const std::string> parts) const;
    /// When the latest quarantine that holds now began; empty when there is none.
    std::optional<TimePoint> latestQuarantine() const;

private:
    /// Whether a crash of `upstream` may be due to a prompt. Upstreams that crash together break
    /// off too many answers to report the parts of all.
    bool isWholeAnswerEvidence(std::string_view upstream);

    const Clock &clock;
    PromptQuarantine beginning;
    PromptQuarantine wholeAnswer;
    TimePoint lastCrashAt{};
    TimePoint momentBeganAt{};  ///< Of the crash that began the present moment.
    std::string momentUpstream; ///< Which crashed then; others count from the next moment on.
    int momentRequests = 0;     ///< Invariant: at most kMaxRequestsPerMoment.
};

} // namespace basilnotch
