#pragma once

#include "lovage/ports/target_port.h"

#include <boost/beast/http/fields.hpp>
#include <string>
#include <vector>

namespace lovage {

/// Returns the end-to-end header fields of a message: all but the hop-by-hop fields (RFC 9110, 7.6.1) and
/// those that frame the body.
std::vector<header_field> end_to_end_fields(const boost::beast::http::fields& fields);

/// Appends the header line "Name: value\r\n".
void append_field(std::string& out, std::string_view name, std::string_view value);

} // namespace lovage
