// A failed connection pauses at once; failed answers pause when they are too many.
#include <decision/UpstreamHealth.h>

#include <algorithm>

namespace basilnotch {

UpstreamHealth::UpstreamHealth(HealthOptions options, const Clock &clock)
    : options(options)
    , clock(&clock)
    , nextPause(options.firstPause)
{ }

void UpstreamHealth::pause()
{
    this->pausedUntil = this->clock->now() + this->nextPause;
    this->nextPause = std::min(this->nextPause * 2, this->options.longestPause);
    this->onTrial = true;
    this->results = 0;
}

bool UpstreamHealth::onResult(AttemptResult result)
{
    const bool failed = result != AttemptResult::Good;
    this->failures += this->options.weight * ((failed ? 1.0 : 0.0) - this->failures);
    ++this->results;
    if (!failed) {
        this->onTrial = false;
        if (this->failures < this->options.ejectShare / 2) {
            this->nextPause = this->options.firstPause;
        }
        return false;
    }
    const bool tooMany =
        this->results >= this->options.ejectResults && this->failures > this->options.ejectShare;
    const bool noAnswer =
        result == AttemptResult::ConnectFailed || result == AttemptResult::TimedOut;
    if (!this->isPaused() && (noAnswer || tooMany || this->onTrial)) {
        this->pause();
        return true;
    }
    return false;
}

bool UpstreamHealth::isPaused() const
{
    return this->clock->now() < this->pausedUntil;
}

bool UpstreamHealth::isOnTrial() const
{
    return this->onTrial && !this->isPaused();
}

} // namespace basilnotch
