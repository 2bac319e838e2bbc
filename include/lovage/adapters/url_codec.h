#pragma once

#include <string>

namespace lovage {

/// Percent-encodes all but letters, digits and "-_.~", so that the result is one path segment or query value.
std::string url_encode(const std::string& text);

/// Decodes percent-encoding; invalid escape sequences are kept unchanged.
std::string url_decode(const std::string& text);

} // namespace lovage
