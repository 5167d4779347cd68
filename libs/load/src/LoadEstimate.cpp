// A report loses weight with its age, in favour of the mean of the service: an upstream that was
// full a second ago is not avoided for good, and one that was empty is not flooded.
#include <load/LoadEstimate.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace basilnotch {

namespace {

/// An upstream ends no more requests in the time for which they are counted together.
constexpr int kMaxToldEnds = 100;

/// Share of `value` that is left at `age`.
double decay(Duration age, Duration lifetime)
{
    return std::exp(-toSeconds(age) / toSeconds(lifetime));
}

} // namespace

LoadEstimate::LoadEstimate(LoadOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

const LoadEstimate::Entry *LoadEstimate::find(std::uint32_t upstream) const
{
    const auto found = this->entries.find(upstream);
    return found == this->entries.end() ? nullptr : &found->second;
}

void LoadEstimate::addChange(Entry &entry, std::int8_t own, std::int8_t total)
{
    entry.inFlight = std::max(0, entry.inFlight + own);
    const TimePoint now = this->clock.now();
    entry.changes[entry.nextChange] = {own == 0 ? now - this->options.tellingTime : now, own,
                                       total};
    entry.nextChange = (entry.nextChange + 1) % kChanges;
}

LoadEstimate::Changes LoadEstimate::changesSince(const Entry &entry, TimePoint time) const
{
    Changes sums;
    for (std::size_t back = 1; back <= kChanges; ++back) {
        const Change &change = entry.changes[(entry.nextChange + kChanges - back) % kChanges];
        if (change.at <= time - this->options.tellingTime) {
            break; // So are those before it: they are in the order in which they were learned of.
        }
        sums.own += change.at > time ? change.own : 0;
        sums.total += change.at > time ? change.total : 0;
    }
    return sums;
}

void LoadEstimate::onSent(std::uint32_t upstream)
{
    this->addChange(this->entries[upstream], 1, 1);
}

void LoadEstimate::onEnded(std::uint32_t upstream)
{
    this->addChange(this->entries[upstream], -1, -1);
}

void LoadEstimate::onOtherSent(std::uint32_t upstream)
{
    Entry &entry = this->entries[upstream];
    this->addChange(entry, 0, 1);
    entry.otherSentAt = this->clock.now();
}

void LoadEstimate::onOtherEnded(const EndedRequests &ended)
{
    Entry &entry = this->entries[ended.upstream];
    const TimePoint now = this->clock.now();
    if (ended.count > 0) {
        this->addChange(entry, 0, static_cast<std::int8_t>(-std::min(ended.count, kMaxToldEnds)));
        entry.otherEndedAt = now;
    }
    if (ended.good <= 0 && ended.failed <= 0) {
        return;
    }
    const double left = decay(now - entry.resultsAt, this->options.resultLifetime);
    entry.othersGood = entry.othersGood * left + std::clamp(ended.good, 0, kMaxToldEnds);
    entry.othersFailed = entry.othersFailed * left + std::clamp(ended.failed, 0, kMaxToldEnds);
    entry.resultsAt = now;
    if (ended.failed > 0) {
        if (entry.failureTeller != ended.instance) {
            entry.otherTellerAt = entry.failureToldAt;
            entry.failureTeller = ended.instance;
        }
        entry.failureToldAt = now;
    }
}

bool LoadEstimate::failsForOthers(const Entry &entry, TimePoint now) const
{
    if (entry.othersFailed == 0) {
        return false;
    }
    // One instance may have a broken link of its own.
    const bool haveTwoTold = entry.otherTellerAt != TimePoint{}
        && entry.failureToldAt - entry.otherTellerAt < this->options.resultLifetime;
    const double left = decay(now - entry.resultsAt, this->options.resultLifetime);
    return haveTwoTold && entry.othersFailed * left >= this->options.minFailures
        && entry.othersFailed
        > this->options.maxFailureShare * (entry.othersFailed + entry.othersGood);
}

bool LoadEstimate::isSilent(const Entry &entry, TimePoint now) const
{
    if (now - entry.report.seenAt < this->options.silence) {
        return false;
    }
    const auto unanswered =
        std::count_if(entry.changes.begin(), entry.changes.end(), [&](const Change &change) {
            return change.total > 0 && change.at > entry.report.seenAt
                && now - change.at > this->options.silence
                && now - change.at < this->options.silenceWindow;
        });
    return unanswered >= this->options.minUnanswered;
}

EndedRequests &LoadEstimate::endedEntry(std::uint32_t upstream)
{
    for (EndedRequests &known : this->endedToTell) {
        if (known.upstream == upstream) {
            return known;
        }
    }
    return this->endedToTell.emplace_back(EndedRequests{.upstream = upstream});
}

void LoadEstimate::onResult(std::uint32_t upstream, bool isGood)
{
    EndedRequests &entry = this->endedEntry(upstream);
    ++(isGood ? entry.good : entry.failed);
}

void LoadEstimate::takeEnded(std::vector<EndedRequests> &ended)
{
    const auto isKept = [this](const EndedRequests &item) {
        return item.count == 0 && item.failed == 0 && item.good < this->options.minGoodToTell;
    };
    std::copy_if(this->endedToTell.begin(), this->endedToTell.end(), std::back_inserter(ended),
                 [&](const EndedRequests &item) { return !isKept(item); });
    std::erase_if(this->endedToTell, [&](const EndedRequests &item) { return !isKept(item); });
}

int LoadEstimate::inFlight(std::uint32_t upstream) const
{
    const Entry *entry = this->find(upstream);
    return entry ? entry->inFlight : 0;
}

double LoadEstimate::checkedPace(double pace)
{
    const bool isPace = std::isfinite(pace) && pace > 0;
    const double checked =
        isPace ? std::clamp(pace, this->options.minPace, this->options.maxPace) : 0;
    this->invalid += isPace && checked == pace ? 0 : 1;
    return checked;
}

void LoadEstimate::setReport(Entry &entry, const PeerLoadReport &report)
{
    entry.report = report;
    entry.logReportedPace = report.pace > 0 ? std::log(report.pace) : 0;
    entry.isReported = true;
}

bool LoadEstimate::isMaterial(const Entry &entry) const
{
    const PeerLoadReport &now = entry.report;
    const PeerLoadReport &told = entry.told;
    if (!entry.isTold || now.seenAt - told.seenAt >= this->options.refreshInterval) {
        return true;
    }
    const int change = std::abs(now.running + now.waiting - told.running - told.waiting);
    const double minChange = std::max(1.0, this->options.materialChange * now.slots);
    return change >= minChange || now.slots != told.slots
        || std::abs(now.pace - told.pace) >= this->options.materialChange * told.pace + 1e-9;
}

void LoadEstimate::onSample(std::uint32_t upstream, const LoadSample &sample)
{
    Entry &entry = this->entries[upstream];
    PeerLoadReport report;
    report.upstream = upstream;
    report.running = std::max(0, sample.running);
    report.waiting = std::max(0, sample.waiting);
    report.slots = std::max(0, sample.slots);
    report.pace = sample.pace ? this->checkedPace(*sample.pace) : 0;
    report.seenAt = this->clock.now();
    LoadEstimate::setReport(entry, report);
    if (!entry.isDue && this->isMaterial(entry)) {
        entry.isDue = true;
        this->due.push_back(upstream);
    }
}

void LoadEstimate::addMeasuredPace(Entry &entry, double pace)
{
    const double bounded = std::clamp(pace, this->options.minPace, this->options.maxPace);
    const double before = this->measuredLogPace(entry);
    entry.logMeasuredPace = before + this->options.paceSmoothing * (std::log(bounded) - before);
    entry.measuredAt = this->clock.now();
}

double LoadEstimate::measuredLogPace(const Entry &entry) const
{
    if (entry.logMeasuredPace == 0) {
        return 0;
    }
    return entry.logMeasuredPace
        * decay(this->clock.now() - entry.measuredAt, this->options.measuredPaceLifetime);
}

void LoadEstimate::onServiceTime(std::uint32_t upstream, double ratio)
{
    if (!std::isfinite(ratio) || ratio <= 0) {
        return;
    }
    Entry &entry = this->entries[upstream];
    // What the upstream says of its pace explains its part of the ratio.
    const double reported = entry.report.pace > 0 ? entry.report.pace : 1;
    entry.newMeasuredPace = 1 / (ratio * reported);
    this->addMeasuredPace(entry, entry.newMeasuredPace);
}

bool LoadEstimate::applyReport(const PeerLoadReport &report)
{
    Entry &entry = this->entries[report.upstream];
    if (report.measuredPace > 0) {
        this->addMeasuredPace(entry, report.measuredPace);
    }
    if (entry.isTold && report.seenAt <= entry.told.seenAt) {
        return false;
    }
    PeerLoadReport checked = report;
    checked.pace = report.pace == 0 ? 0 : this->checkedPace(report.pace);
    entry.told = checked;
    entry.isTold = true;
    if (!entry.isReported || checked.seenAt > entry.report.seenAt) {
        LoadEstimate::setReport(entry, checked);
    }
    return true;
}

void LoadEstimate::takeReports(std::vector<PeerLoadReport> &reports)
{
    for (const std::uint32_t upstream : this->due) {
        const auto found = this->entries.find(upstream);
        if (found == this->entries.end()) {
            continue;
        }
        Entry &entry = found->second;
        entry.isDue = false;
        if (!this->isMaterial(entry)) {
            continue; // Another instance has told the same meanwhile.
        }
        entry.told = entry.report;
        entry.isTold = true;
        reports.push_back(entry.report);
        reports.back().measuredPace = entry.newMeasuredPace;
        entry.newMeasuredPace = 0;
    }
    this->due.clear();
}

double LoadEstimate::significantLogPace(const Entry &entry) const
{
    const double measured = this->measuredLogPace(entry);
    const double excess = std::max(0.0, std::abs(measured) - this->options.paceNoise);
    return std::copysign(excess, measured);
}

double LoadEstimate::pace(const Entry &entry, TimePoint now) const
{
    double logPace = this->significantLogPace(entry);
    const Duration age = now - entry.report.seenAt;
    if (entry.logReportedPace != 0 && age < this->options.paceLifetime) {
        logPace +=
            entry.logReportedPace * (1 - toSeconds(age) / toSeconds(this->options.paceLifetime));
    }
    return logPace == 0
        ? 1
        : std::clamp(std::exp(logPace), this->options.minPace, this->options.maxPace);
}

double LoadEstimate::expectedRequests(const Entry &entry, double endedShare) const
{
    const Changes since = this->changesSince(entry, entry.report.seenAt);
    const double reported = entry.report.running + entry.report.waiting;
    // The ends of this instance's requests are known, those of others are expected.
    const double ofOthers = std::max(0.0, reported - (entry.inFlight - since.own));
    return std::max<double>(entry.inFlight, reported - endedShare * ofOthers + since.total);
}

void LoadEstimate::estimate(std::span<UpstreamLoad> loads, Duration holdTime,
                            int liveInstances) const
{
    const TimePoint now = this->clock.now();
    const bool hasOthers = liveInstances > 1;
    this->known.clear();
    bool isTold = false; // Whether other instances tell of their requests, and of the ends.
    bool areEndsTold = false;
    for (const UpstreamLoad &load : loads) {
        const Entry *entry = this->find(load.upstream);
        this->known.push_back({entry, 0});
        if (entry) {
            isTold = isTold || now - entry->otherSentAt < this->options.toldInterval;
            areEndsTold = areEndsTold || now - entry->otherEndedAt < this->options.toldInterval;
        }
    }
    double requests = 0; // Of upstreams with reports, fresh ones first.
    double capacity = 0;
    for (std::size_t index = 0; index < loads.size(); ++index) {
        UpstreamLoad &load = loads[index];
        auto &[entry, left] = this->known[index];
        load.requests = entry ? entry->inFlight : 0;
        load.pace = entry ? this->pace(*entry, now) : 1;
        load.failsForOthers = entry && this->failsForOthers(*entry, now);
        load.isReported = entry && entry->isReported;
        load.age = this->options.unknownAge;
        if (load.isReported) {
            load.age = std::max(now - entry->report.seenAt, this->options.minAge);
            left = decay(load.age, holdTime);
            load.requests =
                this->expectedRequests(*entry, hasOthers && !areEndsTold ? 1 - left : 0);
            requests += left * load.requests;
            capacity += left * load.capacity();
        }
    }
    const double perSecond = 1 / std::max(toSeconds(holdTime), toSeconds(this->options.minAge));
    const double meanPerSlot = capacity > 0 ? requests / capacity : 0;
    for (std::size_t index = 0; hasOthers && index < loads.size(); ++index) {
        UpstreamLoad &load = loads[index];
        const double left = this->known[index].left;
        const bool isArrivalSeen = isTold && load.isReported;
        double mean = load.requests;
        if (capacity > 0) {
            // That others are full is no reason to take this one for full.
            mean = std::min(meanPerSlot * load.capacity(), load.slots - 1.0);
        } else if (!load.isReported) {
            mean = load.requests * liveInstances;
        }
        if (!isArrivalSeen) {
            // What has ended is expected to have been replaced.
            load.requests =
                load.isReported ? load.requests + (1 - left) * mean : std::max(load.requests, mean);
        }
        const Entry *entry = this->known[index].entry;
        load.isSilent = capacity > 0 && entry && this->isSilent(*entry, now);
        // Little's law.
        const double toldLate = std::min(1.0, toSeconds(this->options.tellingTime) * perSecond);
        const double unseen = std::min(1.0, toSeconds(load.age) * perSecond);
        load.unseenArrivals = mean * (isArrivalSeen ? toldLate : unseen);
        load.uncertainty =
            std::sqrt(load.unseenArrivals
                      + load.requests * (areEndsTold && load.isReported ? toldLate : 1 - left));
    }
}

void LoadEstimate::expire()
{
    const TimePoint oldest = this->clock.now() - this->options.retention;
    std::erase_if(this->entries, [&](const auto &item) {
        const Entry &entry = item.second;
        return entry.inFlight == 0 && entry.report.seenAt < oldest && entry.measuredAt < oldest;
    });
}

} // namespace basilnotch
