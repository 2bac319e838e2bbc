#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/error_kind.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <optional>

namespace lovage {

/// Heartbeat timeout of an attempt: without any message for this long it counts as lost. Three times the
/// interval of the agents' progress messages.
inline constexpr milliseconds k_attempt_heartbeat_timeout{600};
/// Longest wait for a target with the answer's model version. At most 5 s may pass between a loss and the
/// next token; this leaves 1 s for the dispatch and the first token.
inline constexpr milliseconds k_version_wait_timeout{4'000};
/// Longest wait for a free slot when targets with the version exist but are busy and the caller has received
/// part of the text.
inline constexpr milliseconds k_busy_target_timeout{20'000};
/// Interval between two searches for a target while waiting.
inline constexpr milliseconds k_target_poll_interval{100};
/// Interval between two searches for a queued session. The queue wakes the session when a target is free for
/// it, so polling only detects that the last target with the version is gone.
inline constexpr milliseconds k_queue_poll_interval{500};
/// Number of consecutive losses without a new token after which the request itself is considered the cause.
inline constexpr std::uint32_t k_max_losses_without_progress = 6;

/// What ended an attempt, or what makes a session search for a target. A session is the state that an entry
/// (front-end process) keeps for one answer, that is, one generated response.
enum class attempt_event : std::uint8_t {
    /// The answer has no attempt yet, or the time to search for a target again has come.
    target_wanted,
    /// The agent reported a failure.
    failed,
    connection_lost,
    /// No message about the attempt arrived for `k_attempt_heartbeat_timeout`.
    silent,
    /// A token index was skipped, or the token count of the end-of-answer message did not match.
    gap,
    /// The agent refused the attempt without running it.
    busy,
    /// The target stated that the request itself cannot be served.
    rejected,
};
inline constexpr std::size_t k_attempt_event_count = 7;
inline constexpr enum_names<k_attempt_event_count> k_attempt_event_names{
    "target_wanted", "failed", "connection_lost", "silent", "gap", "busy", "rejected"};
static_assert(static_cast<std::size_t>(attempt_event::rejected) + 1 == k_attempt_event_count);

/// What a session does next.
enum class resume_action : std::uint8_t {
    /// Dispatch the next attempt, which continues after all accepted tokens.
    resume,
    /// Search for a target again at `retry_at`.
    wait,
    /// Discard the partial answer and generate it again with the current serving version or its fallback.
    restart,
    /// End the answer and report the error `kind` to its callers.
    end,
};
inline constexpr std::size_t k_resume_action_count = 4;
inline constexpr enum_names<k_resume_action_count> k_resume_action_names{"resume", "wait", "restart", "end"};
static_assert(static_cast<std::size_t>(resume_action::end) + 1 == k_resume_action_count);

/// The state of a session that `decide_resume` depends on.
struct resume_state {
    /// A target is available that has the version and is not excluded because it just failed or refused.
    bool has_target = false;
    /// Some live target has the version, even if it just failed or refused.
    bool has_live_target = false;
    /// The current serving version or its fallback differs from the version of this answer, and a live target
    /// runs it.
    bool has_serving_target = false;
    /// The session is in the queue for a free target, which wakes it.
    bool is_queued = false;
    /// A caller has received tokens of the answer.
    bool has_delivered_tokens = false;
    /// Losses since the last new token, including the current one.
    std::uint32_t losses_without_progress = 0;
    /// When the session began to wait for its next attempt; empty if it does not wait.
    std::optional<time_point> waiting_since;
    std::optional<time_point> deadline;
    /// The error kind that came with `rejected`.
    error_kind rejection = error_kind::internal;
};

struct resume_decision {
    resume_action action = resume_action::wait;
    /// The error to report; only for `end`.
    error_kind kind = error_kind::internal;
    /// When to search again; only for `wait`.
    time_point retry_at{};
};

/// Returns what a session does after `event`.
resume_decision decide_resume(const resume_state& state, attempt_event event, time_point now);

/// Returns the event for a `failed` message of an agent that carries this kind.
attempt_event event_for_failure(error_kind kind);

} // namespace lovage
