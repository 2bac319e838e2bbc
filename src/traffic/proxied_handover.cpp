#include "proxied_helpers.h"

#include "lovage/traffic/proxied_request.h"

#include <algorithm>

namespace lovage {

namespace {

// Longest time for which an engine's run is kept after its successor was sent. A run that another engine has
// gone on with must stop within 400 ms; the rest is left for the close of the connection to arrive. Targets
// refuse, and connects time out, within this time.
constexpr milliseconds k_max_handover{300};
// Delays between tries to continue a stream for which no target accepts the work: the first one, and the
// bound of the doubled ones.
constexpr milliseconds k_first_retry_delay{100};
constexpr milliseconds k_max_retry_delay{800};

} // namespace

bool proxied_request::is_superseded(std::uint32_t number) const {
    return !m_is_done && m_superseded && m_superseded->run.number == number;
}

void proxied_request::supersede_attempt(const std::string& detail) {
    const auto self = shared_from_this();
    release_superseded();
    m_superseded = superseded_attempt{take_attempt(), {}};
    auto& run = m_superseded->run;
    const std::string target = run.target.id;
    run.is_suspect = true;
    record_health(run, attempt_end::silent);
    ++m_runs;
    m_copy = run.has_event && !run.is_copy_refused ? run.copy : standby_copy{};
    record_try(target, attempt_end::silent);
    const bool engine_answers = run.status && run.status->state != run_state::no_answer;
    if (engine_answers && !run.is_overdue) {
        observe_overdue(m_traffic, observed(run), run.has_event);
    }
    if (is_stream()) {
        // What arrives now would reach the caller twice if the successor begins.
        run.handle.pause(true);
    }
    use_usual_version_for_retries();
    execute_next_step(attempt_end::silent, detail + " at " + target);
    if (is_stream()) {
        report_lost_target(m_traffic, target, false);
    }
}

// Started anew by each send: a successor that was refused has not begun. Runs of plain requests are kept
// without a limit, since the first target to answer serves the request.
void proxied_request::start_handover_timer() {
    cancel_timer(m_handover_timer);
    if (!m_superseded || !is_stream()) {
        return;
    }
    m_handover_timer = m_traffic.timers.after(k_max_handover, [self = shared_from_this()] {
        self->m_handover_timer = nullptr;
        self->release_superseded();
    });
}

void proxied_request::release_superseded() {
    cancel_timer(m_handover_timer);
    if (!m_superseded) {
        return;
    }
    const auto released = std::move(m_superseded->run);
    m_superseded.reset();
    released.handle.cancel();
    release_target(released);
}

void proxied_request::reinstate_attempt(const std::string& reason) {
    cancel_timer(m_handover_timer);
    if (m_attempt) {
        // Its successor may have begun.
        ++m_runs;
        cancel_attempt();
    }
    auto superseded = std::move(*m_superseded);
    m_superseded.reset();
    m_attempt = std::move(superseded.run);
    m_attempt->is_target_lost = false;
    --m_runs;
    m_sends = 0;
    m_attempt->is_copy_refused |= m_attempt->has_event && m_copy.target_id.empty();
    if (is_stream()) {
        m_attempt->handle.pause(m_attempt->is_reading_paused);
    } else if (std::exchange(m_attempt->is_reading_paused, false)) {
        m_attempt->handle.pause(false);
    }
    log_step(log_level::info, "attempt_reinstated", m_attempt->target.id, reason);
    m_traffic.sink.count("gateway_attempts_reinstated", m_route->name);
    // Started before the events, which may end the attempt.
    recheck_stall_after(next_retry_delay());
    const auto number = m_attempt->number;
    for (const auto& event : superseded.deferred_events) {
        if (is_current(number)) {
            event(*this);
        }
    }
}

void proxied_request::handle_superseded_event(std::function<void(proxied_request&)> event) {
    auto& run = m_superseded->run;
    m_superseded->deferred_events.push_back(std::move(event));
    if (is_stream()) {
        return;
    }
    if (m_attempt && m_attempt->has_head) {
        // Both answer: the successor's answer is used unless it breaks off.
        run.is_reading_paused = true;
        run.handle.pause(true);
        return;
    }
    reinstate_attempt("it answered before its successor");
}

milliseconds proxied_request::next_retry_delay() {
    m_retry_delay = std::clamp(2 * m_retry_delay, k_first_retry_delay, k_max_retry_delay);
    return m_retry_delay;
}

void proxied_request::wait_for_target(attempt_end end, const std::string& detail) {
    m_sends = 0;
    m_retry_timer = m_traffic.timers.after(next_retry_delay(), [self = shared_from_this(), end, detail] {
        self->m_retry_timer = nullptr;
        if (!self->m_is_done) {
            self->perform_step(self->choose_next_step(end).step, end, detail);
        }
    });
}

void proxied_request::handle_missing_target() {
    const std::string detail = "no usable target of " + m_service_name;
    if (m_superseded) {
        reinstate_attempt(detail);
        return;
    }
    // Nothing was sent, as to an unreachable target.
    perform_step(choose_next_step(attempt_end::unreachable).step, attempt_end::unreachable, detail);
}

void proxied_request::give_up(error_kind kind, const std::string& detail) {
    if (m_superseded) {
        reinstate_attempt(detail);
        return;
    }
    refuse(kind, detail);
}

} // namespace lovage
