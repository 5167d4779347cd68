// Which upstreams of a new version serve its share of the traffic while a roll-out is under way.
//
// Answers the pattern of a version that fails only under load: a small share that is spread over as
// many new upstreams as there are old ones leaves each of them almost idle, and nothing shows. The
// share goes to so few of them that each runs about what an old upstream runs.
#pragma once

#include <upstreams/UpstreamList.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace basilnotch {

/// How many new upstreams carry `share` of the work at the load that `oldOnes` have: at least one
/// of `newOnes`, unless there is none.
std::size_t canaryCount(std::size_t newOnes, std::size_t oldOnes, double share);

/// Keeps the first `count` of `upstreams` by rendezvous hashing with `seed`, so that all instances
/// keep the same ones and a larger count only adds to them.
void selectCanaries(std::vector<UpstreamRef> *upstreams, std::size_t count, std::uint64_t seed);

} // namespace basilnotch
