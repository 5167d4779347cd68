// Both rules share one class, since they differ only in whether in-flight counts are compared.
#include <decision/SimplePolicies.h>

#include <algorithm>

namespace basilnotch {

SimplePolicy::SimplePolicy(SimpleRule rule, std::vector<UpstreamInfo> given, std::uint64_t seed)
    : rule(rule)
    , infos(std::move(given))
    , upstreams(this->infos.size())
    , lastIndex(seed % std::max<std::size_t>(1, this->infos.size()))
{ }

VersionId SimplePolicy::versionId(const ModelVersion &version)
{
    const auto found = std::find(this->versions.begin(), this->versions.end(), version);
    if (found != this->versions.end()) {
        return static_cast<VersionId>(found - this->versions.begin());
    }
    if (this->versions.size() >= kMaxVersions) {
        return kNoVersion;
    }
    this->versions.push_back(version);
    return static_cast<VersionId>(this->versions.size() - 1);
}

void SimplePolicy::applyReport(UpstreamIndex index, const LoadReport &report)
{
    Upstream &upstream = this->upstreams[static_cast<std::size_t>(index)];
    upstream.leaving = upstream.leaving || report.leaving;
    upstream.loaded = 0;
    for (const ModelVersion &version : report.loaded) {
        const VersionId id = this->versionId(version);
        upstream.loaded |= id == kNoVersion ? 0 : std::uint64_t{1} << id;
    }
}

void SimplePolicy::setLeaving(UpstreamIndex upstream, bool leaving)
{
    this->upstreams[static_cast<std::size_t>(upstream)].leaving = leaving;
}

bool SimplePolicy::isUsable(std::size_t index, VersionId version) const
{
    const Upstream &upstream = this->upstreams[index];
    return version != kNoVersion && !upstream.leaving && (upstream.loaded >> version & 1) != 0;
}

std::optional<RouteChoice> SimplePolicy::choose(const RouteQuery &query)
{
    std::optional<RouteChoice> choice;
    const std::size_t count = this->upstreams.size();
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t index = (this->lastIndex + 1 + step) % count;
        const bool avoided = static_cast<UpstreamIndex>(index) == query.avoid
            || (!query.avoidDomain.empty()
                && this->infos[index].failureDomain == query.avoidDomain);
        if (avoided || !this->isUsable(index, query.version)) {
            continue;
        }
        const bool better = !choice
            || this->upstreams[index].inFlight
                < this->upstreams[static_cast<std::size_t>(choice->upstream)].inFlight;
        if (better) {
            choice = RouteChoice{static_cast<UpstreamIndex>(index), {}, 0};
        }
        if (this->rule == SimpleRule::RoundRobin) {
            break;
        }
    }
    return choice;
}

bool SimplePolicy::isServed(VersionId version) const
{
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        if (this->isUsable(index, version)) {
            return true;
        }
    }
    return false;
}

void SimplePolicy::onDispatched(const RouteChoice &choice, const RouteQuery &)
{
    ++this->upstreams[static_cast<std::size_t>(choice.upstream)].inFlight;
    this->lastIndex = static_cast<std::size_t>(choice.upstream);
}

void SimplePolicy::onEnded(const RouteChoice &choice, CompletionStatus, Duration)
{
    --this->upstreams[static_cast<std::size_t>(choice.upstream)].inFlight;
}

std::vector<RouteExplanation> SimplePolicy::explain(const RouteQuery &query) const
{
    std::vector<RouteExplanation> reasons;
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        const bool candidate = this->isUsable(index, query.version);
        reasons.push_back({static_cast<UpstreamIndex>(index),
                           candidate ? "candidate" : "leaving or without this version",
                           {}});
    }
    return reasons;
}

} // namespace basilnotch
