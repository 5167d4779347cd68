// Finds the part of a prompt that crashes every upstream which begins to answer it, so that
// requests with that part are rejected while requests that only share its other parts are served.
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Which answers speak for a part, and so which crashes speak against it.
enum class PromptEvidence {
    Beginning,   ///< Answers that have got beyond their beginning; crashes before that.
    WholeAnswer, ///< Answers that came to their end; crashes at any moment of an answer.
};

/// Name of the basis, for logs.
std::string_view promptEvidenceName(PromptEvidence basis);

struct PromptQuarantineOptions
{
    PromptEvidence basis = PromptEvidence::Beginning;
    int evidenceToQuarantine = 6;  ///< Sum over the chain of crashes; see PromptQuarantine.
    int evidenceOfBegunAnswer = 2; ///< Of a crash after the upstream had begun its answer.
    int evidenceOfNoAnswer = 1;    ///< Of a crash while the request may still have been waiting.
    Duration sameMoment =
        std::chrono::milliseconds(200); ///< Crashes this close may have one cause.
    /// Time for answers elsewhere to clear a part before it is quarantined, unless this instance
    /// knows other parts to be sound and not this one.
    Duration settleTime = std::chrono::milliseconds(500);
    Duration retention = std::chrono::minutes(2); ///< Of crashes and quarantine.
    /// A part that was answered this recently is not blamed beside one that was not.
    Duration trustTime = std::chrono::seconds(30);
    std::size_t maxParts = 4096; ///< Of suspected and of trusted parts each.
};

/// What an instance knows of one part, as it tells the others. Later reports have greater values.
struct PromptPartReport
{
    std::string part;
    int evidence = 0;           ///< Sum over the longest chain of crashes.
    bool isCleared = false;     ///< A request with the part was answered after that chain.
    bool isQuarantined = false; ///< The evidence is enough for quarantine.
    PromptEvidence basis = PromptEvidence::Beginning;
    /// Nothing else can be the cause; for PromptEvidence::WholeAnswer only.
    bool isOnlySuspect = false;
};

/// A crash extends the chain of a part if it comes some time after the chain's previous crash, or
/// if the request was sent after that one was known here. Crashes at the same moment, whatever
/// their number, thus count as one: a host that fails with many upstreams is little evidence
/// against the prompts that they ran. An answer to a request with the part ends the chain.
///
/// With PromptEvidence::WholeAnswer, sound answers are broken off, too, wherever an upstream
/// crashes. Three more rules keep them from counting against their parts: a request counts once,
/// with all its repeats; a part that was answered recently is never blamed; and a part is
/// quarantined at once only if all other parts of the request were answered recently, so that it is
/// the only suspect.
///
/// Parts are given without the last one of a prompt, which no other request has. Not thread-safe.
///
///     const PromptChains chains = quarantine.chains(parts); // When the request is sent.
///     for (const PromptPartReport &report : quarantine.onCrash(parts, chains, hasBegun)) { ... }
class PromptQuarantine
{
public:
    /// Evidence against each part when a request was sent.
    using PromptChains = std::vector<int>;

    PromptQuarantine(PromptQuarantineOptions options, const Clock &clock);

    PromptChains chains(std::span<const std::string> parts) const;
    /// An upstream crashed before it had answered a request that was sent at `sentChains`;
    /// `hasBegun`: its answer had begun; `request`: the same for repeats of one request, only for
    /// PromptEvidence::WholeAnswer. Returns what has changed, for the other instances.
    std::vector<PromptPartReport> onCrash(std::span<const std::string> parts,
                                          const PromptChains &sentChains, bool hasBegun,
                                          std::string_view request = {});
    /// A request was answered as far as the basis asks. Returns what has changed, for the other
    /// instances.
    std::vector<PromptPartReport> onAnswered(std::span<const std::string> parts);
    /// Another instance's report.
    void onReport(const PromptPartReport &report);
    /// The first quarantined part of a prompt; empty when there is none.
    std::optional<std::string> findQuarantined(std::span<const std::string> parts) const;
    /// When the latest quarantine that holds now began; empty when there is none.
    std::optional<TimePoint> latestQuarantine() const;

private:
    struct Suspect
    {
        int evidence = 0; ///< Only grows.
        int cleared = 0;  ///< Value of `evidence` when the part was last cleared.
        TimePoint lastCrashAt;
        std::optional<TimePoint> quarantinedFrom; ///< Set once the evidence is enough.
        /// Hashes of the requests that have counted; for PromptEvidence::WholeAnswer only.
        /// Invariant: size() <= kMaxRequests.
        std::vector<std::uint64_t> requests;
    };
    static constexpr std::size_t kMaxRequests = 64;

    bool isTrusted(const std::string &part) const;
    bool isExpired(const Suspect &suspect) const;
    bool isQuarantined(const Suspect &suspect) const;
    /// The suspect for `part`, without evidence if it was unknown or expired.
    Suspect &suspectFor(const std::string &part);
    /// `isOnlySuspect`: no other part can be the cause, so that the quarantine begins at once.
    void setEvidence(Suspect &suspect, int evidence, bool isOnlySuspect);
    /// Whether the crash of a request with `parts` is evidence against the part at `index`.
    bool isBlamed(std::span<const std::string> parts, std::size_t index) const;
    bool isOnlySuspect(std::span<const std::string> parts, std::size_t index) const;
    /// Whether `request` has not counted against `suspect` before; notes that it has now.
    bool countRequest(Suspect &suspect, std::string_view request) const;

    const PromptQuarantineOptions options;
    const Clock &clock;
    std::map<std::string, Suspect, std::less<>> suspects; ///< Invariant: size() <= maxParts.
    std::map<std::uint64_t, TimePoint> answeredAt; ///< By hash of the part; size() <= maxParts.
};

} // namespace basilnotch
