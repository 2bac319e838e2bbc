#pragma once

#include "lovage/core/move_record.h"
#include "lovage/core/result.h"

#include <string>

namespace lovage {

/// Encodes a move record as JSON, the value of the store key `moves/<model>`.
std::string encode_move_record(const move_record& record);

/// Decodes a value of `moves/<model>`. Fails with `protocol_error` if it is malformed.
result<move_record> decode_move_record(const std::string& value);

} // namespace lovage
