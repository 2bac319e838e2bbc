#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/error_kind.h"
#include "lovage/core/route_table.h"

#include <cstdint>

namespace lovage {

/// How an attempt at a target ended.
enum class attempt_end : std::uint8_t {
    /// The target could not be reached; nothing was sent.
    unreachable,
    /// The target stated that it did not run the request.
    not_run,
    /// Another target now has the address; the request did not run.
    other_target,
    /// The target responded with an error of its own; the request has run.
    failed_answer,
    /// The connection was lost or the response is malformed; the request may have run.
    broken,
    /// The target sent nothing within the stall timeout; the request may have run.
    silent,
    /// The engine no longer has the standby copy that the request was to resume from; the request did not
    /// run.
    copy_gone,
};
inline constexpr std::size_t k_attempt_end_count = 7;
inline constexpr enum_names<k_attempt_end_count> k_attempt_end_names{
    "unreachable", "not_run", "other_target", "failed_answer", "broken", "silent", "copy_gone"};
static_assert(static_cast<std::size_t>(attempt_end::copy_gone) + 1 == k_attempt_end_count);

/// The input of `plan_next_step`: how the attempt ended and what the request may still use.
struct attempt_outcome {
    attempt_end end = attempt_end::broken;
    bool is_repeatable = false;
    /// Whether the caller has received events or a part of the response.
    bool has_delivered = false;
    /// False if a part was delivered that cannot be continued (a response that is not a stream).
    bool is_continuable = true;
    /// Whether a target that may be reachable holds a standby copy of the generation.
    bool has_copy = false;
    /// Number of targets that may have run the request.
    std::uint32_t runs = 0;
    /// Number of targets that the request was sent or offered to since it last waited for one.
    std::uint32_t sends = 0;
    std::uint32_t max_attempts = 1;
    /// Time is left before the deadline.
    bool has_time = true;
    /// The retry budget allows another send.
    bool has_budget = true;
    /// A target is left to send to. Once `max_attempts` targets have run the request, only these are.
    bool has_target = true;
    /// The prompt has crashed its engines.
    bool is_quarantined = false;
};

/// What the gateway does with a request after an attempt ended.
enum class next_step : std::uint8_t {
    /// Retry at another target; a stream resumes after the last delivered event.
    send_again,
    /// Resume from the standby copy at the target that holds it.
    resume_from_copy,
    /// Forward the target's own error to the caller.
    pass_failure,
    /// Refuse with an error kind that states that the request was not run.
    refuse_not_run,
    /// Respond that the outcome is unknown.
    answer_unknown,
    /// Try again later to continue the stream: what it lacks (a target or the retry budget) may come back
    /// before the deadline.
    wait_for_target,
    /// Close the connection, since a part has been delivered that cannot be continued.
    break_off,
};
inline constexpr std::size_t k_next_step_count = 7;
inline constexpr enum_names<k_next_step_count> k_next_step_names{
    "send_again",     "resume_from_copy", "pass_failure", "refuse_not_run",
    "answer_unknown", "wait_for_target",  "break_off"};
static_assert(static_cast<std::size_t>(next_step::break_off) + 1 == k_next_step_count);

/// Whether the request is sent to a target in this step.
constexpr bool is_send(next_step step) {
    return step == next_step::send_again || step == next_step::resume_from_copy;
}

/// Limit of sends that end without a run, such as refused connections. They do not count against the route's
/// `max_attempts`.
inline constexpr std::uint32_t k_max_sends_without_run = 6;

/// Returns the next step for a request whose last attempt ended as described by `facts`.
next_step plan_next_step(const attempt_outcome& facts);

/// Returns whether a target may have run the request in an attempt that ended with `end`.
constexpr bool may_have_run(attempt_end end) {
    return end == attempt_end::failed_answer || end == attempt_end::broken || end == attempt_end::silent;
}

} // namespace lovage
