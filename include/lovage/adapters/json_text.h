#pragma once

#include "lovage/core/result.h"

#include <string>

namespace lovage {

/// Formats a JSON document for people: one "key: value" a line, inner objects indented, lists of objects as
/// tables with a column for each key. Fails with `protocol_error` if `json` is not valid.
result<std::string> json_to_text(const std::string& json);

} // namespace lovage
