// The latency oracle: the product's score, fed with the true state of every engine at each choice.
#pragma once

#include <decision/Router.h>

#include <functional>
#include <memory>

namespace basilnotch::bench {

class OraclePolicy final : public RoutingPolicy
{
public:
    /// `refresh` applies true reports to the policy that it is given.
    OraclePolicy(std::unique_ptr<RoutingPolicy> inner, std::function<void(RoutingPolicy &)> refresh)
        : inner(std::move(inner))
        , refresh(std::move(refresh))
    { }
    VersionId versionId(const ModelVersion &version) override
    {
        return this->inner->versionId(version);
    }
    void applyReport(UpstreamIndex, const LoadReport &) override { }
    void applyCacheEvent(UpstreamIndex upstream, std::uint64_t hash, int tokens) override
    {
        this->inner->applyCacheEvent(upstream, hash, tokens);
    }
    void setLeaving(UpstreamIndex upstream, bool leaving) override
    {
        this->inner->setLeaving(upstream, leaving);
    }
    std::optional<RouteChoice> choose(const RouteQuery &query) override;
    bool isServed(VersionId version) const override { return this->inner->isServed(version); }
    void onDispatched(const RouteChoice &choice, const RouteQuery &query) override
    {
        this->inner->onDispatched(choice, query);
    }
    void onFirstToken(const RouteChoice &choice, Duration took) override
    {
        this->inner->onFirstToken(choice, took);
    }
    void onEnded(const RouteChoice &choice, CompletionStatus end, Duration took) override
    {
        this->inner->onEnded(choice, end, took);
    }
    std::vector<RouteExplanation> explain(const RouteQuery &query) const override
    {
        return this->inner->explain(query);
    }

private:
    std::unique_ptr<RoutingPolicy> inner;
    std::function<void(RoutingPolicy &)> refresh;
};

} // namespace basilnotch::bench
