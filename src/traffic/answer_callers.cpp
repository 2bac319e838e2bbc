#include "lovage/traffic/answer_session.h"

#include <algorithm>

namespace lovage {

void answer_session::add_caller(wall_time deadline) {
    const std::lock_guard lock(m_mutex);
    const time_point now = monotonic_now();
    ++m_caller_count;
    extend_deadline(deadline, now);
    update_abandonment(now);
}

void answer_session::remove_caller() {
    const std::lock_guard lock(m_mutex);
    const time_point now = monotonic_now();
    --m_caller_count;
    update_abandonment(now);
    if (ended() || m_caller_count > 0) {
        return;
    }
    if (m_role == session_role::relay && m_relays.empty()) {
        if (m_upstream) {
            m_context->peers.send(*m_upstream, detach_message{m_start.request});
        }
        end_failed({error_kind::cancelled, "no caller reads the answer", {}}, false);
        return;
    }
    schedule_timer(now);
}

answer_read_result answer_session::read(answer_cursor& cursor, milliseconds wait) {
    std::unique_lock lock(m_mutex);
    const auto is_visible = [&] { return m_log.finished || !m_log.tokens.empty(); };
    // A relay fetches the answer from the beginning, so its log may still be shorter than the caller's part.
    const auto is_behind_caller = [&] {
        return m_role == session_role::relay && cursor.epoch == 0 && cursor.answer == m_log.answer &&
               cursor.next > m_log.tokens.size() && !m_log.finished;
    };
    const auto has_update = [&] {
        if (m_failure) {
            return true;
        }
        if (!is_visible() || is_behind_caller()) {
            return false;
        }
        return cursor.epoch != m_epoch || cursor.next < m_log.tokens.size() || m_log.finished;
    };
    m_changed.wait_until(lock, monotonic_now() + wait, has_update);

    answer_read_result read_result;
    read_result.answer = m_log.answer;
    read_result.model_version = m_spec.model_version;
    if (is_visible() && !is_behind_caller() && cursor.epoch != m_epoch) {
        const bool continues_here =
            cursor.epoch == 0 && cursor.answer == m_log.answer && cursor.next <= m_log.tokens.size();
        const bool holds_text = cursor.answer.value != 0 && !continues_here && cursor.next > 0;
        read_result.kind = holds_text ? read_result_kind::restarted : read_result_kind::started;
        cursor.next = continues_here ? cursor.next : 0;
        cursor.epoch = m_epoch;
        cursor.answer = m_log.answer;
        read_result.first = cursor.next;
        return read_result;
    }
    if (is_visible() && cursor.epoch == m_epoch && cursor.next < m_log.tokens.size()) {
        read_result.kind = read_result_kind::tokens;
        read_result.first = cursor.next;
        read_result.tokens.assign(m_log.tokens.begin() + cursor.next, m_log.tokens.end());
        cursor.next = static_cast<token_index>(m_log.tokens.size());
        m_delivered = m_delivered || cursor.streamed;
        return read_result;
    }
    if (m_failure) {
        read_result.kind = read_result_kind::failed;
        read_result.failure = *m_failure;
        read_result.not_run = m_not_run;
        return read_result;
    }
    if (m_log.finished && cursor.epoch == m_epoch) {
        read_result.kind = read_result_kind::finished;
        read_result.first = static_cast<token_index>(m_log.tokens.size());
        read_result.reason = m_log.reason;
    }
    return read_result;
}

void answer_session::update_abandonment(time_point now) {
    if (m_caller_count > 0 || !m_relays.empty()) {
        m_abandoned_since.reset();
    } else if (!m_abandoned_since) {
        m_abandoned_since = now;
    }
}

void answer_session::extend_deadline(wall_time deadline, time_point now) {
    if (deadline == wall_time{}) {
        m_has_caller_without_deadline = true;
        m_deadline.reset();
    } else if (!m_has_caller_without_deadline) {
        const time_point due = now + (deadline - wall_now());
        m_deadline = std::max(m_deadline.value_or(due), due);
    }
}

} // namespace lovage
