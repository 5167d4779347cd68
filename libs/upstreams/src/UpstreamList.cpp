// Groups upstreams once, when the list is made.
#include <upstreams/UpstreamList.h>

#include <algorithm>

namespace basilnotch {

UpstreamList::UpstreamList(std::vector<UpstreamRef> upstreams, const DomainNames &outOfService)
{
    for (UpstreamRef &upstream : upstreams) {
        this->byId.emplace(upstream->id, std::move(upstream));
    }
    for (const auto &[id, upstream] : this->byId) {
        if (outOfService.contains(upstream->failureDomain)) {
            this->outOfServiceIds.insert(id);
            this->outOfServiceServices.insert(upstream->service);
        } else if (upstream->state == UpstreamState::Ready) {
            this->byService[upstream->service].push_back(upstream);
        }
    }
}

const std::vector<UpstreamRef> &UpstreamList::ready(std::string_view service) const
{
    static const std::vector<UpstreamRef> kNone;
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? kNone : found->second;
}

std::size_t UpstreamList::readyOf(std::string_view service, std::string_view softwareVersion) const
{
    const std::vector<UpstreamRef> &all = this->ready(service);
    const auto count = std::count_if(all.begin(), all.end(), [&](const UpstreamRef &upstream) {
        return upstream->softwareVersion == softwareVersion;
    });
    return static_cast<std::size_t>(count);
}

bool UpstreamList::isReady(std::string_view id) const
{
    const UpstreamRef upstream = this->find(id);
    return upstream && upstream->state == UpstreamState::Ready
        && !this->outOfServiceIds.contains(id);
}

void UpstreamList::forEach(const std::function<void(const UpstreamRecord &)> &visit) const
{
    for (const auto &[id, upstream] : this->byId) {
        visit(*upstream);
    }
}

bool UpstreamList::hasOutOfService(std::string_view service) const
{
    return this->outOfServiceServices.contains(service);
}

UpstreamRef UpstreamList::find(std::string_view id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : found->second;
}

std::vector<UpstreamRef> UpstreamList::all(std::string_view service) const
{
    std::vector<UpstreamRef> found;
    for (const auto &[id, upstream] : this->byId) {
        if (upstream->service == service) {
            found.push_back(upstream);
        }
    }
    return found;
}

} // namespace basilnotch
