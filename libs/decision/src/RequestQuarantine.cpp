// Requests that ran next to a crashing one are retried on upstreams that don't crash, so only the
// cause of the crashes reaches a second upstream.
#include <decision/RequestQuarantine.h>

#include <algorithm>

namespace basilnotch {

RequestQuarantine::RequestQuarantine(RequestQuarantineOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

void RequestQuarantine::evictOldSuspects()
{
    const TimePoint oldest = this->clock.now() - this->options.retention;
    std::erase_if(this->suspects,
                  [&](const auto &item) { return item.second.lastCrashAt < oldest; });
    while (this->suspects.size() >= this->options.maxSuspects) {
        this->suspects.erase(std::min_element(
            this->suspects.begin(), this->suspects.end(), [](const auto &left, const auto &right) {
                return left.second.lastCrashAt < right.second.lastCrashAt;
            }));
    }
}

bool RequestQuarantine::onCrash(const std::string &fingerprint, std::string_view upstream)
{
    if (!this->suspects.contains(fingerprint)) {
        this->evictOldSuspects();
    }
    Suspect &suspect = this->suspects[fingerprint];
    suspect.lastCrashAt = this->clock.now();
    suspect.upstreams.emplace(upstream);
    const bool reachesThreshold =
        suspect.upstreams.size() >= static_cast<std::size_t>(this->options.crashesToQuarantine);
    const bool isNewlyQuarantined = reachesThreshold && !suspect.quarantined;
    suspect.quarantined = suspect.quarantined || reachesThreshold;
    return isNewlyQuarantined;
}

bool RequestQuarantine::isQuarantined(const std::string &fingerprint)
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.quarantined
        && this->clock.now() - found->second.lastCrashAt < this->options.retention;
}

bool RequestQuarantine::isSuspect(const std::string &fingerprint) const
{
    return this->suspects.contains(fingerprint);
}

} // namespace basilnotch
