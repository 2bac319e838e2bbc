#include "lovage/traffic/answer_session.h"

#include "lovage/control/home_change.h"
#include "lovage/control/home_entry.h"
#include "lovage/core/not_run.h"

#include <algorithm>
#include <utility>

namespace lovage {

namespace {

// Like agents, entries send progress heartbeats three times within the timeout after which an attempt counts
// as lost.
constexpr milliseconds k_relay_progress_interval{200};

} // namespace

std::shared_ptr<answer_session> answer_session::create(std::shared_ptr<const session_context> context,
                                                       session_start start) {
    return std::shared_ptr<answer_session>(new answer_session(std::move(context), std::move(start)));
}

answer_session::answer_session(std::shared_ptr<const session_context> context, session_start start)
    : m_context(std::move(context)), m_start(std::move(start)), m_ticket(m_context->scheduler->next_ticket()),
      m_spec(m_start.spec) {
    m_log.request = m_start.request;
    m_request_latency = begin_token_latency(monotonic_now(), false);
    m_confirmed_pauses = m_context->pauses().count;
}

answer_session::~answer_session() {
    m_context->scheduler->withdraw(m_ticket);
    if (m_target) {
        release_target(*m_target);
    }
}

template <class Step>
void answer_session::start(answer_id presented, const Step& take_first_step) {
    const std::lock_guard lock(m_mutex);
    const time_point now = monotonic_now();
    m_presented_answer = presented;
    update_abandonment(now);
    if (m_log.answer.value == 0 && !ended()) {
        take_first_step(now);
    }
    schedule_timer(now);
}

void answer_session::start_as_home(answer_id presented) {
    start(presented, [this](time_point now) {
        // An adoption offer or a relay may have reached the session before this call.
        if (!m_adoption_deadline) {
            await_adoption_or_start(now);
        }
    });
}

void answer_session::start_as_relay(answer_id presented) {
    start(presented, [this](time_point now) {
        if (m_relays.empty()) {
            m_role = session_role::relay;
            follow_home(now);
        }
    });
}

void answer_session::start_at_former_home(answer_id presented) {
    start(presented, [this](time_point now) {
        if (m_relays.empty() && !ask_former_home(now)) {
            await_adoption_or_start(now);
        }
    });
}

bool answer_session::is_relay() const {
    const std::lock_guard lock(m_mutex);
    return m_role == session_role::relay && !ended();
}

void answer_session::on_disconnected(const node_id& node) {
    const std::lock_guard lock(m_mutex);
    const time_point now = monotonic_now();
    if (m_relays.erase(node) > 0) {
        update_abandonment(now);
    }
    if (ended()) {
        return;
    }
    if (m_role == session_role::relay && m_upstream == node) {
        handle_lost_home(now);
    } else if (m_target == node) {
        handle_lost_attempt(attempt_event::connection_lost, now);
    }
    schedule_timer(now);
}

void answer_session::hand_over() {
    const std::lock_guard lock(m_mutex);
    if (ended()) {
        return;
    }
    close_attempt();
    m_failure =
        error{error_kind::leaving, "this entry has left; a retry with the same key continues the answer", {}};
    m_context->on_ended(m_start.request, false, 0);
    m_changed.notify_all();
}

bool answer_session::is_ended() const {
    const std::lock_guard lock(m_mutex);
    return ended();
}

void answer_session::publish() {
    m_changed.notify_all();
    send_to_relays();
}

void answer_session::end_finished() {
    record_survival(0, monotonic_now());
    if (m_target) {
        m_context->targets->record_outcome(*m_target, true, monotonic_now());
        if (m_role == session_role::home && !m_slow_gap_counted && has_slow_gaps(m_attempt_latency)) {
            m_slow_gap_counted = true;
            add_evidence(evidence_event_kind::slow_gap);
        }
    }
    close_attempt();
    m_retry_at.reset();
    m_adoption_deadline.reset();
    m_context->record_dispatched(m_start.request);
    add_ended_request(true);
    log_decision(session_event::finished, std::to_string(m_log.tokens.size()) + " tokens");
    const bool is_kept = m_role == session_role::home || m_follows_former_home;
    m_context->on_ended(m_start.request, is_kept, is_kept ? text_bytes(m_log) : 0);
    count("answers_finished_total");
}

void answer_session::end_failed(error failure, bool not_run) {
    m_context->scheduler->withdraw(m_ticket);
    if (m_target) {
        m_context->peers.send(*m_target, cancel_message{current_ref()});
        close_attempt();
    }
    m_failure = std::move(failure);
    m_not_run = not_run;
    // Cancelled requests are not counted as failures: their callers have disconnected.
    if (m_failure->kind != error_kind::cancelled) {
        add_ended_request(false);
    }
    log_decision(session_event::failed, std::string(to_string(m_failure->kind)) + ": " + m_failure->detail);
    m_retry_at.reset();
    m_adoption_deadline.reset();
    for (const auto& [node, relay] : m_relays) {
        send_failure(node);
    }
    if (m_possible_runs > 0) {
        m_context->record_dispatched(m_start.request);
    }
    m_context->on_ended(m_start.request, false, 0);
    count("answers_failed_total");
    m_changed.notify_all();
}

bool answer_session::ended() const {
    return m_failure.has_value() || m_log.finished;
}

bool answer_session::can_state_not_run(time_point now) const {
    const auto view = m_context->views->current();
    const member_info* home = home_entry(*view, m_start.request, m_context->options.region);
    not_run_conditions facts;
    facts.is_home = home != nullptr && home->node == m_context->options.self;
    facts.is_fresh_id = m_start.is_fresh_id;
    facts.dispatched = m_possible_runs > 0 || m_context->was_dispatched(m_start.request);
    facts.home_changed_at = home_changed_at(*view, m_start.request, m_context->options.region);
    facts.entry_failed_at = std::max(entry_failed_at(*view), m_context->pauses().last_end);
    return is_not_run(facts, now);
}

attempt_ref answer_session::current_ref() const {
    return {m_start.request, m_log.answer, m_log.attempt};
}

void answer_session::count(const char* name, double by) const {
    m_context->count(name, by);
}

// Schedules the next call of `on_timer`, unless an earlier one is scheduled already.
void answer_session::schedule_timer(time_point now) {
    if (ended()) {
        return;
    }
    std::optional<time_point> due;
    const auto consider = [&due](std::optional<time_point> moment) {
        if (moment && (!due || *moment < *due)) {
            due = moment;
        }
    };
    consider(m_retry_at);
    consider(m_adoption_deadline);
    consider(m_deadline);
    if (m_target || m_upstream) {
        consider(m_last_heard + k_attempt_heartbeat_timeout);
    }
    if (m_abandoned_since) {
        consider(*m_abandoned_since + m_context->options.abandoned_after);
    }
    if (!m_relays.empty()) {
        consider(m_next_relay_progress);
    }
    if (!due || (m_timer_due && *m_timer_due <= *due)) {
        return;
    }
    const time_point at = std::max(*due, now);
    m_timer_due = at;
    m_context->timers->at(at, [weak = weak_from_this(), at] {
        if (const auto session = weak.lock()) {
            session->on_timer(at);
        }
    });
}

void answer_session::on_timer(time_point due) {
    const std::lock_guard lock(m_mutex);
    if (m_timer_due == due) {
        m_timer_due.reset();
    }
    if (ended()) {
        return;
    }
    const time_point now = monotonic_now();
    if (now - due > k_process_pause_threshold) {
        m_last_heard = now;
    }
    if (m_deadline && now >= *m_deadline) {
        end_failed({error_kind::deadline_exceeded, "the deadline passed before the answer was complete", {}},
                   can_state_not_run(now));
        return;
    }
    if (m_abandoned_since && now - *m_abandoned_since >= m_context->options.abandoned_after) {
        count("answers_abandoned_total");
        end_failed({error_kind::cancelled, "no caller reads the answer", {}}, false);
        return;
    }
    const bool is_silent = now - m_last_heard >= k_attempt_heartbeat_timeout;
    if (m_role == session_role::relay) {
        if (m_upstream && is_silent) {
            handle_lost_home(now);
        } else if (m_retry_at && now >= *m_retry_at) {
            if (m_asking_since) {
                follow_former_home(now);
            } else {
                follow_home(now);
            }
        }
    } else if (m_adoption_deadline) {
        if (now >= *m_adoption_deadline) {
            m_adoption_deadline.reset();
            if (!return_to_home(now)) {
                start_answer(now);
            }
        }
    } else if (m_target && is_silent) {
        handle_lost_attempt(attempt_event::silent, now);
    } else if (m_retry_at && now >= *m_retry_at) {
        dispatch_next_attempt(attempt_event::target_wanted, now);
    }
    if (!m_relays.empty() && now >= m_next_relay_progress && !ended()) {
        m_next_relay_progress = now + k_relay_progress_interval;
        const progress_message progress{{{current_ref(), static_cast<token_index>(m_log.tokens.size())}}};
        for (const auto& [node, relay] : m_relays) {
            m_context->peers.send(node, progress);
        }
        send_to_relays();
    }
    schedule_timer(now);
}

} // namespace lovage
