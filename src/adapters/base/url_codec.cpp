#include "lovage/adapters/url_codec.h"

#include <charconv>
#include <string_view>

namespace lovage {

namespace {

// The unreserved characters of RFC 3986.
constexpr std::string_view k_unreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~";
constexpr std::string_view k_digits = "0123456789ABCDEF";
constexpr std::size_t k_encoded_length = 3;

} // namespace

std::string url_encode(const std::string& text) {
    std::string encoded;
    for (const char c : text) {
        if (k_unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += k_digits[byte >> 4U];
        encoded += k_digits[byte & 0xFU];
    }
    return encoded;
}

std::string url_decode(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        const char* digits = text.data() + i + 1;
        if (text[i] == '%' && i + k_encoded_length <= text.size()) {
            const auto parsed = std::from_chars(digits, digits + 2, byte, 16);
            if (parsed.ec == std::errc{} && parsed.ptr == digits + 2) {
                decoded += static_cast<char>(byte);
                i += k_encoded_length - 1;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

} // namespace lovage
