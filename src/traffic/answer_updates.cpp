#include "lovage/traffic/answer_session.h"

namespace lovage {

void answer_session::on_tokens(const node_id& from, const tokens_message& message) {
    const std::lock_guard lock(m_mutex);
    if (ended() || !accept_from_home(from, message.ref)) {
        return;
    }
    const time_point now = monotonic_now();
    const std::size_t before = m_log.tokens.size();
    const log_outcome outcome = m_role == session_role::home && m_target != from
                                    ? log_outcome::other_attempt
                                    : accept_tokens(m_log, message.ref, message.first, message.tokens);
    if (m_log.tokens.size() > before) {
        m_losses_without_progress = 0;
        record_token_latency(m_log.tokens.size() - before, now);
        record_survival(k_events_to_clear, now);
    }
    apply(outcome, from, message.ref, now);
}

void answer_session::on_finished(const node_id& from, const finished_message& message) {
    const std::lock_guard lock(m_mutex);
    if (ended() || !accept_from_home(from, message.ref)) {
        return;
    }
    const log_outcome outcome = m_role == session_role::home && m_target != from
                                    ? log_outcome::other_attempt
                                    : accept_final(m_log, message.ref, message.total, message.reason);
    apply(outcome, from, message.ref, monotonic_now());
}

void answer_session::on_failed(const node_id& from, const failed_message& message) {
    const std::lock_guard lock(m_mutex);
    if (ended()) {
        return;
    }
    const time_point now = monotonic_now();
    if (m_role == session_role::relay) {
        if (m_upstream != from) {
            return;
        }
        if (m_asking_since) {
            m_upstream.reset();
            // An attach message dispatches nothing at the former home, but an answer that failed there may
            // have run before.
            if (message.kind == error_kind::not_found || message.not_run) {
                --m_possible_runs;
            }
            become_home(now);
            schedule_timer(now);
            return;
        }
        // The home states this of one attach message. If there were more, the failure may be the reply to an
        // earlier one, and the home may dispatch the request for a later one.
        const bool is_not_run = message.not_run && m_possible_runs <= 1;
        end_failed({message.kind, message.detail, milliseconds(message.retry_after_ms)}, is_not_run);
        return;
    }
    if (m_target != from || message.ref != current_ref()) {
        count("dropped_messages_total");
        return;
    }
    const attempt_event event = event_for_failure(message.kind);
    // Only a failure that the agent reports is evidence against the version: the agent checks the token
    // indexes and the done event of its engine. The loss of an agent or connection and a token gap between
    // agent and entry are not.
    if (message.kind == error_kind::target_failed && !message.not_run) {
        add_evidence(evidence_event_kind::failure);
        if (m_log.tokens.size() - m_attempt_first < k_events_to_clear) {
            m_context->quarantine->record_crash(m_spec, from, now);
        }
    }
    if (message.not_run && m_possible_runs > 0) {
        --m_possible_runs;
    }
    if (event == attempt_event::rejected) {
        close_attempt();
        end_failed({message.kind, message.detail, milliseconds(message.retry_after_ms)},
                   can_state_not_run(now));
        return;
    }
    handle_lost_attempt(event, now);
    schedule_timer(now);
}

void answer_session::on_progress(const node_id& from, const attempt_ref& ref) {
    const std::lock_guard lock(m_mutex);
    if (m_role == session_role::relay) {
        if (m_upstream == from) {
            m_last_heard = monotonic_now();
        }
        return;
    }
    if (m_target == from && ref == current_ref()) {
        m_last_heard = monotonic_now();
        record_overdue_first_token(m_last_heard);
        return;
    }
    count("dropped_messages_total");
    m_context->peers.send(from, cancel_message{ref});
}

void answer_session::apply(log_outcome outcome, const node_id& from, const attempt_ref& ref, time_point now) {
    switch (outcome) {
    case log_outcome::accepted:
        m_last_heard = now;
        publish();
        break;
    case log_outcome::finished:
        end_finished();
        publish();
        break;
    case log_outcome::repeated:
    case log_outcome::after_final:
        m_last_heard = now;
        count("dropped_messages_total");
        break;
    case log_outcome::other_attempt:
        count("dropped_messages_total");
        if (m_role == session_role::home) {
            m_context->peers.send(from, cancel_message{ref});
        }
        break;
    case log_outcome::gap:
        count("gaps_total");
        if (m_role == session_role::relay) {
            handle_lost_home(now);
        } else {
            handle_lost_attempt(attempt_event::gap, now);
        }
        schedule_timer(now);
        break;
    }
}

} // namespace lovage
