// Gives each request an upstream, or a place in a queue until one has room.
#pragma once

#include <decision/QueueWaitEstimator.h>
#include <decision/UpstreamPicker.h>
#include <runtime/FiberEvent.h>

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace basilnotch {

/// Which of the versions of a service a request may use while a roll-out is under way.
struct VersionFilter
{
    std::string only;                ///< Empty: all versions that are not closed.
    std::vector<std::string> closed; ///< Versions that get nothing.
    /// Share of the work that `only` gets while the old version is in use; 1 once it is not.
    double share = 1;
    std::uint64_t order = 0; ///< Of the roll-out; chooses the upstreams that serve the share.

    bool allows(const UpstreamRecord &upstream) const
    {
        const std::string &version = upstream.softwareVersion;
        if (!this->only.empty()) {
            return version == this->only;
        }
        return std::find(this->closed.begin(), this->closed.end(), version) == this->closed.end();
    }
};

/// What a request wants.
struct UpstreamRequirements
{
    std::string service;
    /// Versions that it may use now: a roll-out may begin, grow or be held while the request waits
    /// or runs.
    std::function<VersionFilter()> versions;
    std::vector<std::string> avoid; ///< Ids that have failed it.
    std::uint64_t affinityKey = 0;
    Duration ownWork{};    ///< Engine time for the part of the prompt that nobody shares.
    Duration sharedWork{}; ///< Engine time for the part that may be cached.
    int sharedTokens = 0;
    bool isEngine = false;
    int priority = 0; ///< 0 is the most urgent.
};

class UpstreamScheduler;

/// A place at an upstream, given back when it goes out of scope.
class UpstreamLease
{
public:
    /// `prompt`: of the shared prompt, 0 without one.
    UpstreamLease(UpstreamScheduler &desk, Pick pick, std::uint32_t prompt);
    ~UpstreamLease();
    UpstreamLease(const UpstreamLease &) = delete;
    UpstreamLease &operator=(const UpstreamLease &) = delete;

    const UpstreamRecord &upstream() const { return *this->pick.upstream; }
    /// Another engine that has the shared prompt; null when it is to be read.
    const UpstreamRef &fetchFrom() const { return this->pick.fetchFrom; }
    /// Engine time until the prompt should be read there.
    Duration expectedRead() const { return this->pick.ahead + this->pick.work; }
    void onLoad(const LoadSample &sample);
    /// The first byte of the answer came: the prompt has been read.
    void onFirstByte();
    /// How it ended, for the upstream's health; left out when the caller went away.
    void setResult(AttemptResult result) { this->result = result; }

private:
    /// The prompt no longer waits to be read.
    void endReading();

    UpstreamScheduler &desk;
    const Pick pick;
    const std::uint32_t prompt;
    bool isRead = false;
    std::optional<AttemptResult> result;
};

enum class AcquireError {
    None,
    NoUpstream, ///< No upstream of the service takes work for it.
    TooBusy,    ///< None had room in time.
    Cancelled,
};

struct AcquireResult
{
    std::unique_ptr<UpstreamLease> lease; ///< Null when there is a problem.
    AcquireError problem = AcquireError::None;
    Duration comeBackAfter{}; ///< Set when it is too busy: when a place may be free.
};

/// What other instances need to hear of.
struct UpstreamSchedulerListener
{
    /// This instance has changed the backlog of an engine.
    std::function<void()> backlogChanged;
    /// An engine has read a shared prompt.
    std::function<void(const PromptCacheUpdate &note)> promptRead;
};

/// Traffic thread only.
class UpstreamScheduler
{
public:
    /// `beliefs` must outlive the desk.
    UpstreamScheduler(PickerOptions options, EngineEstimates &engineEstimates, const Clock &clock,
                      std::uint64_t seed, UpstreamSchedulerListener listener);

    void setUpstreams(std::shared_ptr<const UpstreamList> list, int liveInstances);
    /// Blocks the calling fiber for at most `longestWait`; `cancelled` ends the wait early. Says at
    /// once that it is too busy when the queue is longer than that.
    AcquireResult acquire(const UpstreamRequirements &want, Duration longestWait,
                          const FiberEvent &cancelled);
    /// Tries to give waiting requests a place.
    void pump();

private:
    friend class UpstreamLease;

    struct Waiter
    {
        const UpstreamRequirements &want;
        FiberEvent ready; ///< Set when it has a place or has been cancelled.
        Pick given;
    };

    /// Books the place that it finds.
    Pick pick(const UpstreamRequirements &want);
    Pick pickFrom(std::span<const UpstreamRef> upstreams, const UpstreamRequirements &want);
    QueueWaitEstimator &forecast(const std::string &service);
    /// Waiting requests that would go before `want`.
    std::size_t ahead(const UpstreamRequirements &want) const;

    const Clock &clock;
    EngineEstimates &engineEstimates;
    UpstreamPicker picker;
    const UpstreamSchedulerListener listener;
    std::shared_ptr<const UpstreamList> list = std::make_shared<UpstreamList>();
    int liveInstances = 1;
    std::list<Waiter *> waiters;         ///< Most urgent first, then in order of arrival.
    std::vector<UpstreamRef> candidates; ///< Scratch of pick().
    std::vector<UpstreamRef> canaries;   ///< Scratch of pick().
    std::map<std::string, QueueWaitEstimator> forecasts; ///< By service.
};

} // namespace basilnotch
