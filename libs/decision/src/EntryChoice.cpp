// Callers choose uniformly among the addresses, so the number of addresses of each kind determines
// its share of the traffic.
#include <decision/EntryChoice.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace basilnotch {

namespace {

using Indices = std::vector<std::size_t>;

/// Capacity from which an instance counts as high-capacity; 0 if the instances above the threshold
/// could not carry the traffic, so that all count alike.
int capacityThreshold(std::span<const EntryCandidate> candidates, const EntryChoiceOptions &options)
{
    double total = 0;
    int strongest = 0;
    for (const EntryCandidate &candidate : candidates) {
        total += candidate.capacity;
        strongest = std::max(strongest, candidate.capacity);
    }
    const int threshold = static_cast<int>(std::ceil(options.minCapacityRatio * strongest));
    double strongTotal = 0;
    for (const EntryCandidate &candidate : candidates) {
        strongTotal += candidate.capacity >= threshold ? candidate.capacity : 0;
    }
    return strongTotal >= options.minStrongCapacityShare * total ? threshold : 0;
}

} // namespace

std::vector<std::size_t> chooseEntries(std::span<const EntryCandidate> candidates,
                                       std::string_view failureDomain, std::mt19937_64 &random,
                                       const EntryChoiceOptions &options)
{
    Indices shuffled(candidates.size());
    std::iota(shuffled.begin(), shuffled.end(), std::size_t{0});
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    const int threshold = capacityThreshold(candidates, options);
    Indices selected;
    Indices weakLocal;
    Indices elsewhere;
    for (const std::size_t index : shuffled) {
        const EntryCandidate &candidate = candidates[index];
        const bool isStrong = candidate.capacity >= threshold;
        const bool isLocal = candidate.failureDomain == failureDomain;
        if (isLocal) {
            (isStrong ? selected : weakLocal).push_back(index);
        } else if (isStrong) {
            elsewhere.push_back(index);
        }
    }
    while (selected.size() < options.minInOwnDomain && !weakLocal.empty()) {
        selected.push_back(weakLocal.back());
        weakLocal.pop_back();
    }
    const bool selectsAll = candidates.size() <= options.fullListMaxInstances || selected.empty();
    if (selectsAll) {
        selected = std::move(shuffled);
    } else {
        const double ratio = options.otherDomainShare / (1 - options.otherDomainShare);
        const auto wanted =
            static_cast<std::size_t>(std::ceil(ratio * static_cast<double>(selected.size())));
        const std::size_t count = std::min(wanted, elsewhere.size());
        selected.insert(selected.end(), elsewhere.begin(),
                        elsewhere.begin() + static_cast<std::ptrdiff_t>(count));
    }
    selected.resize(std::min(selected.size(), options.maxEntries));
    return selected;
}

} // namespace basilnotch
