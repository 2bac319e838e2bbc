#pragma once

#include <cstddef>
#include <string_view>

namespace lovage {

/// Limits of a CBOR document that another process has sent.
struct cbor_limits {
    std::size_t max_items = 0;
    std::size_t max_depth = 0;
};

/// Returns what is wrong with the structure of a document, or null. nlohmann's CBOR reader recurses without a
/// limit for nested lists and for nested texts of indefinite length, so one document could exhaust the stack.
/// The encoders write neither tags nor items of indefinite length, so both are refused.
const char* find_cbor_problem(std::string_view bytes, const cbor_limits& limits);

} // namespace lovage
