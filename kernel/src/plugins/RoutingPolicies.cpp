// Registers the routing policies: the default one and two simple ones that serve as baselines.
#include <kernel/Plugins.h>

#include <decision/SimplePolicies.h>

namespace basilnotch {

namespace {

const PolicyRegistration kExpectedDelay("expected-delay", [](const PolicyContext &context) {
    return std::make_unique<Router>(context.upstreams, context.failureDomain, context.options,
                                    *context.clock, context.seed);
});

const PolicyRegistration kRoundRobin("round-robin", [](const PolicyContext &context) {
    return std::make_unique<SimplePolicy>(SimpleRule::RoundRobin, context.upstreams, context.seed);
});

const PolicyRegistration kLeastInFlight("least-in-flight", [](const PolicyContext &context) {
    return std::make_unique<SimplePolicy>(SimpleRule::LeastInFlight, context.upstreams,
                                          context.seed);
});

} // namespace

} // namespace basilnotch
