// Reports contain totals, so a lost report only delays the information.
#include <decision/VersionReporter.h>

#include <algorithm>

namespace basilnotch {

VersionReporter::VersionReporter(std::string service, std::uint64_t order, std::string reporter,
                                 VersionReporterOptions options, const Clock &clock)
    : service(std::move(service))
    , order(order)
    , reporter(std::move(reporter))
    , options(options)
    , clock(clock)
{ }

void VersionReporter::onAnswer(const std::string &route, bool isNew, bool isBad, bool isSlower)
{
    this->counts[{route, isNew}].add({1, isBad ? 1 : 0, isSlower ? 1 : 0});
    ++this->answers;
    if (!isNew) {
        return;
    }
    if (this->lastNew <= this->acknowledged) {
        this->unacknowledgedSince = this->clock.now();
    }
    this->lastNew = this->answers;
    this->lastNewBad = isBad ? this->answers : this->lastNewBad;
}

void VersionReporter::onCollectorsChanged()
{
    this->sent = 0;
}

Duration VersionReporter::interval(int liveInstances) const
{
    if (this->lastNewBad > this->sent) {
        return this->options.urgentInterval;
    }
    const int scale = std::max(1, liveInstances / std::max(1, this->options.maxFullRateInstances));
    const Duration regular = this->options.regularInterval * scale;
    const bool isAcknowledged = this->acknowledged >= this->sent;
    return isAcknowledged ? regular : std::min(regular, this->options.retryInterval);
}

bool VersionReporter::markSentIfDue(int liveInstances)
{
    const bool hasNews = this->answers > this->sent || this->lastNew > this->acknowledged;
    const TimePoint now = this->clock.now();
    if (!hasNews || now - this->sentAt < this->interval(liveInstances)) {
        return false;
    }
    this->sent = this->answers;
    this->sentAt = now;
    return true;
}

VersionReport VersionReporter::report() const
{
    VersionReport report{this->service, this->order, this->reporter, {}};
    for (const auto &[key, counts] : this->counts) {
        report.routes.push_back({key.first, key.second, counts});
    }
    return report;
}

void VersionReporter::onAcknowledged(std::uint64_t position)
{
    if (position <= this->acknowledged) {
        return;
    }
    this->acknowledged = position;
    // Restarts the timeout for later answers, if there are any.
    this->unacknowledgedSince = this->clock.now();
}

bool VersionReporter::isReportOverdue() const
{
    return this->lastNew > this->acknowledged
        && this->clock.now() - this->unacknowledgedSince >= this->options.acknowledgementTimeout;
}

} // namespace basilnotch
