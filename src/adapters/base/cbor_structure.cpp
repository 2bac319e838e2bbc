#include "lovage/adapters/cbor_structure.h"

#include <cstdint>
#include <vector>

namespace lovage {

const char* find_cbor_problem(std::string_view bytes, const cbor_limits& limits) {
    constexpr unsigned k_text_or_bytes_low = 2;
    constexpr unsigned k_text_or_bytes_high = 3;
    constexpr unsigned k_list = 4;
    constexpr unsigned k_map = 5;
    constexpr unsigned k_tag = 6;
    std::vector<std::uint64_t> open{1}; // items still expected at each level
    std::size_t items = 0;
    std::size_t at = 0;
    while (!open.empty()) {
        if (open.back() == 0) {
            open.pop_back();
            continue;
        }
        --open.back();
        if (at >= bytes.size()) {
            return "it ends too early";
        }
        if (++items > limits.max_items) {
            return "it has too many items";
        }
        const auto head = static_cast<unsigned char>(bytes[at++]);
        const unsigned major = head >> 5U;
        const unsigned info = head & 0x1FU;
        if (info > 27 || major == k_tag) {
            return "it has a tag or an item of indefinite length";
        }
        std::uint64_t argument = info;
        if (info >= 24) {
            const std::size_t width = std::size_t{1} << (info - 24U);
            if (bytes.size() - at < width) {
                return "it ends too early";
            }
            argument = 0;
            for (std::size_t i = 0; i < width; ++i) {
                argument = (argument << 8U) | static_cast<unsigned char>(bytes[at++]);
            }
        }
        if (major == k_text_or_bytes_low || major == k_text_or_bytes_high) {
            if (argument > bytes.size() - at) {
                return "it ends too early";
            }
            at += argument;
        } else if (major == k_list || major == k_map) {
            if (argument > limits.max_items) {
                return "it has too many items";
            }
            if (open.size() > limits.max_depth) {
                return "it is nested too deeply";
            }
            open.push_back(major == k_map ? argument * 2 : argument);
        }
    }
    return at == bytes.size() ? nullptr : "bytes follow its end";
}

} // namespace lovage
