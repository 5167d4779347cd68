// Assigns an upstream slot to each request, or queues the request until a slot is free.
#pragma once

#include <admission/AdmissionQueue.h>
#include <decision/QueueWaitEstimator.h>
#include <decision/UpstreamPicker.h>
#include <runtime/FiberEvent.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilnotch {

/// The versions of a service that a request may use during a roll-out.
struct VersionFilter
{
    std::string onlyVersion; ///< Empty: all versions but the excluded ones.
    /// Versions that receive no requests; with `onlyVersion`, those that don't stand in for it
    /// while it warms up.
    std::vector<std::string> excludedVersions;
    /// Share of the work that `onlyVersion` receives while the old version is in use; 1 afterwards.
    double share = 1;
    /// Order number of the roll-out; seeds the choice of the upstreams that serve the share.
    std::uint64_t rolloutOrder = 0;

    bool operator==(const VersionFilter &other) const = default;
    bool allows(const UpstreamRecord &upstream) const
    {
        const std::string &version = upstream.softwareVersion;
        if (!this->onlyVersion.empty()) {
            return version == this->onlyVersion;
        }
        return std::find(this->excludedVersions.begin(), this->excludedVersions.end(), version)
            == this->excludedVersions.end();
    }
};

/// What a request requires of an upstream.
struct UpstreamRequirements
{
    std::string service;
    /// Returns the versions that the request may use now. Evaluated for each assignment, because a
    /// roll-out may start, grow or be held while the request waits or runs.
    std::function<VersionFilter()> versions;
    std::vector<std::string> excludedUpstreams; ///< Ids of upstreams that have failed the request.
    std::uint64_t affinityKey = 0;
    Duration ownWork{};    ///< Engine time for the part of the prompt that no other request shares.
    Duration sharedWork{}; ///< Engine time for the part of the prompt that may be cached.
    int sharedTokens = 0;
    bool isEngine = false;
    int priority = 0;          ///< 0 is the most urgent.
    std::string workspace;     ///< Waiting requests share slots by workspace.
    Duration expectedOutput{}; ///< Time to generate the answer at the usual pace.
    /// Identical when the caller repeats the request; 0 if unknown.
    std::uint64_t fingerprint = 0;
};

class UpstreamScheduler;

/// A slot at an upstream, released on destruction. Must not outlive its scheduler.
class UpstreamLease
{
public:
    /// `prompt`: id of the shared prompt, 0 without one.
    UpstreamLease(UpstreamScheduler &scheduler, Pick pick, std::uint32_t prompt);
    ~UpstreamLease();
    UpstreamLease(const UpstreamLease &) = delete;
    UpstreamLease &operator=(const UpstreamLease &) = delete;

    const UpstreamRecord &upstream() const { return *this->pick.upstream; }
    const UpstreamRef &upstreamRef() const { return this->pick.upstream; }
    /// Another engine that has the shared prompt cached; null when this one has to prefill it.
    const UpstreamRef &fetchFrom() const { return this->pick.fetchFrom; }
    /// Expected engine time until the prompt has been prefilled, queued prompts included.
    Duration expectedPrefillTime() const { return this->pick.ahead + this->pick.work; }
    /// To be asked once, right before the request is written: false when it must not be, because
    /// the upstream warms up and has got its share.
    bool trySend();
    void onLoad(const LoadSample &sample);
    /// The upstream's answer says that it is about to exit.
    void onLeaving();
    /// The upstream's answer says that it wants no further requests for `pause`.
    void onPauseRequested(Duration pause);
    /// Call when the first byte of the response arrives: the prompt has been prefilled.
    void onFirstByte();
    /// Records the result for the upstream's health statistics. Not called when the caller
    /// disconnected.
    void setResult(AttemptResult result);

private:
    /// Removes the prompt from the engine's prefill backlog; idempotent.
    void markPrefilled();

    UpstreamScheduler &scheduler;
    const Pick pick;
    const std::uint32_t prompt;
    const TimePoint assignedAt;
    std::optional<TimePoint> firstByteAt;
    bool isPrefilled = false;
    bool isSent = false; ///< trySend() has allowed it.
    std::optional<AttemptResult> result;
};

enum class AcquireError {
    None,
    NoUpstream, ///< No upstream of the service accepts the request.
    TooBusy,    ///< No slot became free within the wait limit.
    Cancelled,
};

struct AcquireResult
{
    std::unique_ptr<UpstreamLease> lease; ///< Null on error.
    AcquireError error = AcquireError::None;
    Duration retryAfter{}; ///< When a slot may be free; zero when that is unknown.
};

/// What acquire() would do now.
struct AssignmentExplanation
{
    VersionFilter versions;
    PickExplanation picked; ///< Among the upstreams of these versions.
    std::vector<UpstreamRef> otherVersions;
    std::vector<UpstreamRef> notReady;    ///< Registered, but get no new work.
    std::size_t waitersAhead = 0;         ///< Waiting requests that are served before.
    std::optional<Duration> expectedWait; ///< In the queue; empty without recent samples.
    Duration retryAfter{};                ///< What a caller is told that can't wait.
};

