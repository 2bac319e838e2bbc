#include "lovage/control/serving_version.h"
#include "lovage/traffic/answer_session.h"

#include <algorithm>
#include <utility>

namespace lovage {

namespace {

// The only target with the required version may have failed, so a failed target is retried after this time.
constexpr milliseconds k_failed_exclusion{1'000};
constexpr milliseconds k_busy_exclusion{100};
// Maximum wait in the queue for a request without a deadline.
constexpr milliseconds k_max_queue_wait{60'000};

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

} // namespace

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

} // namespace lovage
