// Round-robin and least-in-flight routing: the baselines against which Router is measured.
#pragma once

#include <decision/Router.h>

namespace basilnotch {

enum class SimpleRule { RoundRobin, LeastInFlight };

/// Ignores slots: dispatches at once to any upstream that serves the version. Not thread-safe.
class SimplePolicy final : public RoutingPolicy
{
public:
    SimplePolicy(SimpleRule rule, std::vector<UpstreamInfo> upstreams, std::uint64_t seed);

    VersionId versionId(const ModelVersion &version) override;
    void applyReport(UpstreamIndex upstream, const LoadReport &report) override;
    void applyCacheEvent(UpstreamIndex, std::uint64_t, int) override { }
    void setLeaving(UpstreamIndex upstream, bool leaving) override;
    std::optional<RouteChoice> choose(const RouteQuery &query) override;
    bool isServed(VersionId version) const override;
    void onDispatched(const RouteChoice &choice, const RouteQuery &query) override;
    void onFirstToken(const RouteChoice &, Duration) override { }
    void onEnded(const RouteChoice &choice, CompletionStatus end, Duration took) override;
    std::vector<RouteExplanation> explain(const RouteQuery &query) const override;

private:
    struct Upstream
    {
        std::uint64_t loaded = 0;
        bool leaving = false;
        int inFlight = 0;
    };
    bool isUsable(std::size_t index, VersionId version) const;

    const SimpleRule rule;
    std::vector<UpstreamInfo> infos;
    std::vector<Upstream> upstreams;
    std::vector<ModelVersion> versions;
    std::size_t lastIndex;
};

} // namespace basilnotch
