#pragma once

#include "lovage/core/error_kind.h"
#include "lovage/core/time.h"
#include "lovage/ports/target_port.h"

#include <functional>
#include <optional>
#include <string>

namespace lovage {

/// An answer of lovagefront's own, without a target's.
struct own_answer {
    error_kind kind = error_kind::internal;
    std::string detail;
    /// When the caller may come back; 0 for none.
    milliseconds retry_after{0};
    /// Whether the request was not run and never will be.
    bool is_not_run = false;
};

/// The caller of one request, on the traffic thread. One of `reply`, `finish` and `break_off` ends the
/// answer.
struct caller_port {
    std::function<void(const own_answer&)> reply;
    /// Starts a target's answer; `body_bytes` is its length if it is known.
    std::function<void(const answer_head&, std::optional<std::size_t> body_bytes)> start;
    std::function<void(std::string)> write;
    std::function<void()> finish;
    /// Closes the connection so that the answer does not look complete.
    std::function<void()> break_off;
    /// Bytes that the caller has not taken yet.
    std::function<std::size_t()> backlog;
};

} // namespace lovage
