#pragma once

#include "lovage/core/error_kind.h"

#include <chrono>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace lovage {

/// An error: its kind and a human-readable detail in English.
struct error {
    error_kind kind = error_kind::internal;
    std::string detail;
    /// Time after which a retry may succeed; 0 for the default of the kind.
    std::chrono::milliseconds retry_after{0};
};

/// The return value of an operation that may fail: a `T` or an error.
template <class T>
using result = tl::expected<T, error>;

/// Returns a failed `result` with the default retry time of `kind`.
inline tl::unexpected<error> fail(error_kind kind, std::string detail) {
    return tl::unexpected<error>(error{kind, std::move(detail), std::chrono::milliseconds{0}});
}

} // namespace lovage
