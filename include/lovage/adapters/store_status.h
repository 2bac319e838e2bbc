#pragma once

#include "lovage/core/result.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <string>

namespace lovage {

/// The error that an HTTP status of a store's API stands for.
struct store_status {
    int status;
    error_kind kind;
    const char* detail;
};

/// Returns the error for a status of a store's answer: that of `known`, which lists what the API defines;
/// otherwise `store_unavailable` from 500 on, where it is unknown whether a write took effect, and
/// `protocol_error` below.
template <std::size_t Count>
error store_error_of(const std::array<store_status, Count>& known, int status) {
    const auto found = std::find_if(known.begin(), known.end(),
                                    [status](const store_status& entry) { return entry.status == status; });
    if (found != known.end()) {
        return {found->kind, found->detail, std::chrono::milliseconds(0)};
    }
    const auto kind = status >= 500 ? error_kind::store_unavailable : error_kind::protocol_error;
    return {kind, "the store answered with status " + std::to_string(status), std::chrono::milliseconds(0)};
}

} // namespace lovage
