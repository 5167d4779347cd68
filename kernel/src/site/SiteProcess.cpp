// Starts the threads, handles signals and changed settings, and drains the requests under way on a
// stop.
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

constexpr Duration kSettingsCheckInterval = seconds(1); // The file may change without a signal.
constexpr Duration kDrainPollInterval = milliseconds(100);
/// How long requests are accepted after the stop signal. Callers may have got this instance's
/// address just before and may cache it for up to three times its TTL; a request that arrives later
/// than this could not finish before the process is killed.
constexpr Duration kMaxServeAfterStop = milliseconds(2500);
/// Time before the kill for the last answers and for the exit.
constexpr Duration kExitReserve = milliseconds(500);
/// The part of kExitReserve for the answers.
constexpr Duration kFinalAnswerReserve = milliseconds(200);
constexpr int kIdlePolls = 3; // In a row; the request count is published with a delay.

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/// Content of `path`; empty when it cannot be read.
std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

} // namespace

struct SiteProcess::Impl
{
    Impl(SiteSettings initialSettings, std::string file)
        : settings(std::move(initialSettings))
        , settingsFile(std::move(file))
        , settingsText(readFile(this->settingsFile))
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

    void reloadIfChanged(bool requested)
    {
        std::string text = readFile(this->settingsFile);
        if (text == this->settingsText || text.empty()) {
            if (requested) {
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
        this->log.write(LogKind::State, "reload", {{"changed", true}, {"asked", requested}});
        this->control->applySettings(std::move(parsed.settings));
    }

    /// Keeps accepting requests until `until` while no other instance accepts any.
    void serveAsLastResort(TimePoint until)
    {
        if (this->control->view()->isLastResort) {
            this->log.write(LogKind::State, "last resort",
                            {{"leftMs", wholeMillis(until - this->clock.now())}});
        }
        while (this->control->view()->isLastResort && this->clock.now() < until) {
            std::this_thread::sleep_for(kDrainPollInterval);
        }
    }

    void drain()
    {
        const TimePoint deadline =
            this->clock.now() + this->settings.bounds.stopGrace - kExitReserve;
        const Duration serveAfterStop = std::min(kMaxServeAfterStop, deadline - this->clock.now());
        this->control->leave(
            {.streamsAcceptedUntil = this->clock.now() + serveAfterStop, .exitsAt = deadline});
        this->traffic->closeAfterAnswers();
        const auto sleepUntilIdle = [&](TimePoint until) {
            int idlePolls = 0;
            while (this->clock.now() < until && idlePolls < kIdlePolls) {
                std::this_thread::sleep_for(kDrainPollInterval);
                idlePolls = this->traffic->activeRequests() == 0 ? idlePolls + 1 : 0;
            }
        };
        std::this_thread::sleep_for(serveAfterStop);
        this->serveAsLastResort(deadline);
        this->traffic->stopAccepting();
        sleepUntilIdle(deadline + kFinalAnswerReserve);
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
    // The mask is set before any thread starts, so that all threads inherit it and the signals stay
    // pending until run() waits for them.
    const sigset_t signals = handledSignals();
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
    const sigset_t signals = handledSignals();
    const timespec check{std::chrono::duration_cast<seconds>(kSettingsCheckInterval).count(), 0};
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
