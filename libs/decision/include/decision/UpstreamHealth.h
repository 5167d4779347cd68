// What an instance believes of one upstream's health, from its own traffic only: no probes. Finds
// upstreams that crashed, that fall silent and that fail a part of their requests although they
// call themselves ready.
#pragma once

#include <base/Clock.h>

namespace basilnotch {

struct HealthOptions
{
    Duration firstPause = std::chrono::milliseconds(400); ///< After a first failed connection.
    Duration longestPause = std::chrono::seconds(4);      ///< Each pause doubles up to this.
    double weight = 0.2;      ///< Of the newest result in the failure share.
    double ejectShare = 0.45; ///< Of failures among recent results, beyond which it is paused.
    int ejectResults = 4;     ///< Results that must be known before a share counts.
};

enum class AttemptResult {
    Good,          ///< A complete answer that is not a failure of the upstream's own.
    Failed,        ///< A failure of its own, a cut or an unreadable answer.
    ConnectFailed, ///< The connection could not be made.
    TimedOut,      ///< Nothing came in time.
};

/// One thread.
class UpstreamHealth
{
public:
    UpstreamHealth(HealthOptions options, const Clock &clock);

    /// Returns true when the result has paused the upstream.
    bool onResult(AttemptResult result);
    /// No new work but a trial.
    bool isPaused() const;
    /// The pause is over and no request has gone well since: one request at a time may try it.
    bool isOnTrial() const;
    double failureShare() const { return this->failures; }

private:
    void pause();

    HealthOptions options;
    const Clock *clock;  ///< A pointer, so that states can be kept in containers.
    double failures = 0; ///< Moving share, between 0 and 1.
    int results = 0;
    Duration nextPause;
    TimePoint pausedUntil{};
    bool onTrial = false;
};

} // namespace basilnotch
