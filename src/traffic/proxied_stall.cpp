#include "proxied_helpers.h"

#include "lovage/traffic/engine_calls.h"
#include "lovage/traffic/proxied_request.h"
#include "lovage/traffic/target_learning.h"

#include <algorithm>

namespace lovage {

namespace {

// How often the holder of a stream's standby copy is checked, and how often a copy that the engine does not
// update continuously is refreshed. What the copy lacks is recomputed within a few tens of milliseconds.
constexpr milliseconds k_copy_check_interval{200};
constexpr milliseconds k_copy_refresh_interval{1'000};
// How often it is considered whether a generation gets a copy after all, and whether copies are released for
// runs, where prefills are limited. Each review compares all engines of the service.
constexpr milliseconds k_copy_review_interval{500};
// Shortest time between two copies that a process releases, so that it sees the effect of its own and other
// processes' releases in the reports before the next one.
constexpr milliseconds k_copy_release_interval{100};
// An engine's status report is a few hundred milliseconds old and does not list a run that has just started.
constexpr milliseconds k_max_status_report_age{700};
// Time before the stall timeout that is reserved for the probe and its reply.
constexpr milliseconds k_probe_allowance{100};
// Short, because an engine that resumes from a copy recomputes only the last few tokens.
constexpr milliseconds k_first_event_from_copy_timeout{450};
// Stall timeout of a non-streaming idempotent request, as a multiple of its objective and as a fraction of
// its timeout; the smaller one applies.
constexpr double k_answer_objective_factor = 1.5;
constexpr double k_answer_timeout_fraction = 0.55;
// A request at a target that was found lost fails over if it has received nothing for this long. The engine
// reading another prompt stretches the gaps of a stream to about 200 ms, so one stalled stream is weaker
// evidence and needs the longer limit.
constexpr milliseconds k_stall_at_lost_target{120};
constexpr milliseconds k_stall_at_stalled_target{260};

// Releases the copy that is worth least if memory for runs is short.
void release_copy_for_runs(gateway_traffic& traffic, const std::string& service, const memory_room& room) {
    const auto now = traffic.timers.now();
    auto& last_release = traffic.copies_released[service];
    if (now - last_release < k_copy_release_interval) {
        return;
    }
    std::vector<copy_value> values;
    std::vector<proxied_request*> owners;
    for (auto* request : traffic.requests) {
        if (const auto value = request->releasable_copy(service)) {
            values.push_back(*value);
            owners.push_back(request);
        }
    }
    if (const auto chosen = choose_copy_to_release(values, room)) {
        last_release = now;
        owners[*chosen]->release_copy();
    }
}

} // namespace

first_event_limits proxied_request::limits_to_first_event() const {
    const auto admission = m_traffic.admission.find(m_service_name);
    const double mean_ms = admission != m_traffic.admission.end() ? admission->second.prefills.mean_ms : 0.0;
    prefill_facts prefills;
    prefills.mean = milliseconds(static_cast<std::int64_t>(mean_ms));
    prefills.is_limited = limits_prefills();
    prefills.is_reported = m_traffic.engine.status_request != nullptr;
    return first_event_limits_of(m_route->objective, prefills);
}

stall_state proxied_request::stall_state_of(const attempt& current) const {
    stall_state facts;
    facts.has_event = current.has_event;
    facts.last_event = event_number(m_last_event_id).value_or(0);
    const auto now = m_traffic.timers.now();
    facts.silence = is_stream() ? now - current.timing.last : transfer_silence(current.transfer, now);
    facts.status = current.status;
    if (facts.status && current.has_event && now - current.first_event < k_max_status_report_age &&
        facts.status->state != run_state::no_answer) {
        facts.status->state = run_state::not_told;
    }
    const bool prefills_prompt = is_stream() && !current.has_event && !current.from_copy;
    const auto limits = prefills_prompt ? limits_to_first_event() : first_event_limits{};
    if (facts.status && facts.status->state == run_state::absent && prefills_prompt && limits_prefills() &&
        facts.silence < k_max_status_report_age) {
        // The report may be older than the run, so it is probed again.
        facts.status->state = run_state::unlisted;
    }
    if (!is_stream()) {
        const auto late = late_call_limit(m_traffic, m_service_name, m_side, current.target);
        facts.stall_timeout = std::min(answer_timeout(), late.value_or(answer_timeout()));
    } else if (current.has_event) {
        facts.stall_timeout = stream_stall_timeout(current.timing, m_route->longest_gap);
    } else {
        facts.stall_timeout = current.from_copy ? k_first_event_from_copy_timeout : limits.stall_timeout;
    }
    facts.probe_after = facts.stall_timeout;
    if (is_stream() && m_traffic.engine.status_request) {
        facts.probe_after = prefills_prompt ? limits.probe_after : facts.stall_timeout - k_probe_allowance;
    } else {
        facts.status = run_status{run_state::not_told, 0};
    }
    return facts;
}

milliseconds proxied_request::answer_timeout() const {
    return std::min(fraction_of(m_route->objective, k_answer_objective_factor),
                    fraction_of(m_route->timeout, k_answer_timeout_fraction));
}

void proxied_request::check_for_stall() {
    cancel_timer(m_stall_timer);
    if (!m_route->is_repeatable() || m_attempt->is_probing) {
        return;
    }
    const auto facts = stall_state_of(*m_attempt);
    auto decision = decide_stall_step(facts);
    if (decision.step == stall_step::give_up) {
        if (m_superseded && !m_superseded->deferred_events.empty()) {
            reinstate_attempt("its successor fell silent");
            return;
        }
        if (can_fail_over()) {
            const auto state = facts.status ? facts.status->state : run_state::not_told;
            supersede_attempt("silent for " + to_ms(facts.silence) + " ms, run state " +
                              std::string(name_of(k_run_state_names, state)));
            return;
        }
        // If failover is not possible, the request keeps waiting until its deadline.
        decision.recheck_at = std::chrono::ceil<milliseconds>(facts.silence) + facts.stall_timeout;
    }
    if (decision.step == stall_step::ask) {
        probe_target();
        return;
    }
    const auto left = std::chrono::ceil<milliseconds>(decision.recheck_at - facts.silence);
    recheck_stall_after(std::max(left, milliseconds(1)));
}

void proxied_request::recheck_stall_after(milliseconds delay) {
    m_stall_timer = m_traffic.timers.after(delay, [self = shared_from_this(), number = m_attempt->number] {
        self->m_stall_timer = nullptr;
        if (self->is_current(number)) {
            self->m_attempt->status.reset();
            self->check_for_stall();
        }
    });
}

bool proxied_request::is_copy_lost(const standby_copy& copy) const {
    const auto usage = m_traffic.usage.find(copy.target_id);
    const bool is_avoided =
        usage != m_traffic.usage.end() && usage->second.avoid_until > m_traffic.timers.now();
    return is_avoided || !may_keep_copy(m_traffic, m_service_name, copy.target_id);
}

bool proxied_request::can_have_copy() const {
    return is_stream() && m_route->is_resumable && m_service != nullptr && m_service->engine &&
           m_service->engine->sends_copies;
}

copy_value proxied_request::value_of_copy() const {
    const auto length = m_traffic.stream_lengths.find(m_service_name);
    const auto events = event_number(m_last_event_id).value_or(0);
    return {m_queue_rank,
            part_left(length != m_traffic.stream_lengths.end() ? length->second : stream_length{}, events,
                      m_request.max_output_tokens)};
}

bool proxied_request::may_add_copy(const std::vector<target_candidate>& candidates,
                                   const placement& want) const {
    return !want.limits_prefills || is_copy_worthwhile(value_of_copy(), memory_room_of(candidates, want));
}

std::optional<copy_value> proxied_request::releasable_copy(const std::string& service) const {
    const bool is_releasable = !m_is_done && m_attempt && m_service_name == service &&
                               !m_attempt->is_copying && !m_attempt->copy.name.empty() &&
                               m_traffic.engine.make_release_request;
    return is_releasable ? std::optional(value_of_copy()) : std::nullopt;
}

void proxied_request::release_copy() {
    const auto released = std::exchange(m_attempt->copy, {});
    remove_copy(released.target_id);
    log_step(log_level::info, "copy_released", released.target_id, "runs need the memory");
    m_traffic.sink.count("gateway_copies", "released");
    release_standby_copy(m_traffic, m_attempt->target, released.name);
    schedule_report(m_traffic);
    schedule_dispatch(m_traffic, m_service_name);
}

void proxied_request::review_copies() {
    m_attempt->copy_reviewed = m_traffic.timers.now();
    const auto candidates = candidates_of(m_traffic, m_service_name, m_side);
    const auto room = memory_room_of(candidates, placement_among(candidates));
    release_copy_for_runs(m_traffic, m_service_name, room);
    if (m_attempt->copy.target_id.empty()) {
        renew_copy(true);
    }
}

void proxied_request::maintain_copy() {
    auto& current = *m_attempt;
    const auto now = m_traffic.timers.now();
    if (current.is_copying || !m_traffic.engine.make_standby_copy_request) {
        return;
    }
    // A copy that the engine updates since the start of the run ends with it.
    const bool is_changeable = current.copy.target_id.empty() || !current.copy.name.empty();
    if (is_changeable && now - current.copy_reviewed >= k_copy_review_interval && limits_prefills() &&
        can_have_copy()) {
        review_copies();
    }
    if (current.copy.target_id.empty() || current.is_copying ||
        now - current.copy_checked < k_copy_check_interval) {
        return;
    }
    const bool is_refresh_due =
        !current.copy.name.empty() && now - current.copy_checked >= k_copy_refresh_interval;
    if (current.is_copy_refused || is_copy_lost(current.copy)) {
        renew_copy(true);
    } else if (is_refresh_due && find_ready_target(m_traffic, m_service_name, current.copy.target_id)) {
        renew_copy(false);
    }
    if (current.copy.name.empty()) {
        current.copy_checked = now;
    }
}

void proxied_request::renew_copy(bool is_new_holder) {
    auto& current = *m_attempt;
    standby_copy copy = current.copy;
    if (is_new_holder) {
        const auto candidates = candidates_of(m_traffic, m_service_name, m_side);
        auto want = placement_among(candidates);
        want.excluded = {current.target.id, current.copy.target_id};
        want.avoided_zone = current.target.zone;
        want.copy_fraction = max_copy_fraction(want.limits_prefills, m_queue_rank);
        const auto chosen = may_add_copy(candidates, want)
                                ? choose_target_for_copy(candidates, want, m_traffic.random)
                                : std::nullopt;
        const bool is_avoided = chosen && candidates[*chosen].usage.avoid_until > want.now;
        if (!chosen || (want.limits_prefills && is_avoided)) {
            current.copy_checked = want.limits_prefills ? want.now : current.copy_checked;
            return;
        }
        copy = {candidates[*chosen].record->id, candidates[*chosen].record->address, current.target.address,
                ""};
    }
    current.is_copying = true;
    current.copy_checked = m_traffic.timers.now();
    make_standby_copy(m_traffic, current.target, m_request.forwarded->id, copy,
                      [self = shared_from_this(), number = current.number, copy,
                       source = current.target](const std::optional<std::string>& name) {
                          if (self->m_is_done || !self->m_attempt || self->m_attempt->number != number) {
                              if (name) {
                                  release_standby_copy(self->m_traffic, source, *name);
                              }
                              return;
                          }
                          self->m_attempt->is_copying = false;
                          auto made = copy;
                          made.name = name.value_or(copy.name);
                          if (!made.name.empty()) {
                              self->replace_copy(std::move(made));
                          }
                      });
}

void proxied_request::replace_copy(standby_copy copy) {
    auto& current = *m_attempt;
    if (copy.target_id != current.copy.target_id) {
        if (current.copy.target_id.empty()) {
            log_step(log_level::info, "copy_added", copy.target_id, "the generation had none");
            m_traffic.sink.count("gateway_copies", "added");
        } else {
            log_step(log_level::info, "copy_renewed", copy.target_id,
                     "was before at " + current.copy.target_id);
            remove_copy(current.copy.target_id);
        }
        add_copy(copy.target_id);
    }
    current.copy = std::move(copy);
    current.is_copy_refused = false;
}

std::optional<prompt_location> proxied_request::located_prompt() const {
    if (m_is_done || m_route == nullptr || !is_stream() || !m_route->is_resumable ||
        m_request.prompt.empty()) {
        return std::nullopt;
    }
    // A run that began from a copy has prefilled nothing.
    if (!m_attempt || !m_attempt->has_event || m_attempt->from_copy) {
        return std::nullopt;
    }
    return prompt_location{prompt_key(m_request.prompt), m_attempt->target.id, m_attempt->target.started_ms};
}

void proxied_request::probe_target() {
    m_attempt->is_probing = true;
    probe_run(m_traffic, m_attempt->target, m_request.forwarded->id,
              [self = shared_from_this(), number = m_attempt->number](run_status status) {
                  if (self->m_is_done || !self->m_attempt || self->m_attempt->number != number) {
                      return;
                  }
                  self->m_attempt->is_probing = false;
                  self->m_attempt->status = status;
                  self->check_for_stall();
              });
}

bool proxied_request::is_stalled_at(const std::string& target_id, bool is_certain) const {
    if (m_is_done || !m_attempt || m_attempt->target.id != target_id || !m_route->is_repeatable()) {
        return false;
    }
    // An engine that is reading a prompt sends nothing, so a missing first event does not indicate a loss.
    const bool may_be_reading = is_stream() && !m_attempt->has_event;
    const auto limit = is_certain ? k_stall_at_lost_target : k_stall_at_stalled_target;
    const auto last = is_stream() ? m_attempt->timing.last : m_attempt->transfer.last;
    return (is_certain || !may_be_reading) && m_traffic.timers.now() - last > limit;
}

void proxied_request::on_target_lost(const std::string& target_id, bool is_certain) {
    if (is_stalled_at(target_id, is_certain) && can_fail_over()) {
        m_attempt->is_target_lost = true;
        supersede_attempt("another request found that its target was lost");
    }
}

} // namespace lovage
