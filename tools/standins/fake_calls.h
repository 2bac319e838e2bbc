#pragma once

#include "lovage/core/ids.h"

#include <string>
#include <string_view>

namespace lovage::standins {

/// Returns the value with which lovage-fake-service answers a lookup (GET) of `path`.
inline std::string fake_lookup_value(std::string_view path) {
    return answer_id{hash_bytes(path)}.to_string();
}

/// Returns the receipt with which lovage-fake-service answers a POST of `body` to `path`. It depends on both,
/// so a caller can check that the service received its body.
inline std::string fake_receipt(std::string_view path, std::string_view body) {
    return answer_id{hash_bytes(body, hash_bytes(path))}.to_string();
}

} // namespace lovage::standins
