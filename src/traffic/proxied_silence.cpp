#include "proxied_helpers.h"

#include "lovage/traffic/engine_calls.h"
#include "lovage/traffic/proxied_request.h"

#include <algorithm>

namespace lovage {

namespace {

// Part of the objective after which a stream without a first event is tried at another target; the rest is
// enough to read the prompt again.
constexpr double k_first_event_part = 0.55;
// Part of the objective after which an engine is asked whether it reads the prompt.
constexpr double k_ask_first_event_part = 0.4;
// How often the holder of a stream's copy is looked at, and how often a copy that does not follow its run by
// itself is brought up to date; what it lacks is read again within a few tens of milliseconds.
constexpr milliseconds k_copy_check{200};
constexpr milliseconds k_copy_refresh{1'000};
// An engine's report is a few hundred milliseconds old and does not list a run that has just begun.
constexpr milliseconds k_report_age{700};
// Part of a silence that is left for the question and its answer.
constexpr milliseconds k_time_to_ask{100};
// An engine that goes on from a copy reads only the last few tokens again.
constexpr milliseconds k_first_event_from_copy{450};
// Silence of an idempotent request's target, as a part of its objective and of its timeout.
constexpr double k_answer_objectives = 1.5;
constexpr double k_answer_timeout_part = 0.55;
// A request at a target that was found lost does not wait on if it has received nothing for this long. A
// prompt that is read beside a stream stretches its gaps to about 200 ms, so one silent stream says less of
// the others.
constexpr milliseconds k_silence_at_lost_target{120};
constexpr milliseconds k_silence_at_silent_target{260};

} // namespace

silence_facts proxied_request::silence_of(const attempt& current) const {
    silence_facts facts;
    facts.has_event = current.has_event;
    facts.last_event = event_number(m_last_event_id).value_or(0);
    facts.silence = m_traffic.timers.now() - current.pace.last;
    facts.status = current.status;
    if (facts.status && current.has_event && m_traffic.timers.now() - current.first_event < k_report_age &&
        facts.status->state != run_state::no_answer) {
        facts.status->state = run_state::not_told;
    }
    if (!is_stream()) {
        facts.give_up_after = std::min(part_of(m_route->objective, k_answer_objectives),
                                       part_of(m_route->timeout, k_answer_timeout_part));
    } else if (current.has_event) {
        facts.give_up_after = silence_limit(current.pace, m_route->longest_gap);
    } else {
        facts.give_up_after =
            current.from_copy ? k_first_event_from_copy : part_of(m_route->objective, k_first_event_part);
    }
    facts.ask_after = facts.give_up_after;
    if (is_stream() && m_traffic.engine.status_request) {
        facts.ask_after = current.has_event || current.from_copy
                              ? facts.give_up_after - k_time_to_ask
                              : part_of(m_route->objective, k_ask_first_event_part);
    } else {
        facts.status = run_status{run_state::not_told, 0};
    }
    return facts;
}

void proxied_request::watch_silence() {
    cancel_timer(m_silence_timer);
    if (!m_route->is_repeatable() || m_attempt->is_asking) {
        return;
    }
    const auto facts = silence_of(*m_attempt);
    auto decision = decide_silence(facts);
    if (decision.step == silence_step::give_up) {
        if (can_go_on_elsewhere()) {
            const auto state = facts.status ? facts.status->state : run_state::not_told;
            end_attempt(attempt_end::silent, "silent for " + to_ms(facts.silence) + " ms, run " +
                                                 std::string(name_of(k_run_state_names, state)));
            return;
        }
        // Without another way the request goes on waiting until its deadline.
        decision.look_at = std::chrono::ceil<milliseconds>(facts.silence) + facts.give_up_after;
    }
    if (decision.step == silence_step::ask) {
        ask_target();
        return;
    }
    const auto left = std::chrono::ceil<milliseconds>(decision.look_at - facts.silence);
    m_silence_timer = m_traffic.timers.after(
        std::max(left, milliseconds(1)), [self = shared_from_this(), number = m_attempt->number] {
            self->m_silence_timer = nullptr;
            if (!self->m_is_done && self->m_attempt && self->m_attempt->number == number) {
                self->m_attempt->status.reset();
                self->watch_silence();
            }
        });
}

bool proxied_request::is_copy_lost(const memory_copy& copy) const {
    const auto usage = m_traffic.usage.find(copy.target_id);
    const bool is_avoided =
        usage != m_traffic.usage.end() && usage->second.avoid_until > m_traffic.timers.now();
    return is_avoided || find_ready_target(m_traffic, m_service_name, copy.target_id) == nullptr;
}

void proxied_request::keep_copy() {
    auto& current = *m_attempt;
    const auto now = m_traffic.timers.now();
    if (current.copy.target_id.empty() || current.is_copying || !m_traffic.engine.make_copy_request ||
        now - current.copy_checked < k_copy_check) {
        return;
    }
    const bool is_refresh_due = !current.copy.name.empty() && now - current.copy_checked >= k_copy_refresh;
    if (is_copy_lost(current.copy)) {
        renew_copy(true);
    } else if (is_refresh_due) {
        renew_copy(false);
    }
    if (current.copy.name.empty()) {
        current.copy_checked = now;
    }
}

void proxied_request::renew_copy(bool is_new_holder) {
    auto& current = *m_attempt;
    memory_copy copy = current.copy;
    if (is_new_holder) {
        const auto candidates = candidates_of(m_traffic, m_service_name, m_side);
        auto want = placement_among(candidates);
        want.excluded = {current.target_id, current.copy.target_id};
        want.avoided_zone = current.zone;
        const auto chosen = choose_copy(candidates, want, m_traffic.random);
        if (!chosen) {
            return;
        }
        copy = {candidates[*chosen].record->id, candidates[*chosen].record->address, current.address, ""};
    }
    current.is_copying = true;
    current.copy_checked = m_traffic.timers.now();
    copy_run(
        m_traffic, current.address, m_request.forwarded->id, copy,
        [self = shared_from_this(), number = current.number, copy](const std::optional<std::string>& name) {
            if (self->m_is_done || !self->m_attempt || self->m_attempt->number != number) {
                if (name) {
                    free_copy(self->m_traffic, copy.source_address, *name);
                }
                return;
            }
            self->m_attempt->is_copying = false;
            auto made = copy;
            made.name = name.value_or(copy.name);
            if (!made.name.empty()) {
                self->take_copy(std::move(made));
            }
        });
}

void proxied_request::take_copy(memory_copy copy) {
    auto& current = *m_attempt;
    if (copy.target_id != current.copy.target_id) {
        log_step(log_level::info, "copy_renewed", copy.target_id, "before at " + current.copy.target_id);
        auto& before = m_traffic.usage[current.copy.target_id];
        before.copies -= before.copies > 0 ? 1 : 0;
        ++m_traffic.usage[copy.target_id].copies;
    }
    current.copy = std::move(copy);
}

void proxied_request::ask_target() {
    m_attempt->is_asking = true;
    probe_run(m_traffic, m_attempt->address, m_request.forwarded->id,
              [self = shared_from_this(), number = m_attempt->number](run_status status) {
                  if (self->m_is_done || !self->m_attempt || self->m_attempt->number != number) {
                      return;
                  }
                  self->m_attempt->is_asking = false;
                  self->m_attempt->status = status;
                  self->watch_silence();
              });
}

bool proxied_request::can_go_on_elsewhere() {
    auto facts = facts_of(attempt_end::silent);
    ++facts.runs;
    if (facts.runs >= facts.max_attempts && !facts.has_copy) {
        return false;
    }
    facts.has_budget =
        can_spend_retry(m_traffic.retries[m_service_name], retry_share(m_traffic), m_traffic.timers.now());
    const auto step = plan_next(facts);
    return step == next_step::send_again || step == next_step::resume_from_copy;
}

bool proxied_request::is_stuck_at(const std::string& target_id, bool is_certain) const {
    if (m_is_done || !m_attempt || m_attempt->target_id != target_id || !m_route->is_repeatable()) {
        return false;
    }
    // An engine that reads a prompt sends nothing, which shows no loss.
    const bool may_be_reading = is_stream() && !m_attempt->has_event;
    const auto limit = is_certain ? k_silence_at_lost_target : k_silence_at_silent_target;
    return (is_certain || !may_be_reading) && m_traffic.timers.now() - m_attempt->pace.last > limit;
}

void proxied_request::target_lost(const std::string& target_id, bool is_certain) {
    if (is_stuck_at(target_id, is_certain) && can_go_on_elsewhere()) {
        end_attempt(attempt_end::silent, "another request found its target lost");
    }
}

} // namespace lovage
