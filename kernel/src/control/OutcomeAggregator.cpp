// Every instance gossips the full values of its counters. They only grow, so that the next message
// replaces a lost one and no event is counted twice.
#include "OutcomeAggregator.h"

#include "PeerPayloads.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <numeric>
#include <utility>

namespace basilnotch {

namespace {

constexpr std::string_view kHoldPrefix = "hold/";
constexpr int kHoldsPerPage = 1000;
constexpr Duration kRatingsOutageDuration = std::chrono::seconds(10);

std::uint64_t countsVersion(const VersionCounts &counts)
{
    std::int64_t sum = counts.requests + counts.errors + counts.crashes;
    for (const auto &[stratum, item] : counts.rated) {
        sum += item.rated;
    }
    return static_cast<std::uint64_t>(sum);
}

std::uint64_t qualityVersion(const QualityStats::Table &table)
{
    return std::accumulate(
        table.begin(), table.end(), std::uint64_t{0}, [](std::uint64_t sum, const auto &item) {
            return sum + static_cast<std::uint64_t>(item.second.runs + item.second.rated);
        });
}

} // namespace

OutcomeAggregator::OutcomeAggregator(std::string self, Gossip &gossip, TableService &table,
                                     const Clock &clock, Metrics &metrics)
    : self(std::move(self))
    , gossip(gossip)
    , table(table)
    , clock(clock)
    , quality(this->self)
    , holds(metrics.counter("rollout_holds_total"))
{ }

void OutcomeAggregator::observe(const Observation &observation)
{
    if (const auto *run = std::get_if<ModelRunObservation>(&observation)) {
        QualityCounts &counts = this->quality.own(run->key);
        ++counts.runs;
        counts.finished += run->finished ? 1 : 0;
        counts.promptTokens += run->promptTokens;
        counts.outputTokens += run->outputTokens;
    } else if (const auto *ended = std::get_if<UpstreamRunObservation>(&observation)) {
        VersionCounts &version = this->ownCounts[ended->version];
        ++version.requests;
        version.errors += ended->end == CompletionStatus::Failed ? 1 : 0;
        version.crashes += ended->end == CompletionStatus::Crashed ? 1 : 0;
    } else if (const auto *rating = std::get_if<RatingObservation>(&observation)) {
        QualityCounts &counts = this->quality.own(rating->key);
        ++counts.rated;
        counts.good += rating->good ? 1 : 0;
        RatedCounts &rated =
            this->ownCounts[rating->version].rated[{rating->key.task, rating->key.longPrompt}];
        ++rated.rated;
        rated.good += rating->good ? 1 : 0;
        this->ratingsFailedAt.reset();
    } else if (std::holds_alternative<RatingsUnavailableObservation>(observation)) {
        this->ratingsFailedAt = this->clock.now();
    }
}

bool OutcomeAggregator::ratingsAvailable() const
{
    return !this->ratingsFailedAt
        || this->clock.now() - *this->ratingsFailedAt > kRatingsOutageDuration;
}

void OutcomeAggregator::applyRumors()
{
    RumorStore &store = this->gossip.store();
    const auto isNew = [this](const Rumor &rumor) {
        std::uint64_t &applied = this->appliedVersions[rumor.id];
        return std::exchange(applied, rumor.version) != rumor.version;
    };
    store.forEach(RumorKind::Verdict, [&](const Rumor &rumor) {
        if (!isNew(rumor)) {
            return;
        }
        const std::size_t separator = rumor.id.name.find('/');
        ModelVersion version;
        if (separator == std::string::npos
            || !parseModelVersion(std::string_view(rumor.id.name).substr(separator + 1),
                                  &version)) {
            return;
        }
        const std::string instance = rumor.id.name.substr(0, separator);
        const auto counts = decodeCounts(rumor.payload);
        if (instance != this->self && counts.ok()) {
            this->peerCounts[version][instance].merge(*counts);
        }
    });
    store.forEach(RumorKind::Quality, [&](const Rumor &rumor) {
        if (!isNew(rumor)) {
            return;
        }
        const auto table = decodeQuality(rumor.payload);
        if (table.ok()) {
            this->quality.merge(rumor.id.name, *table);
        }
    });
    store.forEach(RumorKind::Hold,
                  [&](const Rumor &rumor) { this->heldRolloutKeys.insert(rumor.id.name); });
}

void OutcomeAggregator::publishCounts()
{
    for (const auto &[version, counts] : this->ownCounts) {
        const std::string name = this->self + "/" + formatModelVersion(version);
        const std::uint64_t number = countsVersion(counts);
        if (this->publishedVersions[name] != number) {
            this->publishedVersions[name] = number;
            this->gossip.tell({{RumorKind::Verdict, name}, number, encodeCounts(counts)});
        }
    }
}

void OutcomeAggregator::publishQuality()
{
    const std::uint64_t number = qualityVersion(this->quality.ownTable());
    if (this->publishedVersions["quality"] != number) {
        this->publishedVersions["quality"] = number;
        this->gossip.tell(
            {{RumorKind::Quality, this->self}, number, encodeQuality(this->quality.ownTable())});
    }
}

VersionCounts OutcomeAggregator::totals(const ModelVersion &version) const
{
    VersionCounts sum;
    if (const auto ownEntry = this->ownCounts.find(version); ownEntry != this->ownCounts.end()) {
        sum.add(ownEntry->second);
    }
    if (const auto byInstance = this->peerCounts.find(version);
        byInstance != this->peerCounts.end()) {
        for (const auto &[instance, counts] : byInstance->second) {
            sum.add(counts);
        }
    }
    return sum;
}

void OutcomeAggregator::holdRollout(const std::string &key, const std::string &reason)
{
    if (!this->heldRolloutKeys.insert(key).second) {
        return;
    }
    this->holds.add();
    LOG(WARNING) << "roll-out " << key << " held: " << reason;
    this->unstoredHolds[key] = reason;
    this->gossip.tell({{RumorKind::Hold, key}, 1, reason});
}

bool OutcomeAggregator::evaluateRollouts(const Rules &rules)
{
    const std::size_t before = this->heldRolloutKeys.size();
    for (const RolloutRule &rule : rules.rollouts) {
        const std::string key = rule.key();
        if (this->heldRolloutKeys.contains(key)) {
            continue;
        }
        std::unique_ptr<RolloutGuard> &guard = this->guards[key];
        if (!guard) {
            guard = std::make_unique<RolloutGuard>(rule, RolloutGuardOptions{});
        }
        const auto reason = guard->update(this->totals({rule.model, rule.from}),
                                          this->totals({rule.model, rule.to}));
        if (reason) {
            this->holdRollout(key, reason->text);
        }
    }
    return this->heldRolloutKeys.size() > before;
}

absl::Status OutcomeAggregator::loadRolloutHolds()
{
    const auto rows = this->table.list(kHoldPrefix, "", kHoldsPerPage);
    if (!rows.ok()) {
        return rows.status();
    }
    for (const TableRow &row : *rows) {
        const std::string key = row.key.substr(kHoldPrefix.size());
        this->heldRolloutKeys.insert(key);
        this->gossip.tell({{RumorKind::Hold, key}, 1, row.value});
    }
    return absl::OkStatus();
}

void OutcomeAggregator::storeRolloutHolds()
{
    const std::map<std::string, std::string> waiting = this->unstoredHolds;
    for (const auto &[key, reason] : waiting) {
        if (this->table.writeOne({std::string(kHoldPrefix) + key, reason, 0}).ok()) {
            this->unstoredHolds.erase(key);
        }
    }
}

CascadePlan OutcomeAggregator::plan(const Rules &rules) const
{
    return this->planner.plan(rules, this->quality.totals(), this->ratingsAvailable());
}

} // namespace basilnotch
