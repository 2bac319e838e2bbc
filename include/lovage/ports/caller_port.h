#pragma once

#include "lovage/core/error_kind.h"
#include "lovage/core/time.h"
#include "lovage/ports/target_port.h"

#include <functional>
#include <optional>
#include <string>

namespace lovage {

/// An error answer that the gateway makes itself, instead of forwarding a target's answer.
struct error_reply {
    error_kind kind = error_kind::internal;
    std::string detail;
    /// How long the caller should wait before it retries; 0 for no advice.
    milliseconds retry_after{0};
    /// Whether it is certain that no target has run the request or will run it.
    bool is_not_run = false;
};

/// The connection to the caller of one request. Called on the traffic thread; does not block. Exactly one of
/// `reply`, `finish` and `break_off` ends the answer.
struct caller_port {
    std::function<void(const error_reply&)> reply;
    /// Sends status and header fields of a target's answer; `body_bytes` is the length of its body if known.
    std::function<void(const answer_head&, std::optional<std::size_t> body_bytes)> start;
    /// Sends a part of the body.
    std::function<void(std::string)> write;
    /// Completes the answer.
    std::function<void()> finish;
    /// Closes the connection in a way that the caller can tell from a complete answer.
    std::function<void()> break_off;
    /// Bytes that are buffered because the caller has not read them yet.
    std::function<std::size_t()> backlog;
    /// Tells how many bytes of the answer are buffered until it is complete; null function if it does not
    /// matter.
    std::function<void(std::size_t bytes)> hold;
};

} // namespace lovage
