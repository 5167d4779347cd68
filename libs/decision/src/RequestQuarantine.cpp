// Requests that merely stood beside a poisonous one go to other upstreams, which do not crash, so
// only the culprit collects a second upstream.
#include <decision/RequestQuarantine.h>

#include <algorithm>

namespace basilnotch {

RequestQuarantine::RequestQuarantine(RequestQuarantineOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

void RequestQuarantine::forget()
{
    const TimePoint oldest = this->clock.now() - this->options.memory;
    std::erase_if(this->suspects, [&](const auto &item) { return item.second.at < oldest; });
    while (this->suspects.size() >= this->options.maxSuspects) {
        this->suspects.erase(std::min_element(
            this->suspects.begin(), this->suspects.end(),
            [](const auto &left, const auto &right) { return left.second.at < right.second.at; }));
    }
}

bool RequestQuarantine::onCrash(const std::string &fingerprint, std::string_view upstream)
{
    if (!this->suspects.contains(fingerprint)) {
        this->forget();
    }
    Suspect &suspect = this->suspects[fingerprint];
    suspect.at = this->clock.now();
    suspect.upstreams.emplace(upstream);
    const bool enough =
        suspect.upstreams.size() >= static_cast<std::size_t>(this->options.crashesToQuarantine);
    const bool isNews = enough && !suspect.quarantined;
    suspect.quarantined = suspect.quarantined || enough;
    return isNews;
}

bool RequestQuarantine::isQuarantined(const std::string &fingerprint)
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.quarantined
        && this->clock.now() - found->second.at < this->options.memory;
}

bool RequestQuarantine::isSuspect(const std::string &fingerprint) const
{
    return this->suspects.contains(fingerprint);
}

} // namespace basilnotch
