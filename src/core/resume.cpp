#include "lovage/core/resume.h"

#include <algorithm>
#include <array>

namespace lovage {

namespace {

bool is_loss(attempt_event event) {
    return event == attempt_event::failed || event == attempt_event::connection_lost ||
           event == attempt_event::silent || event == attempt_event::gap;
}

resume_decision end_with(error_kind kind) {
    return {resume_action::end, kind, {}};
}

struct failure_event {
    error_kind kind;
    attempt_event event;
};

// Kinds that are not listed map to `attempt_event::failed`.
constexpr std::array<failure_event, 6> k_failure_events{{
    {error_kind::target_busy, attempt_event::busy},
    {error_kind::overloaded, attempt_event::busy},
    {error_kind::leaving, attempt_event::busy},
    {error_kind::invalid_request, attempt_event::rejected},
    {error_kind::request_too_large, attempt_event::rejected},
    {error_kind::deadline_exceeded, attempt_event::rejected},
}};

} // namespace

resume_decision decide_resume(const resume_state& state, attempt_event event, time_point now) {
    if (event == attempt_event::rejected) {
        return end_with(state.rejection);
    }
    if (state.deadline && now >= *state.deadline) {
        return end_with(error_kind::deadline_exceeded);
    }
    if (is_loss(event) && state.losses_without_progress >= k_max_losses_without_progress) {
        return end_with(error_kind::target_failed);
    }
    if (state.has_target) {
        return {resume_action::resume, {}, {}};
    }
    if (state.is_queued && state.has_live_target) {
        return {resume_action::wait, {}, now + k_queue_poll_interval};
    }
    const time_point since = state.waiting_since.value_or(now);
    // A busy target becomes free by itself, so a caller that has received text waits longer for it.
    const milliseconds limit =
        state.has_live_target && state.has_delivered_tokens ? k_busy_target_timeout : k_version_wait_timeout;
    if (now - since < limit) {
        const time_point end_of_wait = since + limit;
        return {resume_action::wait, {}, std::min<time_point>(now + k_target_poll_interval, end_of_wait)};
    }
    if (state.has_live_target) {
        return end_with(error_kind::target_busy);
    }
    if (state.has_delivered_tokens) {
        return end_with(error_kind::version_gone);
    }
    if (state.has_serving_target) {
        return {resume_action::restart, {}, {}};
    }
    return end_with(error_kind::no_target);
}

attempt_event event_for_failure(error_kind kind) {
    const auto* found = std::find_if(k_failure_events.begin(), k_failure_events.end(),
                                     [kind](const failure_event& entry) { return entry.kind == kind; });
    return found == k_failure_events.end() ? attempt_event::failed : found->event;
}

} // namespace lovage
