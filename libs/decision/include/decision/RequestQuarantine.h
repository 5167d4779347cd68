// Detects requests that crash every upstream they run on, so that they can be refused ("rolling
// death" in the high-availability guide that the users named).
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace basilnotch {

struct RequestQuarantineOptions
{
    int crashesToQuarantine = 2;                   ///< Distinct upstreams that crashed.
    Duration retention = std::chrono::minutes(10); ///< Of crashes and quarantine.
    std::size_t maxSuspects = 4096;
};

/// Fingerprints are digests of request bodies. Not thread-safe.
class RequestQuarantine
{
public:
    RequestQuarantine(RequestQuarantineOptions options, const Clock &clock);

    /// Records that `upstream` crashed while it ran `fingerprint`. Returns true if this crash puts
    /// the request into quarantine.
    bool onCrash(const std::string &fingerprint, std::string_view upstream);
    bool isQuarantined(const std::string &fingerprint);
    /// Whether an upstream has crashed while it ran this request.
    bool isSuspect(const std::string &fingerprint) const;

private:
    struct Suspect
    {
        std::set<std::string, std::less<>> upstreams;
        bool quarantined = false;
        TimePoint lastCrashAt;
    };

    void evictOldSuspects();

    const RequestQuarantineOptions options;
    const Clock &clock;
    std::map<std::string, Suspect, std::less<>> suspects; ///< Invariant: size() <= maxSuspects.
};

} // namespace basilnotch
