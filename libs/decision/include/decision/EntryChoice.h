// Which instances a caller is told to use.
//
// Answers the pattern of a large fleet of unequal instances: spread over all of them, each instance
// hears so little of the engines that it decides on stale beliefs, and most traffic crosses failure
// domains. Callers get the strong instances of their own failure domain and a few elsewhere; the
// others are the reserve that takes over as soon as the strong ones are gone.
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
    int capacity = 0; ///< Thousandths of a processor; 0 when it does not say.
};

struct EntryChoiceOptions
{
    /// Up to so many instances, callers get all of them: each hears enough.
    std::size_t fullListMaxInstances = 16;
    /// Of the strongest one's capacity, which makes an instance a strong one.
    double strongPart = 0.5;
    /// Of the fleet's capacity, which the strong ones must have to carry the traffic.
    double enoughCapacity = 0.3;
    /// Named of the own failure domain at least, strong or not, if there are so many: one or two
    /// may be lost while a caller keeps its answer.
    std::size_t leastInDomain = 3;
    /// Of the addresses, which lie in other failure domains, for when the own one is lost.
    double elsewhere = 0.25;
    std::size_t mostNamed = 64; ///< Callers read no more.
};

/// Indices of `candidates` for a caller in `failureDomain`, in random order.
std::vector<std::size_t> chooseEntries(std::span<const EntryCandidate> candidates,
                                       std::string_view failureDomain, std::mt19937_64 &random,
                                       const EntryChoiceOptions &options = {});

} // namespace basilnotch
