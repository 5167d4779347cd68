// The process of an instance that reads its configuration from a platform's store.
#pragma once

#include <settings/SiteSettings.h>

#include <memory>
#include <string>

namespace basilnotch {

/// Owns one control thread and one traffic thread.
///
///     SiteProcess process(settings, "/etc/basilnotch/settings.json");
///     return process.run();   // until SIGTERM or SIGINT, then drains
class SiteProcess
{
public:
    /// The process reloads `settingsFile` when its content changes: it checks once a second and on
    /// SIGHUP.
    SiteProcess(SiteSettings settings, std::string settingsFile);
    ~SiteProcess();
    SiteProcess(const SiteProcess &) = delete;
    SiteProcess &operator=(const SiteProcess &) = delete;

    /// Blocks until the process has drained after SIGTERM or SIGINT. Returns the exit code: 0 after
    /// a clean stop, 1 when the start failed.
    int run();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace basilnotch
