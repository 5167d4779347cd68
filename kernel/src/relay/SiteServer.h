// The traffic thread of a site with its servers: caller requests, directory, readiness checks and
// metrics.
#pragma once

#include <kernel/Site.h>
#include <telemetry/EventLog.h>
#include <telemetry/Metrics.h>

#include <memory>

namespace basilnotch {

class SiteControl;

/// Thread-safe.
class SiteServer
{
public:
    SiteServer(const SiteSettings &settings, const SiteAdapter &adapter, const Clock &clock,
               EventLog &log, Metrics &metrics, SiteControl &control);
    ~SiteServer();
    SiteServer(const SiteServer &) = delete;
    SiteServer &operator=(const SiteServer &) = delete;

    absl::Status start();
    /// Continues to serve, but closes each connection after its response.
    void closeAfterAnswers();
    void stopAccepting();
    int activeRequests() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace basilnotch
