#include "lovage/core/attempt_plan.h"

namespace lovage {

namespace {

next_step choose_final_step(const attempt_outcome& facts) {
    if (facts.has_delivered) {
        return next_step::break_off;
    }
    if (facts.end == attempt_end::failed_answer) {
        return next_step::pass_failure;
    }
    return facts.runs == 0 ? next_step::refuse_not_run : next_step::answer_unknown;
}

} // namespace

next_step plan_next_step(const attempt_outcome& facts) {
    const bool can_repeat = facts.runs == 0 || facts.is_repeatable;
    const bool can_continue = !facts.has_delivered || (facts.is_repeatable && facts.is_continuable);
    // Resuming from a standby copy continues the same run, so it does not count as another attempt.
    const bool can_resume = facts.has_copy && facts.has_delivered;
    // A stream that has begun may go on at a target that has run it; an answer that rejects it would come
    // again.
    const bool may_return = facts.has_delivered && facts.end != attempt_end::failed_answer;
    const bool has_attempt = facts.runs < facts.max_attempts || can_resume || may_return;
    if (!can_repeat || !can_continue || !facts.has_time || facts.is_quarantined || !has_attempt) {
        return choose_final_step(facts);
    }
    if (!facts.has_budget || facts.sends >= k_max_sends_without_run + facts.max_attempts ||
        !(facts.has_target || can_resume)) {
        // A request without a part of its answer is given a final answer at once, which lets its caller
        // decide.
        return facts.has_delivered ? next_step::wait_for_target : choose_final_step(facts);
    }
    return can_resume ? next_step::resume_from_copy : next_step::send_again;
}

} // namespace lovage
