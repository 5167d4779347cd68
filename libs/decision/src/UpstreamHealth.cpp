// A failed connection or a timeout pauses the upstream at once; failed responses pause it when the
// failure ratio exceeds the threshold.
#include <decision/UpstreamHealth.h>

#include <algorithm>

namespace basilnotch {

UpstreamHealth::UpstreamHealth(HealthOptions options, const Clock &clock)
    : options(options)
    , clock(&clock)
    , nextPause(options.initialPause)
{ }

void UpstreamHealth::pause()
{
    this->pausedUntil = this->clock->now() + this->nextPause;
    this->nextPause = std::min(this->nextPause * 2, this->options.maxPause);
    this->probing = true;
    this->results = 0;
}

bool UpstreamHealth::onResult(AttemptResult result)
{
    const bool failed = result != AttemptResult::Good;
    this->failureRatio += this->options.smoothing * ((failed ? 1.0 : 0.0) - this->failureRatio);
    ++this->results;
    if (!failed) {
        this->probing = false;
        if (this->failureRatio < this->options.ejectionThreshold / 2) {
            this->nextPause = this->options.initialPause;
        }
        return false;
    }
    const bool tooMany = this->results >= this->options.minResults
        && this->failureRatio > this->options.ejectionThreshold;
    const bool noAnswer =
        result == AttemptResult::ConnectFailed || result == AttemptResult::TimedOut;
    if (!this->isPaused() && (noAnswer || tooMany || this->probing)) {
        this->pause();
        return true;
    }
    return false;
}

bool UpstreamHealth::isPaused() const
{
    return this->clock->now() < this->pausedUntil;
}

bool UpstreamHealth::isProbing() const
{
    return this->probing && !this->isPaused();
}

} // namespace basilnotch
