#pragma once

namespace lovage {

/// Whether a status code of HTTP has a meaning. Others, which RFC 9110, section 15, treats as server errors,
/// come from faulty servers; a message with one is no response.
constexpr bool is_http_status(unsigned status) {
    return status >= 100 && status <= 599;
}

} // namespace lovage
