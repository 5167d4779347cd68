// Callers pick among the addresses at random, so how many of each kind are named is what weighs.
#include <decision/EntryChoice.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace basilnotch {

namespace {

using Indices = std::vector<std::size_t>;

/// Least capacity of an instance that is named before others; 0 when all are alike.
int leastCapacity(std::span<const EntryCandidate> candidates, const EntryChoiceOptions &options)
{
    double total = 0;
    int strongest = 0;
    for (const EntryCandidate &candidate : candidates) {
        total += candidate.capacity;
        strongest = std::max(strongest, candidate.capacity);
    }
    const int bound = static_cast<int>(std::ceil(options.strongPart * strongest));
    double ofStrong = 0;
    for (const EntryCandidate &candidate : candidates) {
        ofStrong += candidate.capacity >= bound ? candidate.capacity : 0;
    }
    return ofStrong >= options.enoughCapacity * total ? bound : 0;
}

} // namespace

std::vector<std::size_t> chooseEntries(std::span<const EntryCandidate> candidates,
                                       std::string_view failureDomain, std::mt19937_64 &random,
                                       const EntryChoiceOptions &options)
{
    Indices shuffled(candidates.size());
    std::iota(shuffled.begin(), shuffled.end(), std::size_t{0});
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    const int bound = leastCapacity(candidates, options);
    Indices named;
    Indices weakInDomain;
    Indices elsewhere;
    for (const std::size_t index : shuffled) {
        const EntryCandidate &candidate = candidates[index];
        const bool isStrong = candidate.capacity >= bound;
        const bool isNear = candidate.failureDomain == failureDomain;
        if (isNear) {
            (isStrong ? named : weakInDomain).push_back(index);
        } else if (isStrong) {
            elsewhere.push_back(index);
        }
    }
    while (named.size() < options.leastInDomain && !weakInDomain.empty()) {
        named.push_back(weakInDomain.back());
        weakInDomain.pop_back();
    }
    const bool namesAll = candidates.size() <= options.fullListMaxInstances || named.empty();
    if (namesAll) {
        named = std::move(shuffled);
    } else {
        const double ratio = options.elsewhere / (1 - options.elsewhere);
        const auto wanted =
            static_cast<std::size_t>(std::ceil(ratio * static_cast<double>(named.size())));
        const std::size_t count = std::min(wanted, elsewhere.size());
        named.insert(named.end(), elsewhere.begin(),
                     elsewhere.begin() + static_cast<std::ptrdiff_t>(count));
    }
    named.resize(std::min(named.size(), options.mostNamed));
    return named;
}

} // namespace basilnotch
