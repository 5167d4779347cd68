// Tracks prefill work that has been sent to engines and is not known to be complete: that of this
// instance, and that of the others as their updates report it. An engine prefills prompts one after
// another between decode steps, so a new request waits for this backlog. The engines' own load
// reports arrive too late to show it.
//
// Prevents a thundering herd: without updates, instances that each see only their own part of the
// traffic send long prompts to an engine that is busy with those of others. No network, no fibers.
#pragma once

#include <base/Clock.h>
#include <upstreams/UpstreamList.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace basilnotch {

/// Pending prefill work of one instance at one engine. Absolute, so that the next update makes up
/// for a lost one.
struct BacklogUpdate
{
    std::uint32_t instance = 0; ///< Hash of the sending instance's incarnation.
    std::uint32_t upstream = 0; ///< PrefillBacklog::engineKey of the engine.
    std::uint32_t number = 0;   ///< Sequence number, increasing per instance.
    Duration work{};            ///< Engine time of the pending prefills.

    friend bool operator==(const BacklogUpdate &, const BacklogUpdate &) = default;
};

struct PrefillBacklogOptions
{
    /// Smaller changes aren't reported, as they alter no routing decision: prompts that matter take
    /// longer.
    Duration minReportedChange = std::chrono::milliseconds(10);
    /// Unchanged work is reported again at this interval, for instances that missed an update.
    Duration refreshInterval = std::chrono::milliseconds(500);
    /// Work of another instance expires this long after its last update: three refresh intervals.
    Duration remoteTimeout = std::chrono::milliseconds(1500);
};

/// Not thread-safe.
class PrefillBacklog
{
public:
    /// `instance`: hash of this instance's incarnation.
    PrefillBacklog(PrefillBacklogOptions options, std::uint32_t instance, const Clock &clock);

    const Clock &usedClock() const { return this->clock; }
    std::uint32_t ownInstance() const { return this->instance; }
    /// Key of an engine; differs after a restart of the engine.
    static std::uint32_t engineKey(const UpstreamRecord &upstream);

    /// This instance has sent a prompt whose prefill takes `work`.
    void onSent(std::uint32_t upstream, Duration work);
    /// The prefill is complete, or the engine no longer has the request.
    void onPrefilled(std::uint32_t upstream, Duration work);
    /// Applies an update of another instance. Returns false for this instance's own updates and for
    /// those that are not newer than the last one applied.
    bool applyUpdate(const BacklogUpdate &update);
    /// Updates that are due: changed work, and unchanged work after each refresh interval. Marks
    /// them as reported.
    std::vector<BacklogUpdate> takeUpdates();
    /// Pending prefill work at an engine, of all instances as far as known.
    Duration pendingWork(std::uint32_t upstream) const;
    /// Removes work of other instances whose last update has expired.
    void expire();

private:
    struct LocalWork
    {
        Duration work{};
        Duration reportedWork{};
        TimePoint reportedAt{};
    };
    struct RemoteWork
    {
        std::uint32_t instance = 0;
        std::uint32_t number = 0;
        Duration work{}; ///< Zero is kept, so that late older updates are rejected.
        TimePoint receivedAt;
    };

    bool isReportDue(const LocalWork &local, TimePoint now) const;

    const PrefillBacklogOptions options;
    const std::uint32_t instance;
    const Clock &clock;
    std::uint32_t lastNumber = 0;
    std::unordered_map<std::uint32_t, LocalWork> local; ///< By engine.
    /// By engine. Invariant: at most one entry for each instance.
    std::unordered_map<std::uint32_t, std::vector<RemoteWork>> remote;
};

} // namespace basilnotch
