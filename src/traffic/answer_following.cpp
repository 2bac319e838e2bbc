#include "answer_session_helpers.h"

#include "lovage/control/home_change.h"
#include "lovage/control/home_entry.h"
#include "lovage/traffic/answer_session.h"

#include <algorithm>

namespace lovage {

namespace {

constexpr milliseconds k_home_exclusion{2'000};
constexpr milliseconds k_home_poll_interval{50};

// Returns the entry to follow: the highest-ranked one that is reachable and not excluded. This entry itself
// is always reachable.
const member_info* home_to_follow(const fleet_view& view, const session_context& context,
                                  const request_id& request, const std::vector<node_id>& excluded) {
    return reachable_home_entry(view, request, context.options.region, [&](const node_id& node) {
        return node == context.options.self ||
               (std::find(excluded.begin(), excluded.end(), node) == excluded.end() &&
                context.peers.is_connected(node));
    });
}

} // namespace

void answer_session::on_attach_reply(const node_id& from, const attach_reply_message& message) {
    const std::lock_guard lock(m_mutex);
    if (m_role != session_role::relay || m_upstream != from || ended()) {
        return;
    }
    const time_point now = monotonic_now();
    m_last_heard = now;
    m_asking_since.reset();
    m_spec.model_version = message.model_version;
    if (message.ref.answer != m_log.answer || message.next < m_log.tokens.size()) {
        m_log = {m_start.request, message.ref.answer, message.ref.attempt, {}, false, {}};
        ++m_epoch;
    }
    m_log.attempt = std::max(m_log.attempt, message.ref.attempt);
    publish();
}

bool answer_session::accept_from_home(const node_id& from, const attempt_ref& ref) {
    if (m_role == session_role::home) {
        return true;
    }
    if (m_upstream != from || ref.answer != m_log.answer) {
        count("dropped_messages_total");
        return false;
    }
    // Each resume at the home entry has a new attempt number; the relay follows the same text through all of
    // them.
    m_log.attempt = ref.attempt;
    m_last_heard = monotonic_now();
    return true;
}

void answer_session::follow_home(time_point now) {
    const auto view = m_context->views->current();
    const member_info* home = home_entry(*view, m_start.request, m_context->options.region);
    // After a pause of this process, its connections are missing although the home entry is not lost.
    const bool may_skip_home = m_upstream_lost &&
                               now - *m_upstream_lost >= m_context->options.home_reconnect_wait &&
                               !is_reconnecting(m_context->pauses(), now);
    if (may_skip_home) {
        home = home_to_follow(*view, *m_context, m_start.request, need(now).excluded);
    }
    if (home == nullptr || home->node == m_context->options.self) {
        become_home(now);
        return;
    }
    if (!attach_to(home->node, m_start.digest, now)) {
        m_upstream_lost = m_upstream_lost.value_or(now);
        m_retry_at = now + k_home_poll_interval;
    }
}

bool answer_session::attach_to(const node_id& home, std::uint64_t digest, time_point now) {
    attach_message message;
    message.request = m_start.request;
    message.spec = m_spec;
    message.digest = digest;
    message.answer = m_log.answer.value != 0 ? m_log.answer : m_presented_answer;
    message.attempt = m_log.attempt;
    message.next = static_cast<token_index>(m_log.tokens.size());
    message.known = m_log.tokens;
    if (!m_context->peers.send(home, message)) {
        return false;
    }
    m_upstream = home;
    // From now on the home entry may dispatch the request.
    ++m_possible_runs;
    m_upstream_lost.reset();
    m_retry_at.reset();
    m_last_heard = now;
    return true;
}

void answer_session::handle_lost_home(time_point now) {
    const bool is_cut = m_upstream && !m_context->peers.is_connected(*m_upstream);
    if (m_follows_former_home && is_cut && !m_asking_since) {
        // The connection may come back; this entry has no attempt of its own.
        m_asking_since = now;
    }
    if (m_asking_since && !is_ask_over(now)) {
        m_upstream.reset();
        m_retry_at = now + k_home_poll_interval;
        return;
    }
    count("homes_lost_total");
    if (m_upstream) {
        // The home entry may still be alive and sending to this relay; the next attach starts over.
        m_context->peers.send(*m_upstream, detach_message{m_start.request});
        exclude_node(*m_upstream, k_home_exclusion, now);
    }
    m_upstream.reset();
    m_follows_former_home = false;
    m_asking_since.reset();
    m_upstream_lost = m_upstream_lost.value_or(now);
    follow_home(now);
}

void answer_session::become_home(time_point now) {
    m_role = session_role::home;
    m_follows_former_home = false;
    m_asking_since.reset();
    m_confirmed_pauses = m_context->pauses().count;
    if (m_upstream) {
        m_context->peers.send(*m_upstream, detach_message{m_start.request});
    }
    m_upstream.reset();
    m_upstream_lost.reset();
    m_excluded.clear();
    if (ended()) {
        return;
    }
    if (m_log.answer.value != 0) {
        count("homes_taken_over_total");
    }
    m_delivered = !m_log.tokens.empty();
    m_attempt_skip = k_takeover_attempt_stride;
    await_adoption_or_start(now);
}

// Returns to the role of a relay if the home entry is connected again while this entry, which had taken its
// place, still waits for an adoption. Agents then offer the answer to the home entry.
bool answer_session::return_to_home(time_point now) {
    const auto view = m_context->views->current();
    const member_info* home = home_entry(*view, m_start.request, m_context->options.region);
    if (m_log.answer.value != 0 || !m_relays.empty() || home == nullptr ||
        home->node == m_context->options.self || !m_context->peers.is_connected(home->node)) {
        return false;
    }
    m_role = session_role::relay;
    follow_home(now);
    return true;
}

// Asks the entry that may have taken this entry's place for its answer. Returns false if there is none.
bool answer_session::ask_former_home(time_point now) {
    const auto view = m_context->views->current();
    const auto& options = m_context->options;
    if (former_home(*view, m_start.request, options.region, options.self, m_context->pauses().last_end,
                    now) == nullptr) {
        return false;
    }
    count("former_homes_asked_total");
    m_context->scheduler->withdraw(m_ticket);
    m_role = session_role::relay;
    m_follows_former_home = true;
    m_asking_since = now;
    follow_former_home(now);
    return true;
}

// After a pause of this process its connections are closed, so the former home may be unreachable for a
// moment.
void answer_session::follow_former_home(time_point now) {
    const auto view = m_context->views->current();
    const auto& options = m_context->options;
    const member_info* former =
        former_home(*view, m_start.request, options.region, options.self, m_context->pauses().last_end, now);
    // With digest 0 the former home does not start an answer.
    if (former != nullptr && attach_to(former->node, 0, now)) {
        return;
    }
    if (former == nullptr || is_ask_over(now)) {
        become_home(now);
        return;
    }
    m_retry_at = now + k_home_poll_interval;
}

// Whether the former home that is asked counts as lost if it is unreachable.
bool answer_session::is_ask_over(time_point now) const {
    return now - *m_asking_since >= m_context->options.home_reconnect_wait &&
           !is_reconnecting(m_context->pauses(), now);
}

} // namespace lovage
