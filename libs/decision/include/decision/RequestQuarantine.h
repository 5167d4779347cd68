// Finds requests that crash each upstream that runs them, and refuses them ("rolling death" in the
// high-availability guide that the users named).
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
    int crashesToQuarantine = 2; ///< Distinct upstreams that crashed while running it.
    Duration memory = std::chrono::minutes(10); ///< How long crashes and quarantine are remembered.
    std::size_t maxSuspects = 4096;
};

/// Fingerprints are digests of request bodies. One thread.
class RequestQuarantine
{
public:
    RequestQuarantine(RequestQuarantineOptions options, const Clock &clock);

    /// `upstream` crashed while it ran `fingerprint`. True when that makes it quarantined now.
    bool onCrash(const std::string &fingerprint, std::string_view upstream);
    bool isQuarantined(const std::string &fingerprint);
    /// True when some upstream has crashed while it ran this request.
    bool isSuspect(const std::string &fingerprint) const;

private:
    struct Suspect
    {
        std::set<std::string, std::less<>> upstreams;
        bool quarantined = false;
        TimePoint at;
    };

    void forget();

    const RequestQuarantineOptions options;
    const Clock &clock;
    std::map<std::string, Suspect, std::less<>> suspects; ///< Invariant: size() <= maxSuspects.
};

} // namespace basilnotch
