// Passive health check of one upstream, based only on this instance's traffic: no active probes.
// Detects upstreams that have crashed, that stop responding, or that fail some of their requests
// although they report themselves ready.
#pragma once

#include <base/Clock.h>

namespace basilnotch {

struct HealthOptions
{
    Duration initialPause = std::chrono::milliseconds(400); ///< The first pause.
    Duration maxPause = std::chrono::seconds(4);            ///< Pauses double up to this.
    double smoothing = 0.2;          ///< Weight of the newest result in the failure ratio.
    double ejectionThreshold = 0.45; ///< Failure ratio above which it is paused.
    int minResults = 4;              ///< Required before the failure ratio is used.
};

enum class AttemptResult {
    Good,          ///< A complete response without a failure of the upstream itself.
    Failed,        ///< A failure of its own, a broken connection or a malformed response.
    ConnectFailed, ///< The connection could not be established.
    TimedOut,      ///< No data arrived in time.
};

/// Not thread-safe.
class UpstreamHealth
{
public:
    UpstreamHealth(HealthOptions options, const Clock &clock);

    /// Returns true if the result has paused the upstream.
    bool onResult(AttemptResult result);
    /// Whether the upstream should get no requests because of recent failures.
    bool isPaused() const;
    /// Whether the pause has ended without a successful request since. The upstream then gets one
    /// request at a time as a probe.
    bool isProbing() const;
    double smoothedFailureRatio() const { return this->failureRatio; }

private:
    void pause();

    HealthOptions options;
    const Clock *clock;      ///< A pointer, so that states can be stored in containers.
    double failureRatio = 0; ///< Moving average between 0 and 1.
    int results = 0;
    Duration nextPause;
    TimePoint pausedUntil{};
    bool probing = false;
};

} // namespace basilnotch
