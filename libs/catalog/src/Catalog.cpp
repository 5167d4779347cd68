// Look-ups: prefixes end with a slash, so a path is cut at its slashes from the right and each
// piece is one look-up, whatever the number of routes.
#include <catalog/Catalog.h>

#include <absl/strings/ascii.h>

namespace basilnotch {

namespace {

std::string hostName(std::string_view host)
{
    const std::string_view name = host.substr(0, host.find(':'));
    return absl::AsciiStrToLower(absl::string_view(name.data(), name.size()));
}

} // namespace

Catalog::Catalog(CatalogParts given)
    : parts(std::move(given))
{
    for (const Route &route : this->parts.routes) {
        this->byHost[hostName(route.host)].emplace(route.prefix, &route);
    }
    for (const CatalogWorkspace &workspace : this->parts.workspaces) {
        for (const std::string &key : workspace.keys) {
            this->byKey.emplace(key, &workspace);
        }
    }
    for (const Service &service : this->parts.services) {
        this->byService.emplace(service.name, &service);
    }
}

const Route *Catalog::match(std::string_view host, std::string_view path) const
{
    const auto prefixes = this->byHost.find(hostName(host));
    if (prefixes == this->byHost.end()) {
        return nullptr;
    }
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = prefixes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != prefixes->second.end()) {
            return found->second;
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

const CatalogWorkspace *Catalog::workspaceOf(std::string_view key) const
{
    const auto found = this->byKey.find(std::string(key));
    return found == this->byKey.end() ? nullptr : found->second;
}

const CatalogWorkspace *Catalog::workspace(std::string_view name) const
{
    for (const CatalogWorkspace &workspace : this->parts.workspaces) {
        if (workspace.name == name) {
            return &workspace;
        }
    }
    return nullptr;
}

const Service *Catalog::service(std::string_view name) const
{
    const auto found = this->byService.find(name);
    return found == this->byService.end() ? nullptr : found->second;
}

} // namespace basilnotch
