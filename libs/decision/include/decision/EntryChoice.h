// Selects the instances whose addresses a caller receives.
//
// In a large fleet of unequal instances, traffic that is spread over all of them gives each
// instance too few engine reports, so it routes on stale load data, and most traffic crosses
// failure domains. Callers therefore receive the high-capacity instances of their own failure
// domain and a few of other domains. The remaining instances take over when the high-capacity ones
// are lost.
#pragma once

#include <cstddef>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace basilnotch {

/// A live instance that callers may use.
struct EntryCandidate
{
    std::string_view failureDomain;
    int capacity = 0; ///< Thousandths of a processor; 0 if not announced.
};

struct EntryChoiceOptions
{
    /// Callers receive all instances of a fleet up to this size: each of them then gets enough
    /// engine reports.
    std::size_t fullListMaxInstances = 16;
    /// Share of the largest capacity from which an instance counts as high-capacity.
    double minCapacityRatio = 0.5;
    /// Share of the fleet's capacity that the high-capacity instances must have in total to carry
    /// the traffic alone.
    double minStrongCapacityShare = 0.3;
    /// Minimum number of instances of the caller's own failure domain, regardless of capacity, if
    /// that many exist: one or two may fail while a caller still uses an earlier answer.
    std::size_t minInOwnDomain = 3;
    /// Share of the addresses in other failure domains, in case the caller's own domain is lost.
    double otherDomainShare = 0.25;
    std::size_t maxEntries = 64; ///< Callers ignore further addresses.
};

/// Returns indices into `candidates` for a caller in `failureDomain`, in random order; empty only
/// if there are no candidates.
std::vector<std::size_t> chooseEntries(std::span<const EntryCandidate> candidates,
                                       std::string_view failureDomain, std::mt19937_64 &random,
                                       const EntryChoiceOptions &options = {});

} // namespace basilnotch
