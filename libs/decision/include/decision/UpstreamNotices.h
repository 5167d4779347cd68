// What upstreams say about themselves in their answers. It reaches this instance before their
// registrations change, and holds whatever the registrations say.
#pragma once

#include <base/Clock.h>
#include <upstreams/UpstreamList.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace basilnotch {

/// Not thread-safe.
///
///     notices.onLeaving(upstream);
///     if (!notices.acceptsRequests(upstream)) { ... }
class UpstreamNotices
{
public:
    explicit UpstreamNotices(const Clock &clock)
        : clock(clock)
    { }

    /// The upstream is about to exit. Holds for its current incarnation.
    void onLeaving(const UpstreamRecord &upstream);
    /// The upstream wants no requests from this instance for `pause`; bounded by kMaxPause.
    void onPauseRequested(const UpstreamRecord &upstream, Duration pause);
    bool acceptsRequests(const UpstreamRecord &upstream) const;
    /// Time until the upstream accepts requests again; empty when it does now or never will.
    std::optional<Duration> pauseLeft(const UpstreamRecord &upstream) const;

    static constexpr Duration kMaxPause = std::chrono::minutes(5);

private:
    struct Notice
    {
        std::int64_t bornMs = 0; ///< Incarnation that the notice is about.
        TimePoint until;
        bool isLeaving = false;
    };

    void add(const UpstreamRecord &upstream, Notice notice);
    /// The notice that holds for the upstream now; null when there is none.
    const Notice *find(const UpstreamRecord &upstream) const;

    const Clock &clock;
    std::map<std::string, Notice, std::less<>> notices; ///< By upstream id.
};

} // namespace basilnotch
