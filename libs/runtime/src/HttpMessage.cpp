// Look-ups in headers and targets.
#include <runtime/HttpMessage.h>

#include <absl/strings/match.h>

namespace basilnotch {

std::string_view HttpHeaders::find(std::string_view name) const
{
    for (const HttpHeader &field : this->fields) {
        if (absl::EqualsIgnoreCase(absl::string_view(field.name),
                                   absl::string_view(name.data(), name.size()))) {
            return field.value;
        }
    }
    return {};
}

void HttpHeaders::add(std::string name, std::string value)
{
    this->fields.push_back({std::move(name), std::move(value)});
}

std::string_view HttpRequest::path() const
{
    const std::string_view target = this->target;
    return target.substr(0, target.find('?'));
}

std::string_view HttpRequest::query(std::string_view name) const
{
    const std::string_view target = this->target;
    std::size_t at = target.find('?');
    while (at != std::string_view::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string_view part =
            target.substr(at + 1, end == std::string_view::npos ? end : end - at - 1);
        if (part.size() > name.size() && part.starts_with(name) && part[name.size()] == '=') {
            return part.substr(name.size() + 1);
        }
        at = end;
    }
    return {};
}

HttpResponse jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace basilnotch
