#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lovage {

/// Identifies a request across its attempts, its caller's retries, all processes and their restarts.
using request_fingerprint = std::uint64_t;

/// What makes two requests the same.
struct request_identity {
    std::string_view host;
    std::string_view method;
    /// Path and query.
    std::string_view target;
    std::string_view organisation;
    std::string_view body;
};

/// Returns 64 bits of XXH3 over the identity, the same in every process and build.
request_fingerprint fingerprint_of(const request_identity& identity);

/// Formats a fingerprint as 16 hexadecimal digits, for log lines.
std::string format_fingerprint(request_fingerprint fingerprint);

} // namespace lovage
