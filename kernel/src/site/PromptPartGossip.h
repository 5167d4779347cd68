// Distributes what instances know of prompt parts that crash upstreams. Single crashes and answers
// spread as rumors that are soon forgotten; a quarantine is repaired, so that instances which start
// or were cut off learn of it.
#pragma once

#include <decision/PromptQuarantine.h>
#include <membership/Gossip.h>

#include <functional>
#include <map>
#include <string>

namespace basilnotch {

/// Control thread only.
class PromptPartGossip
{
public:
    using ReportHandler = std::function<void(const PromptPartReport &report)>;

    /// `retention`: of crashes and of a quarantine.
    PromptPartGossip(Gossip &gossip, const Clock &clock, Duration retention);

    /// Tells the other instances what this one has found.
    void announce(const PromptPartReport &report);
    /// Calls `handler` for each report of another instance that is news. Returns whether there was
    /// one.
    bool processRumors(const ReportHandler &handler);
    /// Forgets old reports and lifts quarantines whose retention is over.
    void expire();
    /// Whether `rumor`, of kind Crash, is about a prompt part.
    static bool isPromptPart(const Rumor &rumor);
    /// Whether a rumor of kind Crash about a prompt part is still needed.
    bool isRelevant(const Rumor &rumor) const;

private:
    struct Known
    {
        std::uint64_t version = 0;
        TimePoint since; ///< When the version became known here.
    };

    /// Records a rumor; returns false when it is not news.
    bool learn(const Rumor &rumor);

    Gossip &gossip;
    const Clock &clock;
    const Duration retention;
    std::map<RumorId, Known> known;
};

} // namespace basilnotch
