// A report that has to wait is replaced by a newer one in place, so that no upstream's news waits
// longer because there is more of it.
#include <load/LoadReportBatch.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

LoadReportBatch::LoadReportBatch(LoadReportBatchOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
    , allowance(options.maxBurst)
    , allowedAt(clock.now())
{ }

void LoadReportBatch::add(const PeerLoadReport &report)
{
    const auto known =
        std::find_if(this->pending.begin(), this->pending.end(), [&](const PeerLoadReport &other) {
            return other.upstream == report.upstream;
        });
    if (known == this->pending.end()) {
        this->pending.push_back(report);
        return;
    }
    const double measured = report.measuredPace > 0 ? report.measuredPace : known->measuredPace;
    if (report.seenAt > known->seenAt) {
        *known = report;
    }
    known->measuredPace = measured;
}

std::vector<PeerLoadReport> LoadReportBatch::take()
{
    const TimePoint now = this->clock.now();
    this->allowance = std::min(
        this->options.maxBurst,
        this->allowance + toSeconds(now - this->allowedAt) * this->options.reportsPerSecond);
    this->allowedAt = now;
    std::erase_if(this->pending, [&](const PeerLoadReport &report) {
        return now - report.seenAt > this->options.maxAge;
    });
    const auto count =
        std::min(this->pending.size(), static_cast<std::size_t>(std::floor(this->allowance)));
    this->allowance -= static_cast<double>(count);
    const auto end = this->pending.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<PeerLoadReport> taken(this->pending.begin(), end);
    this->pending.erase(this->pending.begin(), end);
    return taken;
}

} // namespace basilnotch
