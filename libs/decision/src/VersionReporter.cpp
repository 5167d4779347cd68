// Reports hold totals, so a lost one costs only time.
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

void VersionReporter::onAnswer(const std::string &route, bool isNew, bool isBad)
{
    this->counts[{route, isNew}].add({1, isBad ? 1 : 0});
    ++this->answers;
    if (!isNew) {
        return;
    }
    if (this->lastNew <= this->heard) {
        this->unheardSince = this->clock.now();
    }
    this->lastNew = this->answers;
    this->lastNewBad = isBad ? this->answers : this->lastNewBad;
}

void VersionReporter::onCollectorsChanged()
{
    this->sent = 0;
}

Duration VersionReporter::pause(int liveInstances) const
{
    if (this->lastNewBad > this->sent) {
        return this->options.urgentPause;
    }
    const int crowd = std::max(1, liveInstances / std::max(1, this->options.fastInstances));
    const Duration usual = this->options.usualPause * crowd;
    const bool isAnswered = this->heard >= this->sent;
    return isAnswered ? usual : std::min(usual, this->options.retry);
}

bool VersionReporter::markSentIfDue(int liveInstances)
{
    const bool isNews = this->answers > this->sent || this->lastNew > this->heard;
    const TimePoint now = this->clock.now();
    if (!isNews || now - this->sentAt < this->pause(liveInstances)) {
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
    if (position <= this->heard) {
        return;
    }
    this->heard = position;
    this->unheardSince = this->clock.now(); // Of what came after it, if anything did.
}

bool VersionReporter::isReportOverdue() const
{
    return this->lastNew > this->heard
        && this->clock.now() - this->unheardSince >= this->options.patience;
}

} // namespace basilnotch
