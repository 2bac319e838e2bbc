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
    /// The target says that it did not run the request.
    not_run,
    /// Another target has the address; the request did not run.
    other_target,
    /// The target answered with a failure of its own; the request has run.
    failed_answer,
    /// The connection was lost or the answer is not usable; the request may have run.
    broken,
    /// The target has been silent for too long; the request may have run.
    silent,
    /// The engine no longer has the copy from which the request was to go on; it did not run.
    copy_gone,
};
inline constexpr std::size_t k_attempt_end_count = 7;
inline constexpr enum_names<k_attempt_end_count> k_attempt_end_names{
    "unreachable", "not_run", "other_target", "failed_answer", "broken", "silent", "copy_gone"};
static_assert(static_cast<std::size_t>(attempt_end::copy_gone) + 1 == k_attempt_end_count);

/// What the plan for the next step depends on.
struct attempt_facts {
    attempt_end end = attempt_end::broken;
    bool is_repeatable = false;
    /// Events that the caller has received, or a part of an answer.
    bool has_delivered = false;
    /// Whether a part was delivered that cannot be continued (an answer that is no stream).
    bool is_continuable = true;
    /// A target that may be reached holds a copy of the generation.
    bool has_copy = false;
    /// Targets that may have run the request, and all targets that it was sent or offered to.
    std::uint32_t runs = 0;
    std::uint32_t sends = 0;
    std::uint32_t max_attempts = 1;
    bool has_time = true;
    bool has_budget = true;
    bool has_target = true;
};

enum class next_step : std::uint8_t {
    /// Send it to another target; a stream goes on after the last delivered event.
    send_again,
    /// Go on from the copy at the target that holds it.
    resume_from_copy,
    /// Pass on the target's own failure.
    pass_failure,
    /// Refuse with an error kind that states that the request was not run.
    refuse_not_run,
    /// Answer that the outcome is unknown.
    answer_unknown,
    /// End the connection; a part has been delivered that cannot be continued.
    break_off,
};
inline constexpr std::size_t k_next_step_count = 6;
inline constexpr enum_names<k_next_step_count> k_next_step_names{
    "send_again", "resume_from_copy", "pass_failure", "refuse_not_run", "answer_unknown", "break_off"};
static_assert(static_cast<std::size_t>(next_step::break_off) + 1 == k_next_step_count);

/// Sends that end without a run, such as refused connections, are limited by this number instead of the
/// route's attempts.
inline constexpr std::uint32_t k_max_sends = 6;

next_step plan_next(const attempt_facts& facts);

/// Whether a target may have run the request in an attempt that ended so.
constexpr bool may_have_run(attempt_end end) {
    return end == attempt_end::failed_answer || end == attempt_end::broken || end == attempt_end::silent;
}

} // namespace lovage
