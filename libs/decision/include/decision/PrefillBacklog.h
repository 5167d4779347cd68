// Prompt work that has been sent to engines and is not known to be read yet, of this instance and,
// as told in notes, of the others. An engine reads prompts one after another between the tokens of
// what it runs, so this is what a new request waits for; the engines' own reports come too late.
//
// Answers the pattern of a herd: instances that each see only their own part of the traffic send
// long prompts to an engine that is busy with those of others. No network, no fibers.
#pragma once

#include <base/Clock.h>
#include <upstreams/UpstreamList.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace basilnotch {

/// What one instance has unread at one engine. Absolute, so that a lost note is made up for by the
/// next one.
struct BacklogUpdate
{
    std::uint32_t instance = 0; ///< Hash of the incarnation of the instance that tells.
    std::uint32_t upstream = 0; ///< PrefillBacklog::keyOf the engine.
    std::uint32_t number = 0;   ///< Grows with each note of the instance.
    Duration work{};            ///< Engine time that its unread prompts take.

    friend bool operator==(const BacklogUpdate &, const BacklogUpdate &) = default;
};

struct PrefillBacklogOptions
{
    /// Changes below this are not told: they move no decision, prompts of weight take longer.
    Duration leastTold = std::chrono::milliseconds(10);
    /// What stands is told again this often, for those who missed it.
    Duration refresh = std::chrono::milliseconds(500);
    /// A note that has not been told again counts for nothing after this: three refreshes.
    Duration memory = std::chrono::milliseconds(1500);
};

/// One thread.
class PrefillBacklog
{
public:
    /// `instance`: hash of this instance's incarnation.
    PrefillBacklog(PrefillBacklogOptions options, std::uint32_t instance, const Clock &clock);

    /// Distinguishes two lives of an engine.
    static std::uint32_t engineKey(const UpstreamRecord &upstream);

    /// This instance has sent a prompt that takes `work` to read.
    void onSent(std::uint32_t upstream, Duration work);
    /// The prompt has been read, or the engine no longer has it.
    void onPrefilled(std::uint32_t upstream, Duration work);
    /// Takes in what another instance tells; true when it was news. Own notes are no news.
    bool applyUpdate(const BacklogUpdate &note);
    /// What has changed here since it was last told, and what is to be told again.
    std::vector<BacklogUpdate> takeUpdates();
    /// Unread work at an engine, of all instances as far as known.
    Duration pendingWork(std::uint32_t upstream) const;
    /// Forgets what has not been told again in time.
    void expire();

private:
    struct Own
    {
        Duration work{};
        Duration told{};
        TimePoint toldAt{};
    };
    struct Foreign
    {
        std::uint32_t instance = 0;
        std::uint32_t number = 0;
        Duration work{}; ///< Zero is kept as well: it outlives older notes that come late.
        TimePoint heardAt;
    };

    bool isDue(const Own &own, TimePoint now) const;

    const PrefillBacklogOptions options;
    const std::uint32_t instance;
    const Clock &clock;
    std::uint32_t lastNumber = 0;
    std::unordered_map<std::uint32_t, Own> own; ///< By engine.
    /// By engine. Invariant: at most one entry for each instance.
    std::unordered_map<std::uint32_t, std::vector<Foreign>> foreign;
};

} // namespace basilnotch
