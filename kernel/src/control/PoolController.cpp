// Lease times of different instances are never compared. A contender waits until the row has been
// unchanged for the lease duration by its own clock; the holder measures from before its own write.
#include "PoolController.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace basilnotch {

namespace {

constexpr int kMaxConcurrentLoads = 2; // Counted per pool; limit of the weight store.

std::string encodeLease(const LeaseRow &row)
{
    return nlohmann::json{{"holder", row.holder}, {"fence", row.fence}}.dump();
}

LeaseRow decodeLease(const std::string &text)
{
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return {};
    }
    return {object.value("holder", ""), object.value("fence", std::uint64_t{0})};
}

} // namespace

PoolLease::PoolLease(std::string pool, std::string self, const TimingSettings &timing,
                     bool allEnginesCheckFencing)
    : key("lease/" + std::move(pool))
    , self(std::move(self))
    , timing(timing)
    , allEnginesCheckFencing(allEnginesCheckFencing)
{ }

Duration PoolLease::takeoverDelay() const
{
    const Duration expiryDelay = this->timing.poolLease + this->timing.clockError;
    return this->allEnginesCheckFencing ? expiryDelay : expiryDelay + this->timing.longestOrder;
}

bool PoolLease::isValid(TimePoint now) const
{
    return this->held && now + this->timing.clockError < this->heldUntil;
}

void PoolLease::writeLease(TableService &table, const Clock &clock, std::uint64_t expectedVersion,
                           std::uint64_t fence)
{
    const TimePoint before = clock.now();
    const LeaseRow wanted{this->self, fence};
    const auto written = table.writeOne({this->key, encodeLease(wanted), expectedVersion});
    if (!written.ok()) {
        return; // The outcome is unknown; a later call writes or reads the row again.
    }
    this->row = decodeLease(written->row.value);
    if (written->row.version != this->rowVersion) {
        this->rowVersion = written->row.version;
        this->versionSeenAt = clock.now();
    }
    this->held = written->applied;
    if (this->held) {
        this->heldUntil = before + this->timing.poolLease;
    }
}

void PoolLease::acquireOrRenew(TableService &table, const Clock &clock)
{
    const Duration renewBefore = this->timing.poolLease / 2;
    if (this->held && clock.now() + renewBefore < this->heldUntil) {
        return;
    }
    if (this->held && clock.now() < this->heldUntil) {
        this->writeLease(table, clock, this->rowVersion, this->row.fence);
        return;
    }
    this->held = false;
    const auto found = table.read(this->key);
    if (absl::IsNotFound(found.status())) {
        this->writeLease(table, clock, 0, 1);
        return;
    }
    if (!found.ok()) {
        return;
    }
    this->row = decodeLease(found->value);
    if (found->version != this->rowVersion) {
        this->rowVersion = found->version;
        this->versionSeenAt = clock.now();
        return;
    }
    if (clock.now() - this->versionSeenAt >= this->takeoverDelay()) {
        this->writeLease(table, clock, this->rowVersion, this->row.fence + 1);
    }
}

std::vector<ModelVersion> wantedVersions(const Rules &rules, const std::vector<std::string> &models,
                                         const std::vector<ModelVersion> &loaded)
{
    std::set<ModelVersion> wanted;
    for (const std::string &model : models) {
        if (const auto current = rules.currentVersion(model)) {
            wanted.insert({model, *current});
        }
        if (const RolloutRule *rollout = rules.findRollout(model)) {
            wanted.insert({model, rollout->from});
            wanted.insert({model, rollout->to});
        }
    }
    for (const ModelVersion &version : loaded) {
        if (rules.findModel(version)) {
            wanted.insert(version);
        }
    }
    std::erase_if(wanted, [&](const ModelVersion &version) { return rules.isWithdrawn(version); });
    return {wanted.begin(), wanted.end()};
}

PoolController::PoolController(const Settings &settings, std::string incarnation,
                               TableService &table, UpstreamPoller &poller, const Clock &clock,
                               Metrics &metrics)
    : settings(settings)
    , table(table)
    , poller(poller)
    , clock(clock)
    , orders(metrics.counter("pool_orders_total"))
    , ordersRefused(metrics.counter("pool_orders_refused_total"))
{
    for (const UpstreamSettings &upstream : settings.upstreams) {
        if (upstream.models.empty()) {
            continue;
        }
        const bool all = std::all_of(settings.upstreams.begin(), settings.upstreams.end(),
                                     [&](const UpstreamSettings &other) {
                                         return other.models.empty() || other.pool != upstream.pool
                                             || other.checksFencing;
                                     });
        this->leases.try_emplace(upstream.pool, upstream.pool, incarnation, settings.timing, all);
    }
}

void PoolController::orderEngines(const std::string &pool, PoolLease &lease, const Rules &rules)
{
    int loadingCount = 0;
    for (std::size_t index = 0; index < this->settings.upstreams.size(); ++index) {
        if (this->settings.upstreams[index].pool == pool) {
            loadingCount += this->poller.status(static_cast<UpstreamIndex>(index)).loading;
        }
    }
    for (std::size_t index = 0; index < this->settings.upstreams.size(); ++index) {
        const UpstreamSettings &upstream = this->settings.upstreams[index];
        const UpstreamStatus &status = this->poller.status(static_cast<UpstreamIndex>(index));
        if (upstream.pool != pool || upstream.models.empty() || !status.known
            || status.report.leaving || status.loading > 0) {
            continue;
        }
        const std::vector<ModelVersion> wanted =
            wantedVersions(rules, upstream.models, status.report.loaded);
        const std::set<ModelVersion> loaded(status.report.loaded.begin(),
                                            status.report.loaded.end());
        const auto missing =
            std::count_if(wanted.begin(), wanted.end(),
                          [&](const ModelVersion &version) { return !loaded.contains(version); });
        const bool upToDate = missing == 0 && wanted.size() == loaded.size();
        if (upToDate
            || (missing > 0 && loadingCount + missing > kMaxConcurrentLoads && loadingCount > 0)
            || !lease.isValid(this->clock.now())) {
            continue;
        }
        loadingCount += static_cast<int>(missing);
        const absl::Status ordered = this->poller.adapter(static_cast<UpstreamIndex>(index))
                                         .order(upstream, {lease.fence(), wanted});
        (ordered.ok() ? this->orders : this->ordersRefused).add();
    }
}

void PoolController::runRound(const Rules &rules)
{
    if (rules.version == 0) {
        // No rules have been accepted yet. Orders from the empty catalogue would unload all
        // engines.
        return;
    }
    for (auto &[pool, lease] : this->leases) {
        const bool before = lease.isValid(this->clock.now());
        lease.acquireOrRenew(this->table, this->clock);
        const bool now = lease.isValid(this->clock.now());
        if (before != now) {
            LOG(INFO) << "pool " << pool << ": " << (now ? "lease acquired" : "lease lost")
                      << ", fence " << lease.fence();
        }
        if (now) {
            this->orderEngines(pool, lease, rules);
        }
    }
}

} // namespace basilnotch
