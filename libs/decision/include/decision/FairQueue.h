// Bounded queue of requests that wait for an upstream: most urgent class first, fair between
// workspaces within a class. Cancelling a queued request uses no engine time.
#pragma once

#include <base/Clock.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilnotch {

/// Most urgent first.
enum class PriorityClass : std::uint8_t {
    Interactive,  ///< Latency to the first token matters.
    FullResponse, ///< The caller needs the complete response.
    Background,   ///< Not latency-sensitive.
};
constexpr int kPriorityClassCount = 3;

struct WaitingRequest
{
    std::uint64_t id = 0;
    int workspace = 0; ///< Index of the workspace, given out by the caller.
    PriorityClass priorityClass = PriorityClass::Interactive;
    double cost = 1; ///< Expected tokens; charged to the workspace's deficit.
    TimePoint enqueuedAt;
};

struct FairQueueOptions
{
    std::size_t capacity = 2048;
    std::size_t maxPerWorkspace = 512;
    double quantum = 512; ///< Tokens credited to a workspace per round.
    /// Every n-th request comes from the next lower class that has requests, against starvation.
    int lowerClassInterval = 8;
};

/// Deficit round robin (Shreedhar and Varghese) within each class. Not thread-safe.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options);

    enum class PushResult { Queued, Full, WorkspaceFull };
    PushResult push(const WaitingRequest &request);
    /// Removes `id`; returns false if it is not queued.
    bool cancel(std::uint64_t id);
    /// The next request, which stays queued until pop(); empty if the queue is.
    std::optional<WaitingRequest> front();
    void pop();
    std::size_t size() const { return this->total; }
    bool empty() const { return this->total == 0; }

private:
    struct WorkspaceQueue
    {
        std::deque<WaitingRequest> requests;
        double deficit = 0;
        bool inRoundRobin = false; ///< Invariant: whether the workspace is in `roundRobin`.
    };
    struct ClassQueue
    {
        std::unordered_map<int, WorkspaceQueue> workspaceQueues;
        std::deque<int> roundRobin; ///< Workspaces in order of service.
        std::size_t size = 0;
    };

    int nextClass() const;
    WorkspaceQueue &nextWorkspaceQueue(ClassQueue &classQueue);

    const FairQueueOptions options;
    std::array<ClassQueue, kPriorityClassCount> classes;
    std::unordered_map<int, std::size_t> sizeByWorkspace;
    std::unordered_map<std::uint64_t, std::pair<int, int>> locations; ///< id -> (class, workspace)
    std::size_t total = 0;
    std::uint64_t pops = 0;
};

} // namespace basilnotch