/// Events that other instances have to learn of. Called on the traffic thread.
struct UpstreamSchedulerListener
{
    /// The backlog of an engine has changed through this instance.
    std::function<void()> backlogChanged;
    /// There is news of an upstream's load or health.
    std::function<void()> loadReported;
    /// An engine has prefilled a shared prompt.
    std::function<void(const PromptCacheUpdate &update)> promptPrefilled;
};

/// Used on the traffic thread only.
class UpstreamScheduler
{
public:
    /// `engineEstimates` and `warmup` must outlive the scheduler.
    UpstreamScheduler(PickerOptions options, EngineEstimates &engineEstimates,
                      WarmupLimiter &warmup, const Clock &clock, std::uint64_t seed,
                      UpstreamSchedulerListener listener);

    void setUpstreams(std::shared_ptr<const UpstreamList> list, int liveInstances);
    /// Blocks the calling fiber for at most `maxWait`; setting `cancelled` ends the wait early.
    /// Fails at once with TooBusy when the expected wait in the queue exceeds `maxWait` or
    /// `maxWait` is not positive.
    AcquireResult acquire(const UpstreamRequirements &requirements, Duration maxWait,
                          const FiberEvent &cancelled);
    /// A slot for a second send of a request that is under way at `first`: at an upstream with less
    /// load, in another failure domain if there is one. Null if there is none, if requests of the
    /// service wait for a slot, or if the request belongs to the traffic share of a new version.
    std::unique_ptr<UpstreamLease> tryAcquireSecond(const UpstreamRequirements &requirements,
                                                    const UpstreamRecord &first);
    /// What acquire() would do for such a request now, and why. Changes nothing.
    AssignmentExplanation explain(const UpstreamRequirements &requirements) const;
    /// Assigns free slots to waiting requests.
    void dispatchWaiters();
    /// Times that all upstreams of a service have been compared for one request.
    std::int64_t pickCount() const { return this->picks; }
    std::size_t waiterCount() const { return this->waiters.size(); }

private:
    friend class UpstreamLease;

    struct Waiter
    {
        const UpstreamRequirements &requirements;
        const AdmissionRequest request;
        FiberEvent ready; ///< Set when a slot has been assigned or the request cancelled.
        Pick assigned;
        bool isRejected = false; ///< The service has no upstream left that may be sent to.
    };

    /// What decides whether an upstream with a free slot may serve a request.
    struct SlotRequirements
    {
        std::string service;
        VersionFilter versions;
        std::vector<std::string> excludedUpstreams;

        bool operator==(const SlotRequirements &other) const = default;
    };

    /// Chooses an upstream and reserves the slot.
    Pick pick(const UpstreamRequirements &requirements, const VersionFilter &versions);
    /// Upstreams of versions that may stand in for `versions.onlyVersion`, into `candidates`, if
    /// that one warms up; returns whether it does.
    bool selectStandIns(const std::vector<UpstreamRef> &ready, const VersionFilter &versions);
    Pick pickFrom(std::span<const UpstreamRef> upstreams, const UpstreamRequirements &requirements);
    /// The result for a service without upstreams that may be sent to.
    AcquireResult noUpstream(const std::string &service) const;
    PickQuery queryFor(std::span<const UpstreamRef> upstreams,
                       const UpstreamRequirements &requirements) const;
    QueueWaitEstimator &waitEstimator(const std::string &service);
    AdmissionQueue &queue(const std::string &service);
    /// Without an id.
    AdmissionRequest admissionRequest(const UpstreamRequirements &requirements,
                                      Duration maxWait) const;
    /// Assigns free slots to the waiters of one service.
    void dispatchWaiters(AdmissionQueue &queue);
    /// The result of a request that gets no slot in time; its caller is expected to return then.
    AcquireResult refuse(const AdmissionRequest &request, const std::string &service);

    const Clock &clock;
    EngineEstimates &engineEstimates;
    WarmupLimiter &warmup;
    UpstreamPicker picker;
    const UpstreamSchedulerListener listener;
    std::shared_ptr<const UpstreamList> list = std::make_shared<UpstreamList>();
    int liveInstances = 1;
    std::int64_t picks = 0;
    /// Requests that wait for a slot, by service. Invariant: these are the ids in `waiters`.
    std::map<std::string, AdmissionQueue> queues;
    std::unordered_map<std::uint64_t, Waiter *> waiters;
    std::uint64_t lastRequestId = 0;
    std::vector<std::uint64_t> dispatchOrder; ///< Scratch buffer of dispatchWaiters().
    std::vector<UpstreamRef> candidates;      ///< Scratch buffer of pick().
    std::vector<UpstreamRef> canaries;        ///< Scratch buffer of pick().
    std::map<std::string, QueueWaitEstimator> waitEstimators; ///< By service.
};

} // namespace basilnotch
