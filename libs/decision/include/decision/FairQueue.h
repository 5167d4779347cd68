// Requests that wait for an upstream: urgent classes first, workspaces in turn within a class, and
// a bound on all of it. A request that is cancelled here has cost nothing.
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

/// In order of urgency.
enum class PriorityClass : std::uint8_t {
    Interactive,  ///< The caller watches the first token.
    FullResponse, ///< The caller waits for the whole answer.
    Background,   ///< Can wait.
};
constexpr int kPriorityClassCount = 3;

struct WaitingRequest
{
    std::uint64_t id = 0;
    int workspace = 0; ///< Small number of the workspace.
    PriorityClass priorityClass = PriorityClass::Interactive;
    double cost = 1; ///< Expected work, in tokens: what a workspace's turn is measured in.
    TimePoint since;
};

struct FairQueueOptions
{
    std::size_t capacity = 2048;
    std::size_t maxPerWorkspace = 512;
    double quantum = 512; ///< Tokens added to a workspace at each of its turns.
    int lowerClassInterval =
        8; ///< One in so many goes to a lower class that waits, against starvation.
};

/// Deficit round robin (Shreedhar and Varghese) in each class. One thread.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options);

    enum class PushResult { Queued, Full, WorkspaceFull };
    PushResult push(const WaitingRequest &request);
    /// Takes `id` out; false when it is not here.
    bool cancel(std::uint64_t id);
    /// The next request; nothing when empty. It stays until pop.
    std::optional<WaitingRequest> front();
    void pop();
    std::size_t size() const { return this->total; }
    bool empty() const { return this->total == 0; }

private:
    struct Lane
    {
        std::deque<WaitingRequest> requests;
        double deficit = 0;
        bool queued = false; ///< Invariant: true when its number stands in `turns`.
    };
    struct Class
    {
        std::unordered_map<int, Lane> lanes;
        std::deque<int> turns; ///< Workspaces in turn.
        std::size_t size = 0;
    };

    int nextClass() const;
    Lane &laneInTurn(Class &group);

    const FairQueueOptions options;
    std::array<Class, kPriorityClassCount> classes;
    std::unordered_map<int, std::size_t> maxPerWorkspace;
    std::unordered_map<std::uint64_t, std::pair<int, int>> places; ///< id -> (class, workspace)
    std::size_t total = 0;
    std::uint64_t pops = 0;
};

} // namespace basilnotch
