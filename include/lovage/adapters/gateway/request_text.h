#pragma once

#include "lovage/core/result.h"
#include "lovage/ports/request_codec.h"

#include <string_view>

namespace lovage {

/// Parses an HTTP/1.1 request: request line, header fields, empty line, and the body if a field frames one.
/// Fails with `invalid_request` if it is malformed, not complete, or followed by further bytes.
result<received_request> parse_request_text(std::string_view text);

} // namespace lovage
