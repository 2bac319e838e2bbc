#pragma once

#include "lovage/ports/target_port.h"

#include <boost/beast/http/fields.hpp>
#include <string>
#include <vector>

namespace lovage {

/// The fields of a message that are meant for its receiver, without those that concern only the connection
/// (RFC 9110, 7.6.1) or that frame the body.
std::vector<header_field> end_to_end_fields(const boost::beast::http::fields& fields);

/// Appends "Name: value\r\n".
void append_field(std::string& out, std::string_view name, std::string_view value);

} // namespace lovage
