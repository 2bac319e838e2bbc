#pragma once

#include "lovage/core/enum_names.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lovage {

/// All errors that the system reports to callers, to operators and between its processes.
enum class error_kind : std::uint8_t {
    invalid_request,
    request_too_large,
    unknown_service,
    unknown_organisation,
    not_found,
    idempotency_conflict,
    overloaded,
    deadline_unreachable,
    deadline_exceeded,
    no_target,
    target_busy,
    target_failed,
    /// The target sent nothing within its timeout and may still be sound.
    target_silent,
    version_gone,
    outcome_unknown,
    store_unavailable,
    revision_conflict,
    not_ready,
    leaving,
    peer_unreachable,
    protocol_error,
    stale_fencing,
    invalid_settings,
    invalid_configuration,
    cancelled,
    unauthenticated,
    history_lost,
    outcome_late,
    /// The prompt contains parts that have crashed several engines.
    prompt_quarantined,
    /// The request has crashed as many targets as the service can spare at the moment.
    request_suspected,
    /// The request has crashed several targets.
    request_quarantined,
    internal,
};

inline constexpr std::size_t k_error_kind_count = 32;

inline constexpr enum_names<k_error_kind_count> k_error_kind_names{
    "invalid_request",
    "request_too_large",
    "unknown_service",
    "unknown_organisation",
    "not_found",
    "idempotency_conflict",
    "overloaded",
    "deadline_unreachable",
    "deadline_exceeded",
    "no_target",
    "target_busy",
    "target_failed",
    "target_silent",
    "version_gone",
    "outcome_unknown",
    "store_unavailable",
    "revision_conflict",
    "not_ready",
    "leaving",
    "peer_unreachable",
    "protocol_error",
    "stale_fencing",
    "invalid_settings",
    "invalid_configuration",
    "cancelled",
    "unauthenticated",
    "history_lost",
    "outcome_late",
    "prompt_quarantined",
    "request_suspected",
    "request_quarantined",
    "internal",
};
static_assert(static_cast<std::size_t>(error_kind::internal) + 1 == k_error_kind_count);

constexpr std::string_view to_string(error_kind kind) {
    return name_of(k_error_kind_names, kind);
}

/// The class of response to an error, independent of any protocol. The HTTP adapter maps it to a status code.
enum class response_class : std::uint8_t {
    bad_request,
    not_found,
    conflict,
    too_large,
    too_many,
    unavailable,
    timed_out,
    gone,
    failed,
    unauthenticated,
    timed_out_unknown,
};

inline constexpr std::size_t k_response_class_count = 11;

/// How an error is reported to the caller.
struct error_properties {
    error_kind kind;
    response_class answer;
    /// Whether a response of this kind may state `not_run: true` if `is_not_run` (core/not_run.h) also holds
    /// for the request.
    bool can_guarantee_not_run;
    /// Whether the caller may retry the request with the same idempotency key.
    bool retryable;
    /// The default Retry-After in milliseconds; 0 for none.
    std::uint32_t retry_after_ms;
};

/// Returns the table entry for `kind`.
const error_properties& error_properties_of(error_kind kind);

} // namespace lovage
