// Selects by a partial sort over hashes, in linear time.
#include <decision/CanaryGroup.h>

#include <base/Hash.h>

#include <algorithm>
#include <cmath>

namespace basilnotch {

std::size_t canaryCount(std::size_t newUpstreams, std::size_t oldUpstreams, double share)
{
    const double wanted = std::floor(share * static_cast<double>(oldUpstreams));
    const auto atLeastOne = static_cast<std::size_t>(std::max(1.0, wanted));
    return std::min(newUpstreams, atLeastOne);
}

void selectCanaries(std::vector<UpstreamRef> *upstreams, std::size_t count, std::uint64_t seed)
{
    if (count >= upstreams->size()) {
        return;
    }
    const auto isBefore = [seed](const UpstreamRef &left, const UpstreamRef &right) {
        return hash64(left->id, seed) < hash64(right->id, seed);
    };
    const auto end = upstreams->begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(upstreams->begin(), end, upstreams->end(), isBefore);
    upstreams->erase(end, upstreams->end());
}

} // namespace basilnotch
