#pragma once

#include "lovage/core/move_record.h"
#include "lovage/core/result.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lovage {

/// Returns a move record (the state of a rollout of another version) as a JSON document.
nlohmann::json describe_move(const move_record& record);

/// Encodes a move record as JSON text. It is the value of the store
/// key `moves/<model>` that entries (front-end processes) write, and of `moves/<service>` that gateways
/// write.
std::string encode_move_record(const move_record& record);

/// Decodes the value of such a key. Fails with `protocol_error` if it is malformed.
result<move_record> decode_move_record(const std::string& value);

} // namespace lovage
