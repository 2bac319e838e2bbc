#include "lovage/traffic/answer_session.h"

#include <utility>

namespace lovage {

void answer_session::log_decision(session_event event, std::string detail) const {
    m_context->record->add_decision(m_start.request.to_string(), event, std::move(detail));
}

void answer_session::add_extra_tokens(std::size_t tokens) {
    m_extra_tokens += tokens;
    count("extra_tokens_total", static_cast<double>(tokens));
}

// Only the home entry records the end of a request, so that relayed requests count once.
void answer_session::add_ended_request(bool is_complete) {
    if (m_role != session_role::home || m_start.digest == 0) {
        return;
    }
    ended_request ending;
    ending.service = m_spec.service;
    ending.organisation = m_spec.organisation;
    ending.honoured =
        is_complete && !m_request_latency.is_first_token_slow && !has_slow_gaps(m_request_latency);
    ending.resumed = m_resumes > 0;
    ending.tokens = m_log.tokens.size();
    ending.extra_tokens = m_extra_tokens;
    m_context->record->add_ended_request(*m_context->views->current(), ending);
}

void answer_session::start_attempt_latency(time_point now) {
    m_attempt_latency = begin_token_latency(now, !m_log.tokens.empty());
    m_first_token_counted = !m_log.tokens.empty();
    m_slow_gap_counted = false;
    const auto view = m_context->views->current();
    if (!view->config) {
        return;
    }
    for (const auto& service : view->config->services) {
        if (service.name == m_spec.service) {
            m_objective = service.objective;
        }
    }
}

void answer_session::add_evidence(evidence_event_kind kind) {
    m_context->evidence->record({m_spec.model, m_spec.model_version, m_spec.service}, kind);
}

void answer_session::record_token_latency(std::size_t added, time_point now) {
    if (m_role != session_role::home) {
        return;
    }
    add_tokens(m_attempt_latency, added, m_objective, now);
    add_tokens(m_request_latency, added, m_objective, now);
    if (!m_first_token_counted) {
        m_first_token_counted = true;
        add_evidence(m_attempt_latency.is_first_token_slow ? evidence_event_kind::slow_first_token
                                                           : evidence_event_kind::first_token);
    }
    if (!m_slow_gap_counted && is_persistently_slow(m_attempt_latency)) {
        m_slow_gap_counted = true;
        add_evidence(evidence_event_kind::slow_gap);
    }
}

// Records that the engine of the attempt in progress has generated at least `tokens` from the prompt.
void answer_session::record_survival(std::size_t tokens, time_point now) {
    if (m_target && !m_has_survived_prompt && m_log.tokens.size() - m_attempt_first >= tokens) {
        m_has_survived_prompt = true;
        m_context->quarantine->record_success(m_spec, now);
    }
}

void answer_session::record_overdue_first_token(time_point now) {
    if (!m_first_token_counted && is_first_token_overdue(m_attempt_latency, m_objective, now)) {
        m_first_token_counted = true;
        add_evidence(evidence_event_kind::slow_first_token);
    }
}

} // namespace lovage
