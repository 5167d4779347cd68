// Start, watch for signals and changed settings, stop without cutting a request.
#include <kernel/SiteProcess.h>

#include "SiteControl.h"

#include "relay/SiteServer.h"

#include <base/Hash.h>

#include <csignal>
#include <ctime>
#include <fstream>
#include <sstream>
#include <thread>

namespace basilnotch {

namespace {

constexpr Duration kSettingsCheck = seconds(1); // Settings may change without a signal.
constexpr Duration kDrainPoll = milliseconds(100);
/// Callers may have asked for addresses just before and keep an answer for up to three times its
/// TTL. What comes later than this could not be finished before the kill.
constexpr Duration kServeOn = milliseconds(2500);
/// For answers that are given at the very end, and to end before the kill.
constexpr Duration kKillReserve = milliseconds(500);
constexpr Duration kAnswerReserve = milliseconds(200); ///< The part of it for the answers.
constexpr int kQuietPolls = 3; // The count of requests is told with a delay.

sigset_t watchedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/// Content of `path`; empty when it cannot be read.
std::string readWhole(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

} // namespace

struct SiteProcess::Impl
{
    Impl(SiteSettings given, std::string file)
        : settings(std::move(given))
        , settingsFile(std::move(file))
        , settingsText(readWhole(this->settingsFile))
        , log(this->output, this->clock, this->settings.instance)
    { }

    absl::Status start()
    {
        this->adapter =
            SiteAdapterRegistry::instance().make(this->settings.adapter, {this->settings.store});
        if (!this->adapter) {
            return failure(absl::StatusCode::kInvalidArgument, "make adapter",
                           this->settings.adapter, "no such adapter");
        }
        this->control = std::make_unique<SiteControl>(this->settings, *this->adapter, this->clock,
                                                      this->log, this->metrics);
        this->traffic = std::make_unique<SiteServer>(this->settings, *this->adapter, this->clock,
                                                     this->log, this->metrics, *this->control);
        const absl::Status started = this->traffic->start();
        return started.ok() ? this->control->start() : started;
    }

    void reloadIfChanged(bool asked)
    {
        std::string text = readWhole(this->settingsFile);
        if (text == this->settingsText || text.empty()) {
            if (asked) {
                this->log.write(LogKind::State, "reload", {{"changed", false}});
            }
            return;
        }
        ParsedSiteSettings parsed = parseSiteSettings(text);
        this->settingsText = std::move(text);
        if (!parsed.ok()) {
            this->log.write(
                LogKind::State, "settings refused",
                {{"path", parsed.faults.front().path}, {"why", parsed.faults.front().text}});
            return;
        }
        this->log.write(LogKind::State, "reload", {{"changed", true}, {"asked", asked}});
        this->control->applySettings(std::move(parsed.settings));
    }

    /// Goes on while nobody else takes work.
    void serveAsLastResort(TimePoint until)
    {
        if (this->control->view()->isLastResort) {
            this->log.write(LogKind::State, "last resort",
                            {{"leftMs", wholeMillis(until - this->clock.now())}});
        }
        while (this->control->view()->isLastResort && this->clock.now() < until) {
            std::this_thread::sleep_for(kDrainPoll);
        }
    }

    void drain()
    {
        const TimePoint deadline =
            this->clock.now() + this->settings.bounds.stopGrace - kKillReserve;
        const Duration serveOn = std::min(kServeOn, deadline - this->clock.now());
        this->control->leave(
            {.streamsAcceptedUntil = this->clock.now() + serveOn, .exitsAt = deadline});
        this->traffic->closeAfterAnswers();
        const auto sleepUntilQuiet = [&](TimePoint until) {
            int quiet = 0;
            while (this->clock.now() < until && quiet < kQuietPolls) {
                std::this_thread::sleep_for(kDrainPoll);
                quiet = this->traffic->activeRequests() == 0 ? quiet + 1 : 0;
            }
        };
        std::this_thread::sleep_for(serveOn);
        this->serveAsLastResort(deadline);
        this->traffic->stopAccepting();
        sleepUntilQuiet(deadline + kAnswerReserve);
    }

    SiteSettings settings;
    const std::string settingsFile;
    std::string settingsText;
    SystemClock clock;
    StandardOutput output;
    EventLog log;
    Metrics metrics;
    std::unique_ptr<SiteAdapter> adapter;
    std::unique_ptr<SiteControl> control;
    std::unique_ptr<SiteServer> traffic;
};

SiteProcess::SiteProcess(SiteSettings settings, std::string settingsFile)
{
    // Before any thread starts, so that all inherit the mask and the signals wait for run().
    const sigset_t signals = watchedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    this->impl = std::make_unique<Impl>(std::move(settings), std::move(settingsFile));
}

SiteProcess::~SiteProcess() = default;

int SiteProcess::run()
{
    Impl &impl = *this->impl;
    const absl::Status started = impl.start();
    if (!started.ok()) {
        const std::string why = describe(started);
        impl.log.write(LogKind::State, "start failed", {{"why", why}});
        return 1;
    }
    impl.log.write(LogKind::State, "started",
                   {{"failureDomain", impl.settings.failureDomain},
                    {"callers", impl.settings.callers.text()},
                    {"store", impl.settings.store.text()}});
    const sigset_t signals = watchedSignals();
    const timespec check{std::chrono::duration_cast<seconds>(kSettingsCheck).count(), 0};
    int received = 0;
    while (received != SIGTERM && received != SIGINT) {
        received = ::sigtimedwait(&signals, nullptr, &check);
        if (received <= 0 || received == SIGHUP) {
            impl.reloadIfChanged(received == SIGHUP);
        }
    }
    impl.log.write(LogKind::State, "stopping", {{"signal", std::int64_t{received}}});
    impl.drain();
    impl.log.write(LogKind::State, "stopped",
                   {{"unfinished", std::int64_t{impl.traffic->activeRequests()}}});
    return 0;
}

} // namespace basilnotch
