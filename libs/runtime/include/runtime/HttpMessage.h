// HTTP messages as plain values; the wire format itself is Beast's, inside the sources.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

struct HttpHeader
{
    std::string name;
    std::string value;
};

/// Header fields in order; names compare without regard to case.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields)
        : fields(fields)
    { }
    /// Value of the first field of that name; empty when there is none.
    std::string_view find(std::string_view name) const;
    void add(std::string name, std::string value);
    std::vector<HttpHeader> fields;
};

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;

    /// The target without its query.
    std::string_view path() const;
    /// Value of `name` in the query, undecoded; empty when absent.
    std::string_view query(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// A JSON response.
HttpResponse jsonResponse(int status, std::string body);

} // namespace basilnotch
