// See StandinServer.h.
#include "StandinServer.h"

namespace basilnotch {

namespace json = boost::json;

namespace {

HttpServerOptions standinOptions(Endpoint listen)
{
    HttpServerOptions options;
    options.listen = std::move(listen);
    options.bounds.bodyBytes = 64 * 1024 * 1024;
    return options;
}

} // namespace

std::string jsonText(const json::object &object, std::string_view key, std::string_view fallback)
{
    const json::value *value = object.if_contains(key);
    return std::string(value && value->is_string() ? std::string_view(value->as_string())
                                                   : fallback);
}

std::int64_t jsonNumber(const json::object &object, std::string_view key, std::int64_t fallback)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_number() ? value->to_number<std::int64_t>() : fallback;
}

bool jsonFlag(const json::object &object, std::string_view key, bool fallback)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_bool() ? value->as_bool() : fallback;
}

json::object jsonBody(std::string_view body)
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    return !error && value.is_object() ? value.as_object() : json::object{};
}

StandinServer::StandinServer(FiberRuntime &runtime, Endpoint listen)
    : runtime(runtime)
    , server(runtime, standinOptions(std::move(listen)), *this)
{ }

HttpResponse StandinServer::malformed(int status, std::string_view text)
{
    return {status, {}, std::string(text)};
}

} // namespace basilnotch
