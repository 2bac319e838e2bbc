#include "answer_session_helpers.h"

#include "lovage/traffic/answer_session.h"

#include <algorithm>

namespace lovage {

namespace {

// Assumed last attempt number of an answer that is continued from a relay's tokens, if the relay did not give
// that number.
constexpr attempt_number k_attempt_after_unknown = 1'000;

} // namespace

void answer_session::on_attach(const node_id& from, const attach_message& message) {
    const std::lock_guard lock(m_mutex);
    if (m_failure) {
        send_failure(from);
        return;
    }
    const time_point now = monotonic_now();
    const bool holds_text = message.answer.value != 0 && !message.known.empty();
    // The other entry considers this one the home. Two relays that follow each other would wait for ever, so
    // an entry to which another one attaches becomes the home, unless it follows a third one that took its
    // place or asks for one: an entry that has not taken its place says so.
    const bool follows_former =
        m_role == session_role::relay && m_follows_former_home && (m_asking_since || m_upstream != from);
    const bool becomes_home = m_role == session_role::relay && !follows_former;
    extend_deadline(message.spec.deadline, now);
    relay_state& relay = m_relays[from];
    relay = {};
    bool needs_attempt = false;
    if (holds_text) {
        const bool same_answer = message.answer == m_log.answer;
        const bool has_delivered = m_delivered || (m_role == session_role::relay && !m_log.tokens.empty());
        const bool replaces = m_log.answer.value == 0 || (!same_answer && !has_delivered && !m_log.finished &&
                                                          message.known.size() > m_log.tokens.size());
        const bool extends = same_answer && !m_log.finished && continues(m_log, message.known) &&
                             message.known.size() > m_log.tokens.size();
        const attempt_number last = std::max(message.attempt > 0 ? message.attempt : k_attempt_after_unknown,
                                             same_answer ? m_log.attempt : 0);
        if (follows_former) {
            // The text of the entry that is followed goes before the relay's.
            if (m_log.answer.value == 0) {
                m_log = {m_start.request, message.answer, last, message.known, false, {}};
                ++m_epoch;
            }
        } else if (replaces || extends) {
            const auto adoption_deadline = m_adoption_deadline;
            replace_answer({m_start.request, message.answer, last, message.known, false, {}}, message.spec,
                           std::nullopt);
            m_adoption_deadline = adoption_deadline;
            m_delivered = true;
            needs_attempt = true;
        }
    }
    if (becomes_home) {
        become_home(now);
    } else if (needs_attempt && !m_adoption_deadline) {
        dispatch_next_attempt(attempt_event::target_wanted, now);
    }
    if (holds_text && message.answer == m_log.answer && is_prefix(message.known, m_log.tokens)) {
        relay.epoch = m_epoch;
        relay.next = static_cast<token_index>(message.known.size());
    }
    if (m_failure) {
        // The end of the session has sent the failure to all relays.
        return;
    }
    update_abandonment(now);
    m_next_relay_progress = now;
    if (relay.epoch != 0) {
        m_context->peers.send(from, attach_reply_message{current_ref(), m_spec.model_version, relay.next});
    }
    send_to_relays();
    schedule_timer(now);
}

void answer_session::on_detach(const node_id& from) {
    const std::lock_guard lock(m_mutex);
    const time_point now = monotonic_now();
    m_relays.erase(from);
    update_abandonment(now);
    schedule_timer(now);
}

void answer_session::send_to_relays() {
    for (auto& [node, relay] : m_relays) {
        send_to_relay(node, relay);
    }
}

// A message that cannot be sent is retried with the next update, at the latest with the next progress
// heartbeat.
void answer_session::send_to_relay(const node_id& node, relay_state& relay) {
    // The version of an answer is undecided until its first attempt is dispatched, and a relay is told the
    // version only once.
    const bool has_version = m_log.attempt > 0 || m_log.finished;
    if (m_log.answer.value == 0 || m_epoch == 0 || !has_version) {
        return;
    }
    if (relay.epoch != m_epoch) {
        if (!m_context->peers.send(node, attach_reply_message{current_ref(), m_spec.model_version, 0})) {
            return;
        }
        relay = {m_epoch, 0, false};
    }
    if (relay.next < m_log.tokens.size()) {
        tokens_message message{current_ref(), relay.next, {}};
        message.tokens.assign(m_log.tokens.begin() + relay.next, m_log.tokens.end());
        if (!m_context->peers.send(node, message)) {
            return;
        }
        relay.next = static_cast<token_index>(m_log.tokens.size());
        m_delivered = true;
    }
    if (m_log.finished && !relay.finished_sent) {
        relay.finished_sent =
            m_context->peers.send(node, finished_message{current_ref(), relay.next, m_log.reason});
    }
}

void answer_session::send_failure(const node_id& relay) const {
    m_context->peers.send(relay, failed_message{current_ref(), m_failure->kind, m_failure->detail, m_not_run,
                                                static_cast<std::uint32_t>(m_failure->retry_after.count())});
}

} // namespace lovage
