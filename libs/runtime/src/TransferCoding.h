// How the body of a message is framed, beyond what Beast's parser checks: it frames a body by its
// length, or by the end of the connection, when it does not know the transfer coding.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

#include <iterator>

namespace basilnotch {

/// Whether the body has no transfer coding, or only "chunked": the one that this project decodes.
inline bool hasKnownTransferCoding(const boost::beast::http::fields &fields)
{
    const auto [first, end] = fields.equal_range(boost::beast::http::field::transfer_encoding);
    return first == end
        || (std::next(first) == end && boost::beast::iequals(first->value(), "chunked"));
}

} // namespace basilnotch
