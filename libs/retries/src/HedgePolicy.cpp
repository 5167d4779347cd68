// The operator's share is a token bucket, not a window: an instance with few requests would never
// have a whole hedge in a window.
#include <retries/HedgePolicy.h>

#include <base/Hash.h>

#include <algorithm>

namespace basilnotch {

HedgePolicy::HedgePolicy(HedgeOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

std::string_view hedgeDecisionName(HedgeDecision decision)
{
    switch (decision) {
    case HedgeDecision::Send:
        return "send";
    case HedgeDecision::Off:
        return "off";
    case HedgeDecision::NotRepeatable:
        return "not repeatable";
    case HedgeDecision::Begun:
        return "the answer has begun";
    case HedgeDecision::Suspect:
        return "it may crash upstreams";
    case HedgeDecision::RoomShort:
        return "room is short";
    case HedgeDecision::AllSlow:
        return "all upstreams are slow";
    case HedgeDecision::TooLate:
        return "too late";
    case HedgeDecision::OverShare:
        break;
    }
    return "the share is used up";
}

HedgePolicy::RouteState &HedgePolicy::stateOf(std::string_view route)
{
    const auto found = this->routes.find(route);
    if (found != this->routes.end()) {
        return found->second;
    }
    return this->routes
        .emplace(std::string(route), RouteState{AnswerTimes(this->options.lifetime), {}})
        .first->second;
}

std::optional<Duration> HedgePolicy::delay(std::string_view route) const
{
    const auto found = this->routes.find(route);
    if (this->options.extraShare <= 0 || found == this->routes.end()) {
        return std::nullopt;
    }
    const AnswerTimes &times = found->second.times;
    const auto usual = times.quantile(this->options.quantile, this->options.minAnswers);
    const auto median = times.quantile(0.5, this->options.minAnswers);
    if (!usual || !median) {
        return std::nullopt;
    }
    const Duration bound = fromSeconds(this->options.medianFactor * toSeconds(*median));
    return std::max(std::min(*usual, bound), this->options.minDelay);
}

void HedgePolicy::onFirstSend()
{
    this->saved = std::min(kMaxSaved, this->saved + this->options.extraShare);
}

void HedgePolicy::onNotSent()
{
    this->saved = std::min(kMaxSaved, this->saved + 1);
}

void HedgePolicy::onFirstAnswer(std::string_view route, std::string_view upstream, Duration took)
{
    const std::optional<Duration> late = this->delay(route);
    RouteState &state = this->stateOf(route);
    state.times.add(AnswerTimes::bucketOf(took), this->clock.now());
    Recent &recent = state.recent;
    const std::size_t place = recent.count++ % Recent::kSends;
    recent.upstreams[place] = hash64(upstream);
    recent.late[place] = late && took >= *late;
}

void HedgePolicy::onPeerAnswer(std::string_view route, AnswerTimes::Bucket bucket)
{
    this->stateOf(route).times.add(bucket, this->clock.now());
}

bool HedgePolicy::areAllSlow(const Recent &recent) const
{
    const std::size_t count = std::min(recent.count, Recent::kSends);
    std::size_t late = 0;
    std::size_t mostOfOne = 0; // Late sends to the upstream that has most of them.
    for (std::size_t index = 0; index < count; ++index) {
        if (!recent.late[index]) {
            continue;
        }
        ++late;
        std::size_t same = 0;
        for (std::size_t other = 0; other < count; ++other) {
            same += recent.late[other] && recent.upstreams[other] == recent.upstreams[index];
        }
        mostOfOne = std::max(mostOfOne, same);
    }
    const double expected = (1 - this->options.quantile) * static_cast<double>(count);
    const bool areMany = static_cast<double>(late) > this->options.slowFactor * expected;
    return areMany && 2 * mostOfOne < late;
}

HedgeDecision HedgePolicy::decide(const HedgeQuery &query)
{
    const std::optional<Duration> usual = this->delay(query.route);
    if (!usual) {
        return HedgeDecision::Off;
    }
    if (!query.mayRunAgain || !query.hasAttemptLeft) {
        return HedgeDecision::NotRepeatable;
    }
    if (query.hasBegun) {
        return HedgeDecision::Begun;
    }
    if (query.isSuspect) {
        return HedgeDecision::Suspect;
    }
    if (query.isRoomShort) {
        return HedgeDecision::RoomShort;
    }
    if (query.timeLeft < *usual) {
        return HedgeDecision::TooLate;
    }
    if (this->areAllSlow(this->stateOf(query.route).recent)) {
        return HedgeDecision::AllSlow;
    }
    if (this->saved < 1) {
        return HedgeDecision::OverShare;
    }
    this->saved -= 1;
    return HedgeDecision::Send;
}

} // namespace basilnotch
