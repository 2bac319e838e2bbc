#include "lovage/core/ids.h"

#include <charconv>
#include <xxhash.h>

namespace lovage {

namespace {

constexpr std::size_t k_hex_digits = 16;

std::string to_hex(std::uint64_t value) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(k_hex_digits, '0');
    for (auto position = text.rbegin(); position != text.rend(); ++position) {
        *position = digits[value & 0xFU];
        value >>= 4U;
    }
    return text;
}

std::optional<std::uint64_t> from_hex(std::string_view text) {
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, 16);
    const bool has_upper_case = text.find_first_of("ABCDEF") != std::string_view::npos;
    if (text.size() != k_hex_digits || parsed.ec != std::errc{} || parsed.ptr != end || has_upper_case) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

request_id request_id::from_key(std::string_view organisation, std::string_view idempotency_key) {
    // The NUL separator keeps ("ab", "c") and ("a", "bc") from hashing to the same id.
    std::string input;
    input.reserve(organisation.size() + 1 + idempotency_key.size());
    input.append(organisation).push_back('\0');
    input.append(idempotency_key);
    const XXH128_hash_t hash = XXH3_128bits(input.data(), input.size());
    return request_id{hash.high64, hash.low64};
}

std::optional<request_id> request_id::parse(std::string_view text) {
    if (text.size() != 2 * k_hex_digits) {
        return std::nullopt;
    }
    const auto high = from_hex(text.substr(0, k_hex_digits));
    const auto low = from_hex(text.substr(k_hex_digits));
    if (!high || !low) {
        return std::nullopt;
    }
    return request_id{*high, *low};
}

std::string request_id::to_string() const {
    return to_hex(high) + to_hex(low);
}

std::optional<answer_id> answer_id::parse(std::string_view text) {
    const auto value = from_hex(text);
    return value ? std::optional<answer_id>(answer_id{*value}) : std::nullopt;
}

std::string answer_id::to_string() const {
    return to_hex(value);
}

} // namespace lovage
