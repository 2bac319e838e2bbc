#pragma once

#include "lovage/core/prompt_quarantine.h"
#include "lovage/core/result.h"

#include <string>

namespace lovage {

/// Encodes a record of quarantined prompt parts or of a quarantined request as JSON, the value that gateways
/// write to the store.
std::string encode_quarantine_record(const quarantine_record& record);

/// Decodes such a value. Fails with `protocol_error` if it is malformed or does not name
/// either of them.
result<quarantine_record> decode_quarantine_record(const std::string& value);

} // namespace lovage
