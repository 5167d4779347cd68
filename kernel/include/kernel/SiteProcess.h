// The whole process of an instance that takes its work from a platform's store.
#pragma once

#include <settings/SiteSettings.h>

#include <memory>
#include <string>

namespace basilnotch {

/// One control thread and one traffic thread.
///
///     SiteProcess process(settings, "/etc/basilnotch/settings.json");
///     return process.run();   // until SIGTERM or SIGINT, then drains
class SiteProcess
{
public:
    /// `settingsFile` is read again on SIGHUP and when it has changed.
    SiteProcess(SiteSettings settings, std::string settingsFile);
    ~SiteProcess();
    SiteProcess(const SiteProcess &) = delete;
    SiteProcess &operator=(const SiteProcess &) = delete;

    /// Blocks until a planned stop has ended. 0 after a clean stop, 1 when it could not start.
    int run();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace basilnotch
