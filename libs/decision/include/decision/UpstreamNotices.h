// What upstreams say about themselves in their answers. It reaches this instance before their
// registrations change, and holds whatever the registrations say.
#pragma once

#include <base/Clock.h>
#include <upstreams/UpstreamList.h>

#include <cstdint>
#include <map>
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
    bool acceptsRequests(const UpstreamRecord &upstream) const;

private:
    struct Notice
    {
        std::int64_t bornMs = 0; ///< Incarnation that the notice is about.
        TimePoint until;
    };

    void add(const UpstreamRecord &upstream, TimePoint until);

    const Clock &clock;
    std::map<std::string, Notice, std::less<>> notices; ///< By upstream id.
};

} // namespace basilnotch
