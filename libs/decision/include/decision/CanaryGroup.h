// Selects the upstreams of a new version that serve its share of the traffic during a roll-out.
//
// A small share spread over as many new upstreams as there are old ones would leave each of them
// almost idle, and a version that fails only under load would show no failure. The share therefore
// goes to so few upstreams that each has about the load of an old one.
#pragma once

#include <upstreams/UpstreamList.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace basilnotch {

/// Number of new upstreams that carry `share` of the traffic at the load per upstream of the old
/// version: at least one, at most `newUpstreams`.
std::size_t canaryCount(std::size_t newUpstreams, std::size_t oldUpstreams, double share);

/// Keeps `count` of `upstreams`, selected by rendezvous hashing with `seed`: all instances select
/// the same ones, and a larger count only adds to them.
void selectCanaries(std::vector<UpstreamRef> *upstreams, std::size_t count, std::uint64_t seed);

} // namespace basilnotch
