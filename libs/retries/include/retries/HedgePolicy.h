// Decides whether a request whose first send is slower than usual is sent to a second upstream as
// well ("hedged", after Dean and Barroso, The Tail at Scale). No network, no fibers.
#pragma once

#include <base/Clock.h>
#include <retries/AnswerTimes.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace basilnotch {

struct HedgeOptions
{
    double extraShare = 0; ///< Hedges per first send, at most; 0: none.
    /// A first send that takes longer than this share of its route's answers is late.
    double quantile = 0.95;
    /// So is one that takes longer than this multiple of the median: an upstream that stays slow
    /// would otherwise move the quantile to its own answer time.
    double medianFactor = 4;
    int minAnswers = 20;                          ///< Of a route, before its quantile is known.
    Duration lifetime = std::chrono::seconds(60); ///< Of an answer in the quantile, at least.
    /// A share of late sends above this multiple of the expected one, spread over the upstreams,
    /// means that all of them are slow: a second send would only add to their load.
    double slowFactor = 4;
    /// An answer that is about to come anyway is not worth a second send.
    Duration minDelay = std::chrono::milliseconds(5);
};

/// What is known of a request when its first send is late.
struct HedgeQuery
{
    std::string_view route;
    bool mayRunAgain = false;    ///< Its route permits a second run.
    bool hasBegun = false;       ///< The caller has received a part of the answer.
    bool isSuspect = false;      ///< It, or a part of its prompt, may crash upstreams.
    bool isRoomShort = false;    ///< Requests wait for a slot, or no other upstream has one.
    bool hasAttemptLeft = false; ///< Of the route's attempts.
    Duration timeLeft{};         ///< Until its deadline.
};

enum class HedgeDecision {
    Send,
    Off,           ///< The operator allows none.
    NotRepeatable, ///< A second run is not permitted, or no attempt is left.
    Begun,
    Suspect,
    RoomShort,
    AllSlow,
    TooLate,   ///< The usual answer would come after the deadline.
    OverShare, ///< The operator's share is used up.
};

std::string_view hedgeDecisionName(HedgeDecision decision);

/// For one service. Not thread-safe. Invariant: the hedges of any time do not exceed
/// extraShare * first sends of that time + kMaxSaved.
class HedgePolicy
{
public:
    /// Hedges that may be saved up while none is needed.
    static constexpr double kMaxSaved = 3;

    HedgePolicy(HedgeOptions options, const Clock &clock);

    /// The operator has changed it.
    void setExtraShare(double share) { this->options.extraShare = share; }

    /// When the first send of a request of `route` is late; empty when it is not to be hedged.
    std::optional<Duration> delay(std::string_view route) const;
    void onFirstSend();
    /// A first send has ended: its answer began after `took`, or it was withdrawn after that time
    /// and would have taken longer. `upstream` names where it went.
    void onFirstAnswer(std::string_view route, std::string_view upstream, Duration took);
    /// An answer time of `route` that another instance has seen.
    void onPeerAnswer(std::string_view route, AnswerTimes::Bucket bucket);
    /// To be called when a first send is late. Send takes one hedge from the operator's share.
    HedgeDecision decide(const HedgeQuery &query);
    /// Gives back the hedge that decide() took: it was not sent.
    void onNotSent();

private:
    /// The latest first sends of a route, in a ring.
    struct Recent
    {
        static constexpr std::size_t kSends = 64;

        std::array<std::uint64_t, kSends> upstreams{}; ///< Hashes.
        std::array<bool, kSends> late{};
        std::size_t count = 0;
    };
    struct RouteState
    {
        AnswerTimes times;
        Recent recent;
    };

    RouteState &stateOf(std::string_view route);
    /// Whether the late ones of the latest first sends are many and spread over upstreams.
    bool areAllSlow(const Recent &recent) const;

    HedgeOptions options;
    const Clock &clock;
    double saved = 0; ///< Hedges that may be sent now.
    std::map<std::string, RouteState, std::less<>> routes;
};

} // namespace basilnotch
