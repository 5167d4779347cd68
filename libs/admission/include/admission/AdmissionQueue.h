// Orders the requests that wait for a slot of a service when there are too few: urgency first, but
// no class is starved; fair shares of slot time between the workspaces of a class; within that, the
// least slack first. Who returns earlier than told gains nothing. No network, no fibers.
#pragma once

#include <base/Clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilnotch {

struct AdmissionOptions
{
    /// While both wait, a class gets this many times the slot time of the next less urgent one.
    double classRatio = 4;
    int classes = 4; ///< Less urgent priorities count as the last class.
    /// Workspaces whose next requests start within this slot time of each other count as served
    /// alike; then the slack decides.
    Duration fairnessQuantum = std::chrono::milliseconds(200);
    Duration minCost = std::chrono::milliseconds(10);
    Duration maxCost = std::chrono::seconds(30);
    std::size_t maxRefusals = 4096; ///< That are remembered; the earliest returns go first.
};

/// A request that waits.
struct AdmissionRequest
{
    std::uint64_t id = 0;
    std::string workspace;
    int priority = 0;  ///< 0 is the most urgent.
    Duration cost{};   ///< Time for which it is expected to hold a slot.
    TimePoint startBy; ///< Later it is of no use.
    /// Identifies the request when it returns after a refusal; 0 if it can't be recognized.
    std::uint64_t fingerprint = 0;
};

/// For one service. Not thread-safe.
class AdmissionQueue
{
public:
    /// `clock` must outlive this object.
    AdmissionQueue(AdmissionOptions options, const Clock &clock);

    void push(const AdmissionRequest &request);
    /// The request has got a slot.
    void onServed(std::uint64_t id);
    /// The request waits no longer, without a slot.
    void remove(std::uint64_t id);
    /// Ids of the waiting requests, in the order in which they get slots.
    const std::vector<std::uint64_t> &order();
    std::size_t size() const { return this->count; }
    /// Number of waiting requests that would be served before `request`.
    std::size_t ahead(const AdmissionRequest &request) const;
    /// The caller was refused and told to return after `retryAfter`.
    void onRefused(std::uint64_t fingerprint, Duration retryAfter);

private:
    struct Waiting
    {
        AdmissionRequest request;
        double start = 0;         ///< Slot seconds that its workspace had had when it starts.
        std::int64_t round = 0;   ///< `start` in fairness quanta.
        std::uint64_t number = 0; ///< By arrival.

        bool operator<(const Waiting &other) const;
    };
    /// Start-time fair queueing (Goyal, Vin and Cheng) of the workspaces of a class.
    struct Class
    {
        std::vector<Waiting> waiting;            ///< In order.
        double now = 0;                          ///< Start of the request that was served last.
        std::map<std::string, double> nextStart; ///< By workspace; only those after `now`.
        double served = 0; ///< Slot seconds served, divided by the weight of the class.
    };

    std::size_t classOf(const AdmissionRequest &request) const;
    double weight(std::size_t index) const;
    double cost(const AdmissionRequest &request) const;
    bool returnsEarly(std::uint64_t fingerprint) const;
    Waiting makeWaiting(const AdmissionRequest &request) const;
    bool erase(std::uint64_t id, Waiting *erased);

    const AdmissionOptions options;
    const Clock &clock;
    std::vector<Class> classes; ///< The most urgent first.
    std::size_t count = 0;
    std::uint64_t nextNumber = 0;
    std::vector<std::uint64_t> ordered;                        ///< Result of order().
    bool isOrdered = false;                                    ///< Whether `ordered` is up to date.
    std::unordered_map<std::uint64_t, TimePoint> refusedUntil; ///< By fingerprint.
};

} // namespace basilnotch
