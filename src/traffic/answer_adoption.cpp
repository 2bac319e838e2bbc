#include "answer_session_helpers.h"

#include "lovage/traffic/answer_session.h"

#include <algorithm>
#include <utility>

namespace lovage {

void answer_session::await_adoption_or_start(time_point now) {
    adoption_prospects prospects;
    if (!m_start.is_fresh_id) {
        prospects = m_context->prospects(m_start.request);
    }
    prospects.holds_answer = m_log.answer.value != 0 || m_presented_answer.value != 0;
    m_adoption_deadline = adoption_wait_end(prospects, m_context->options.adoption_wait, now);
    if (!m_adoption_deadline) {
        start_answer(now);
    }
}

void answer_session::on_adopt(const node_id& from, const adopt_message& message) {
    const std::lock_guard lock(m_mutex);
    const time_point now = monotonic_now();
    if (!accepts_adoption(from, message)) {
        const bool same_answer = message.ref.answer == m_log.answer;
        const std::size_t shared =
            same_answer ? std::min<std::size_t>(m_attempt_first, message.tokens.size()) : 0;
        add_extra_tokens(message.tokens.size() - shared);
        count("adoptions_refused_total");
        m_context->peers.send(from, adopt_reply_message{message.ref, false});
        return;
    }
    m_context->peers.send(from, adopt_reply_message{message.ref, true});
    count("adoptions_total");
    log_decision(session_event::adopted, "from " + from + " with " + std::to_string(message.tokens.size()) +
                                             " tokens of version " + message.spec.model_version);
    if (m_upstream) {
        m_context->peers.send(*m_upstream, detach_message{m_start.request});
    }
    m_role = session_role::home;
    m_follows_former_home = false;
    m_asking_since.reset();
    m_upstream.reset();
    m_upstream_lost.reset();
    answer_log offered{m_start.request, message.ref.answer, message.ref.attempt, message.tokens, false, {}};
    if (offered.answer == m_log.answer && m_log.tokens.size() > offered.tokens.size()) {
        offered.tokens = m_log.tokens;
    }
    const bool is_complete = message.finished && offered.tokens.size() == message.tokens.size();
    replace_answer(std::move(offered), message.spec, from);
    m_last_heard = now;
    if (is_complete) {
        m_log.finished = true;
        m_log.reason = message.reason;
        end_finished();
    }
    publish();
    schedule_timer(now);
}

bool answer_session::accepts_adoption(const node_id& from, const adopt_message& message) const {
    if (ended()) {
        return false;
    }
    if (m_role == session_role::relay && m_upstream && !m_upstream_lost && !m_asking_since) {
        // The home entry is alive and has resumed the answer; only a longer log of the same text is better.
        return message.ref.answer == m_log.answer && message.tokens.size() > m_log.tokens.size() &&
               continues(m_log, message.tokens);
    }
    if (m_log.answer.value == 0) {
        return true;
    }
    if (message.ref.answer != m_log.answer) {
        return !m_delivered && m_role == session_role::home && message.tokens.size() > m_log.tokens.size();
    }
    if (m_target) {
        const bool is_running_one = m_target == from && message.ref == current_ref();
        return is_running_one ||
               (message.tokens.size() > m_log.tokens.size() && continues(m_log, message.tokens));
    }
    return continues(m_log, message.tokens) ||
           (message.ref.attempt >= m_log.attempt && is_prefix(message.tokens, m_log.tokens));
}

void answer_session::replace_answer(answer_log log, const generation_spec& spec,
                                    std::optional<node_id> target) {
    m_adoption_deadline.reset();
    if (m_target) {
        const attempt_ref replaced_attempt = current_ref();
        if (m_target != target || replaced_attempt != attempt_ref{log.request, log.answer, log.attempt}) {
            m_context->peers.send(*m_target, cancel_message{replaced_attempt});
            add_extra_tokens(m_log.tokens.size() - m_attempt_first);
        }
        close_attempt();
    }
    if (log.answer != m_log.answer) {
        ++m_epoch;
    }
    m_log = std::move(log);
    m_spec.model = spec.model;
    m_spec.model_version = spec.model_version;
    m_spec.adapter = spec.adapter;
    m_waiting_since.reset();
    m_retry_at.reset();
    m_attempt_first = static_cast<token_index>(m_log.tokens.size());
    ++m_possible_runs;
    m_attempt_skip = target ? 0 : k_takeover_attempt_stride;
    // Another entry has already delivered these tokens, so the latency of the first token is not measured
    // here.
    if (!m_log.tokens.empty() && !m_request_latency.has_received_first_token) {
        m_request_latency = begin_token_latency(monotonic_now(), true);
    }
    if (target) {
        m_context->targets->add_in_flight(*target);
        m_target = std::move(target);
        start_attempt_latency(monotonic_now());
    }
}

} // namespace lovage
