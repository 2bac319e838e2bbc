#include "lovage/traffic/answer_session.h"

#include "lovage/control/home_change.h"
#include "lovage/control/home_entry.h"
#include "lovage/control/serving_version.h"
#include "lovage/core/not_run.h"
#include "lovage/core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace lovage {

namespace {

// The only target with the required version may have failed, so a failed target is retried after this time.
constexpr milliseconds k_failed_exclusion{1'000};
constexpr milliseconds k_busy_exclusion{100};
constexpr milliseconds k_home_exclusion{2'000};
// Like agents, entries send progress heartbeats three times within the timeout after which an attempt counts
// as lost.
constexpr milliseconds k_relay_progress_interval{200};
constexpr milliseconds k_home_poll_interval{50};
// Maximum wait in the queue for a request without a deadline.
constexpr milliseconds k_max_queue_wait{60'000};
// Assumed last attempt number of an answer that is continued from a relay's tokens, if the relay did not give
// that number.
constexpr attempt_number k_attempt_after_unknown = 1'000;
// A home entry that is only partitioned may dispatch further attempts. Its successor skips this many numbers,
// so that no two dispatches have the same number.
constexpr attempt_number k_takeover_attempt_stride = 100;

double organisation_share(const fleet_view& view, const std::string& name) {
    if (!view.config) {
        return 1.0;
    }
    const auto& organisations = view.config->organisations;
    const auto found =
        std::find_if(organisations.begin(), organisations.end(),
                     [&name](const organisation_config& organisation) { return organisation.name == name; });
    return found == organisations.end() ? 1.0 : found->share;
}

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

bool is_prefix(const std::vector<token>& shorter, const std::vector<token>& longer) {
    return shorter.size() <= longer.size() && std::equal(shorter.begin(), shorter.end(), longer.begin());
}

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

void answer_session::start_as_home(answer_id presented) {
    const std::lock_guard lock(m_mutex);
    const time_point now = monotonic_now();
    m_presented_answer = presented;
    update_abandonment(now);
    // An adoption offer or a relay may have reached the session before this call.
    if (m_log.answer.value == 0 && !m_adoption_deadline && !ended()) {
        await_adoption_or_start(now);
    }
    schedule_timer(now);
}

void answer_session::start_as_relay(answer_id presented) {
    const std::lock_guard lock(m_mutex);
    const time_point now = monotonic_now();
    m_presented_answer = presented;
    update_abandonment(now);
    if (m_log.answer.value == 0 && m_relays.empty() && !ended()) {
        m_role = session_role::relay;
        follow_home(now);
    }
    schedule_timer(now);
}

void answer_session::start_at_former_home(answer_id presented) {
    const std::lock_guard lock(m_mutex);
    const time_point now = monotonic_now();
    m_presented_answer = presented;
    update_abandonment(now);
    if (m_log.answer.value == 0 && m_relays.empty() && !ended()) {
        if (!ask_former_home(now)) {
            await_adoption_or_start(now);
        }
    }
    schedule_timer(now);
}

bool answer_session::is_relay() const {
    const std::lock_guard lock(m_mutex);
    return m_role == session_role::relay && !ended();
}

// ---- callers ----

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

// ---- messages ----

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

void answer_session::on_detach(const node_id& from) {
    const std::lock_guard lock(m_mutex);
    const time_point now = monotonic_now();
    m_relays.erase(from);
    update_abandonment(now);
    schedule_timer(now);
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

// ---- home ----

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

// Continues the answer that was taken over, or starts a new one if there is none.
void answer_session::start_answer(time_point now) {
    if (m_log.answer.value == 0) {
        if (m_start.digest == 0) {
            end_failed({error_kind::not_found, "no answer of this request is known", {}}, false);
            return;
        }
        begin_answer();
    }
    dispatch_next_attempt(attempt_event::target_wanted, now);
}

void answer_session::begin_answer() {
    m_attempt_skip = 0;
    m_adoption_deadline.reset();
    m_log = {m_start.request, m_context->new_answer_id(), 0, {}, false, {}};
    ++m_epoch;
    m_delivered = false;
    m_waiting_since.reset();
    count("answers_total");
}

target_requirements answer_session::need(time_point now) {
    m_excluded.erase(std::remove_if(m_excluded.begin(), m_excluded.end(),
                                    [now](const excluded_node& entry) { return entry.until <= now; }),
                     m_excluded.end());
    target_requirements need{m_spec.model, m_spec.model_version,  m_spec.adapter,
                             {},           !m_log.tokens.empty(), prefix_hash(m_spec.prompt)};
    for (const auto& entry : m_excluded) {
        need.excluded.push_back(entry.node);
    }
    return need;
}

// Acquires a free target, or queues for one.
result<std::optional<node_id>> answer_session::acquire_target(const fleet_view& view, time_point now) {
    dispatch_request request;
    request.need = need(now);
    request.place.ticket = m_ticket;
    request.place.organisation = m_spec.organisation;
    request.place.share = organisation_share(view, m_spec.organisation);
    request.place.priority = m_spec.priority;
    request.place.is_resume = !m_log.tokens.empty() || m_losses_without_progress > 0;
    request.place.cost = m_spec.max_tokens;
    request.place.arrival = now;
    request.place.latest_start = m_deadline.value_or(now + k_max_queue_wait);
    request.wake = [weak = weak_from_this()] {
        if (const auto session = weak.lock()) {
            session->on_scheduler_wake();
        }
    };
    return m_context->scheduler->acquire(std::move(request), now);
}

void answer_session::release_target(const node_id& node) {
    m_context->targets->release(node);
    m_context->scheduler->on_capacity(monotonic_now());
}

// Called when the scheduler has a target or a refusal for this session.
void answer_session::on_scheduler_wake() {
    const std::lock_guard lock(m_mutex);
    if (ended() || m_target || m_role != session_role::home) {
        m_context->scheduler->withdraw(m_ticket);
        return;
    }
    const time_point now = monotonic_now();
    dispatch_next_attempt(attempt_event::target_wanted, now);
    publish();
    schedule_timer(now);
}

void answer_session::exclude_node(const node_id& node, milliseconds duration, time_point now) {
    m_excluded.push_back({node, now + duration});
}

void answer_session::dispatch_next_attempt(attempt_event event, time_point now) {
    // In a pause of this process, another entry may have taken its place.
    const std::uint32_t pauses = m_context->pauses().count;
    if (std::exchange(m_confirmed_pauses, pauses) != pauses && ask_former_home(now)) {
        return;
    }
    const auto view = m_context->views->current();
    const version_choice serving = serving_version(*view, m_spec.model, m_start.request, wall_now());
    const auto has_version = [&](const std::string& version) {
        return m_context->targets->has_eligible({m_spec.model, version, m_spec.adapter, {}, false});
    };
    if (m_log.attempt == 0) {
        m_spec.model_version = has_version(serving.version) ? serving.version : serving.fallback;
    }
    for (;;) {
        if (m_context->quarantine->is_quarantined(m_spec)) {
            count("generations_quarantined_total");
            end_failed({error_kind::prompt_quarantined, "engines failed on the prompt several times", {}},
                       can_state_not_run(now));
            return;
        }
        const bool is_served = has_version(m_spec.model_version);
        const auto acquired = is_served ? acquire_target(*view, now) : std::optional<node_id>{};
        if (!acquired && m_log.tokens.empty()) {
            end_failed(acquired.error(), can_state_not_run(now));
            return;
        }
        const auto target = acquired.value_or(std::nullopt);
        resume_state state;
        state.is_queued = is_served && acquired && !target;
        state.has_target = target.has_value();
        state.has_live_target = state.has_target || is_served;
        state.has_serving_target =
            (serving.version != m_spec.model_version && has_version(serving.version)) ||
            (serving.fallback != m_spec.model_version && has_version(serving.fallback));
        state.has_delivered_tokens = m_delivered;
        state.losses_without_progress = m_losses_without_progress;
        state.waiting_since = m_waiting_since;
        state.deadline = m_deadline;
        const resume_decision decision = decide_resume(state, event, now);
        if (target && decision.action != resume_action::resume) {
            release_target(*target);
        }
        switch (decision.action) {
        case resume_action::resume:
            if (dispatch(*target, now)) {
                return;
            }
            exclude_node(*target, k_busy_exclusion, now);
            event = attempt_event::target_wanted;
            break;
        case resume_action::wait:
            m_waiting_since = m_waiting_since.value_or(now);
            m_retry_at = decision.retry_at;
            return;
        case resume_action::restart:
            restart_answer();
            m_spec.model_version = has_version(serving.version) ? serving.version : serving.fallback;
            event = attempt_event::target_wanted;
            break;
        case resume_action::end:
            end_failed({decision.kind, "no target could complete the answer", {}}, can_state_not_run(now));
            return;
        }
    }
}

bool answer_session::dispatch(const node_id& node, time_point now) {
    m_log.attempt += 1 + std::exchange(m_attempt_skip, 0);
    if (!m_context->peers.send(node, generate_message{current_ref(), m_spec, m_log.tokens})) {
        release_target(node);
        return false;
    }
    m_target = node;
    m_attempt_first = static_cast<token_index>(m_log.tokens.size());
    m_has_survived_prompt = false;
    m_last_heard = now;
    start_attempt_latency(now);
    m_waiting_since.reset();
    m_retry_at.reset();
    ++m_possible_runs;
    count("attempts_total");
    if (m_log.tokens.empty()) {
        log_decision(session_event::routed, "attempt " + std::to_string(m_log.attempt) + " at " + node +
                                                ", version " + m_spec.model_version + m_loss_description);
    } else {
        count("resumes_total");
        ++m_resumes;
        log_decision(session_event::resumed, "attempt " + std::to_string(m_log.attempt) + " at " + node +
                                                 " from token " + std::to_string(m_log.tokens.size()) +
                                                 m_loss_description);
    }
    m_loss_description.clear();
    return true;
}

// ---- evidence and decision log ----

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

// ---- attempts ----

void answer_session::close_attempt() {
    m_context->scheduler->withdraw(m_ticket);
    if (m_target) {
        release_target(*m_target);
        m_target.reset();
    }
}

void answer_session::handle_lost_attempt(attempt_event event, time_point now) {
    const node_id lost_node = *m_target;
    m_loss_description = ", after " + std::string(name_of(k_attempt_event_names, event)) + " at " + lost_node;
    if (event == attempt_event::busy) {
        count("attempts_refused_total");
        exclude_node(lost_node, k_busy_exclusion, now);
    } else {
        const bool has_no_progress = m_log.tokens.size() == m_attempt_first;
        m_losses_without_progress = has_no_progress ? m_losses_without_progress + 1 : 1;
        count("attempts_lost_total");
        if (m_context->targets->record_outcome(lost_node, false, now)) {
            count("targets_ejected_total");
        }
        exclude_node(lost_node, k_failed_exclusion, now);
    }
    if (event == attempt_event::silent || event == attempt_event::gap) {
        m_context->peers.send(lost_node, cancel_message{current_ref()});
    }
    if (event != attempt_event::connection_lost && event != attempt_event::silent) {
        // The agent's message shows that this entry was still the home of the attempt.
        m_confirmed_pauses = m_context->pauses().count;
    }
    close_attempt();
    dispatch_next_attempt(event, now);
}

void answer_session::restart_answer() {
    // The queue entry is for the version of the discarded answer.
    m_context->scheduler->withdraw(m_ticket);
    count("restarts_total");
    add_extra_tokens(m_log.tokens.size());
    log_decision(session_event::restarted, "no target has version " + m_spec.model_version + " any more");
    begin_answer();
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

// ---- relay ----

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

// ---- home and relay ----

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

void answer_session::send_failure(const node_id& relay) const {
    m_context->peers.send(relay, failed_message{current_ref(), m_failure->kind, m_failure->detail, m_not_run,
                                                static_cast<std::uint32_t>(m_failure->retry_after.count())});
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
