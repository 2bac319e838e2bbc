#include "lovage/core/resume.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

constexpr time_point k_start{std::chrono::seconds(100)};

resume_state make_state(bool has_target, bool has_live_target, bool has_serving_target,
                        bool has_delivered_tokens) {
    resume_state state;
    state.has_target = has_target;
    state.has_live_target = has_live_target;
    state.has_serving_target = has_serving_target;
    state.has_delivered_tokens = has_delivered_tokens;
    return state;
}

struct loss_case {
    attempt_event event;
    bool has_target;
    bool has_delivered_tokens;
    resume_action action;
};

// Guards against a lost attempt that is not dispatched again although a target is available.
TEST_CASE("a lost attempt is resumed at once if a target is available") {
    const auto test = GENERATE(from_range(std::vector<loss_case>{
        {attempt_event::failed, true, true, resume_action::resume},
        {attempt_event::failed, true, false, resume_action::resume},
        {attempt_event::connection_lost, true, true, resume_action::resume},
        {attempt_event::silent, true, true, resume_action::resume},
        {attempt_event::gap, true, true, resume_action::resume},
        {attempt_event::busy, true, true, resume_action::resume},
        {attempt_event::busy, true, false, resume_action::resume},
        {attempt_event::target_wanted, true, false, resume_action::resume},
        {attempt_event::failed, false, true, resume_action::wait},
        {attempt_event::connection_lost, false, false, resume_action::wait},
        {attempt_event::busy, false, false, resume_action::wait},
        {attempt_event::target_wanted, false, false, resume_action::wait},
    }));
    CAPTURE(name_of(k_attempt_event_names, test.event));
    auto state = make_state(test.has_target, test.has_target, true, test.has_delivered_tokens);
    state.losses_without_progress = 1;
    CHECK(decide_resume(state, test.event, k_start).action == test.action);
}

struct wait_case {
    const char* name;
    bool has_live_target;
    bool has_serving_target;
    bool has_delivered_tokens;
    int waited_ms;
    resume_action action;
    error_kind kind;
};

// Guards against a text that is continued by another version, and against a gap longer than the limit of 5 s.
TEST_CASE("without a target the session waits, then restarts or ends") {
    const auto test = GENERATE(from_range(std::vector<wait_case>{
        {"delivered, within the wait", false, true, true, 3'999, resume_action::wait, error_kind::internal},
        {"delivered, wait over", false, true, true, 4'000, resume_action::end, error_kind::version_gone},
        {"delivered, wait over, no target serves", false, false, true, 4'000, resume_action::end,
         error_kind::version_gone},
        {"not delivered, within the wait", false, true, false, 3'999, resume_action::wait,
         error_kind::internal},
        {"not delivered, wait over", false, true, false, 4'000, resume_action::restart, error_kind::internal},
        {"not delivered, wait over, no target serves", false, false, false, 4'000, resume_action::end,
         error_kind::no_target},
        {"delivered, busy", true, true, true, 4'000, resume_action::wait, error_kind::internal},
        {"delivered, busy, within the wait", true, true, true, 19'999, resume_action::wait,
         error_kind::internal},
        {"delivered, busy for too long", true, true, true, 20'000, resume_action::end,
         error_kind::target_busy},
        {"not delivered, busy", true, false, false, 3'999, resume_action::wait, error_kind::internal},
        {"not delivered, busy for too long", true, false, false, 4'000, resume_action::end,
         error_kind::target_busy},
    }));
    CAPTURE(test.name);
    auto state = make_state(false, test.has_live_target, test.has_serving_target, test.has_delivered_tokens);
    state.waiting_since = k_start;
    const auto now = k_start + milliseconds(test.waited_ms);
    const auto decision = decide_resume(state, attempt_event::target_wanted, now);
    CHECK(decision.action == test.action);
    if (test.action == resume_action::end) {
        CHECK(decision.kind == test.kind);
    }
    if (test.action == resume_action::wait) {
        CHECK(decision.retry_at > now);
        CHECK(decision.retry_at <= now + k_target_poll_interval);
    }
}

// Guards against a wait that restarts with each loss, so that two consecutive losses exceed the limit.
TEST_CASE("a second loss during the wait does not extend it") {
    auto state = make_state(false, false, false, true);
    state.losses_without_progress = 2;
    state.waiting_since = k_start;
    CHECK(decide_resume(state, attempt_event::connection_lost, k_start + milliseconds(4'000)).kind ==
          error_kind::version_gone);
}

struct repeated_loss_case {
    std::uint32_t losses;
    attempt_event event;
    resume_action action;
};

// Guards against a request that causes the failure of one target after another without limit.
TEST_CASE("consecutive losses without a new token end the answer") {
    const auto test = GENERATE(from_range(std::vector<repeated_loss_case>{
        {1, attempt_event::failed, resume_action::resume},
        {2, attempt_event::connection_lost, resume_action::resume},
        {k_max_losses_without_progress - 1, attempt_event::failed, resume_action::resume},
        {k_max_losses_without_progress, attempt_event::failed, resume_action::end},
        {k_max_losses_without_progress, attempt_event::silent, resume_action::end},
        {k_max_losses_without_progress, attempt_event::busy, resume_action::resume},
        {k_max_losses_without_progress, attempt_event::target_wanted, resume_action::resume},
    }));
    auto state = make_state(true, true, false, true);
    state.losses_without_progress = test.losses;
    const auto decision = decide_resume(state, test.event, k_start);
    CHECK(decision.action == test.action);
    if (test.action == resume_action::end) {
        CHECK(decision.kind == error_kind::target_failed);
    }
}

// Guards against attempts that are dispatched after the caller's deadline.
TEST_CASE("a deadline ends the answer although a target is available") {
    auto state = make_state(true, true, true, false);
    state.deadline = k_start;
    const auto decision = decide_resume(state, attempt_event::target_wanted, k_start);
    CHECK(decision.action == resume_action::end);
    CHECK(decision.kind == error_kind::deadline_exceeded);
    CHECK(decide_resume(state, attempt_event::target_wanted, k_start - milliseconds(1)).action ==
          resume_action::resume);
}

struct failure_case {
    error_kind kind;
    attempt_event event;
};

// Guards against a refusal that counts as a failure of the target, and against a retry of a bad request.
TEST_CASE("an agent's failure is classified by its kind") {
    const auto test = GENERATE(from_range(std::vector<failure_case>{
        {error_kind::target_failed, attempt_event::failed},
        {error_kind::not_found, attempt_event::failed},
        {error_kind::internal, attempt_event::failed},
        {error_kind::target_busy, attempt_event::busy},
        {error_kind::leaving, attempt_event::busy},
        {error_kind::invalid_request, attempt_event::rejected},
        {error_kind::deadline_exceeded, attempt_event::rejected},
    }));
    CAPTURE(to_string(test.kind));
    CHECK(event_for_failure(test.kind) == test.event);
}

// Guards against reporting another error kind to the caller than the one that the target stated.
TEST_CASE("a rejected request ends with the target's error kind") {
    auto state = make_state(true, true, true, false);
    state.rejection = error_kind::invalid_request;
    const auto decision = decide_resume(state, attempt_event::rejected, k_start);
    CHECK(decision.action == resume_action::end);
    CHECK(decision.kind == error_kind::invalid_request);
}

} // namespace

} // namespace lovage
