// Limits the requests to upstreams that warm up after a start. The bound holds for the sum over all
// instances, whether or not they can talk: the right to send to a cold upstream is divided among a
// few instances, which all compute alike from the membership. No network, no fibers.
#pragma once

#include <base/Clock.h>
#include <upstreams/UpstreamList.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// What the upstreams of a service stand while they are cold.
struct WarmupRate
{
    double perSecond = 0; ///< Requests from all instances together; 0: no limit.
    Duration coldStart{}; ///< How long an upstream is cold that does not say.
};

using WarmupRates = std::map<std::string, WarmupRate, std::less<>>; ///< By service.

struct WarmupOptions
{
    std::string instance; ///< Name of this one.
    /// Bound on the requests to a cold upstream in any second: perSecond * overrun + slack.
    double overrun = 1.5;
    double slack = 5;
    /// In which the shares of all instances fill the bound. Above the second of the bound by the
    /// time that a request may take from the decision until it has arrived.
    Duration window = std::chrono::milliseconds(1100);
    /// After its start an instance knows too few of the others to compute its share.
    Duration settleTime = std::chrono::seconds(5);
    /// An upstream that refused a connection may have restarted without having registered yet; its
    /// new registration, or the removal of the old one, is known after this.
    Duration restartTime = std::chrono::seconds(4);
};

/// Not thread-safe.
class WarmupLimiter
{
public:
    WarmupLimiter(WarmupOptions options, const Clock &clock);

    void setRates(WarmupRates rates);
    /// Names of all instances that have not left, also of those that nobody reaches: one that is
    /// cut off goes on using its share.
    void setMembers(std::vector<std::string> names);
    /// Learns from the registrations which upstreams are cold.
    void setUpstreams(const UpstreamList &list);

    /// Whether a request may be assigned to the upstream now.
    bool mayAssign(const UpstreamRecord &upstream) const;
    /// Until mayAssign() holds again, if nothing changes; zero when it does.
    Duration waitTime(const UpstreamRecord &upstream) const;
    /// Reserves the upstream for a request. To be followed by trySend() or onReleased().
    void onAssigned(const UpstreamRecord &upstream);
    /// Takes the right to write the request now. False when the upstream has become cold since the
    /// assignment and this instance may not send; the reservation stays.
    bool trySend(const UpstreamRecord &upstream);
    /// A request that was assigned is not sent.
    void onReleased(const UpstreamRecord &upstream);
    /// The upstream did not accept a connection.
    void onConnectFailed(const UpstreamRecord &upstream);

    bool isCold(const UpstreamRecord &upstream) const;
    /// Upstreams that are cold now.
    std::size_t coldCount() const;
    /// Sends that trySend() has refused.
    std::int64_t refusedSends() const { return this->refused; }

private:
    struct State
    {
        std::int64_t bornMs = 0;
        TimePoint coldUntil{};    ///< As the upstream says.
        TimePoint suspectUntil{}; ///< It may be cold without having said so.
        bool wasOutOfService = false;
        int pending = 0;               ///< Assigned requests that have not been written.
        std::vector<TimePoint> sent;   ///< Within the latest window, in order.
        mutable std::size_t share = 0; ///< Sends in a window; valid for shareRevision.
        mutable std::uint64_t shareRevision = 0;
    };

    const State *find(const UpstreamRecord &upstream) const;
    State *find(const UpstreamRecord &upstream);
    const WarmupRate *rateOf(std::string_view service) const;
    bool isColdAt(const State &state, TimePoint now) const;
    void learn(const UpstreamRecord &upstream, const WarmupRate &rate, const UpstreamList &list);
    /// How many requests this instance may send to the upstream in a window.
    std::size_t share(const UpstreamRecord &upstream, const State &state) const;
    std::size_t computeShare(const UpstreamRecord &upstream) const;
    std::size_t sentInWindow(const State &state, TimePoint now) const;
    void noteCold(const State &state);

    const WarmupOptions options;
    const Clock &clock;
    const TimePoint startedAt;
    WarmupRates rates;
    std::vector<std::string> members; ///< Invariant: sorted, and holds options.instance.
    std::uint64_t revision = 1;       ///< Grows when shares may have changed.
    std::map<std::string, State, std::less<>> states; ///< Of upstreams with a rate, by id.
    TimePoint anyColdUntil{}; ///< Invariant: no upstream is cold at this time or later.
    /// False when anyColdUntil has passed, so that most decisions don't read the clock.
    mutable bool anyCold = false;
    std::int64_t refused = 0;
};

} // namespace basilnotch
