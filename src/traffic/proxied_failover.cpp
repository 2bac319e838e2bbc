#include "proxied_helpers.h"

#include "lovage/traffic/prompt_crashes.h"
#include "lovage/traffic/proxied_request.h"
#include "lovage/traffic/request_losses.h"
#include "lovage/traffic/target_learning.h"

#include <algorithm>
#include <utility>

namespace lovage {

namespace {

// Attempts with less time left than this are not made.
constexpr milliseconds k_min_time_left{30};
// Time for which a request is not sent again to a target that has refused it or failed it by an answer of its
// own.
constexpr milliseconds k_refusal_exclusion{500};
// Tokens that an event usually holds. The longest output is known in tokens, the progress in events.
constexpr std::uint64_t k_tokens_per_event = 8;

// Returns whether the attempt that ended may have run. A silent one is itself superseded.
constexpr bool has_successor_begun(attempt_end end) {
    return may_have_run(end) && end != attempt_end::silent;
}

} // namespace

// Returns whether a plain call was superseded only because it was late by its target's own times. The target
// is slow, which its samples tell, and gets no backoff unless the next call is late too and it has answered
// none in between: it may have crashed.
bool proxied_request::record_late_call(const attempt& ended) {
    const auto now = m_traffic.timers.now();
    if (is_stream() || ended.is_target_lost || !is_learning(m_traffic, m_service_name) ||
        transfer_silence(ended.transfer, now) >= answer_timeout()) {
        return false;
    }
    learn_response(m_traffic, m_service_name, ended.target, now - ended.started);
    m_traffic.sink.count("gateway_calls_late", m_service_name);
    return !std::exchange(m_traffic.usage[ended.target.id].has_late_call, true);
}

void proxied_request::record_health(const attempt& ended, attempt_end end) {
    std::optional<target_failure_kind> failure;
    switch (end) {
    case attempt_end::unreachable:
        failure = target_failure_kind::unreachable;
        break;
    case attempt_end::silent:
        if (!record_late_call(ended)) {
            failure = target_failure_kind::silent;
        }
        break;
    case attempt_end::broken:
        failure = target_failure_kind::request_failed;
        break;
    case attempt_end::other_target:
        failure = target_failure_kind::replaced;
        break;
    case attempt_end::not_run:
    case attempt_end::failed_answer:
    case attempt_end::copy_gone:
        break;
    }
    if (failure) {
        record_and_report_failure(m_traffic, m_service_name, ended.target.zone, ended.target.id, *failure);
    }
}

// An engine that crashes while it begins to generate takes the generations along that it has already been
// producing events for; those say nothing about their prompts.
void proxied_request::record_crash_of(const attempt& ended) {
    if (ended.is_connection_lost && ended.event_count < k_events_to_clear) {
        report_prompt_crash(m_traffic, m_service_name, ended.target.id, shared_parts(m_request.prompt));
        report_request_loss(m_traffic, m_service_name, ended.target, m_fingerprint);
        m_is_trial = false;
    }
}

void proxied_request::record_try(const std::string& id, attempt_end end) {
    auto tried = std::find_if(m_tried.begin(), m_tried.end(),
                              [&id](const tried_target& target) { return target.id == id; });
    if (tried == m_tried.end()) {
        tried = m_tried.insert(m_tried.end(), {id, {}});
    }
    const bool has_answered =
        end == attempt_end::not_run || end == attempt_end::copy_gone || end == attempt_end::failed_answer;
    tried->may_have_run |= may_have_run(end);
    // Of other failures the target has a backoff, which ends early when it serves a request.
    tried->excluded_until = has_answered ? m_traffic.timers.now() + k_refusal_exclusion : time_point{};
}

bool proxied_request::is_excluded(const std::string& id) const {
    const bool is_in_use =
        (m_attempt && m_attempt->target.id == id) || (m_superseded && m_superseded->run.target.id == id);
    const auto tried = std::find_if(m_tried.begin(), m_tried.end(),
                                    [&id](const tried_target& target) { return target.id == id; });
    if (is_in_use || tried == m_tried.end()) {
        return is_in_use;
    }
    const auto now = m_traffic.timers.now();
    const auto usage = m_traffic.usage.find(id);
    const bool has_backoff = usage != m_traffic.usage.end() && usage->second.avoid_until > now;
    return has_backoff || tried->excluded_until > now;
}

// Returns the ids of the targets that may have run the request or run it now, without those that are gone.
std::vector<std::string> proxied_request::run_targets() const {
    std::vector<std::string> ids;
    for (const auto& tried : m_tried) {
        if (tried.may_have_run && is_known_target(m_traffic, m_service_name, tried.id)) {
            ids.push_back(tried.id);
        }
    }
    if (m_attempt && std::find(ids.begin(), ids.end(), m_attempt->target.id) == ids.end()) {
        ids.push_back(m_attempt->target.id);
    }
    return ids;
}

// Returns the ids of the candidates that may not run the request because of the route's limit. It bounds the
// number of targets that run a request, so those that have run it may do so again.
std::vector<std::string>
proxied_request::targets_beyond_limit(const std::vector<target_candidate>& candidates) const {
    std::vector<std::string> ids;
    const auto run = run_targets();
    if (run.empty() || run.size() < m_route->max_attempts) {
        return ids;
    }
    for (const auto& candidate : candidates) {
        const auto& id = candidate.record->id;
        if (std::find(run.begin(), run.end(), id) == run.end()) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<std::string> proxied_request::tried_targets() const {
    std::vector<std::string> ids;
    for (const auto& tried : m_tried) {
        ids.push_back(tried.id);
    }
    return ids;
}

std::vector<std::string> proxied_request::excluded_targets() const {
    auto ids = tried_targets();
    ids.erase(std::remove_if(ids.begin(), ids.end(), [this](const auto& id) { return !is_excluded(id); }),
              ids.end());
    return ids;
}

// While a rollout is being evaluated, the new version gets at most one attempt of a request; retries go to
// the usual version.
void proxied_request::use_usual_version_for_retries() {
    const auto* split = find_split(m_traffic, m_service_name);
    if (split != nullptr && split->share < 1.0) {
        m_side = version_side::usual;
    }
}

void proxied_request::end_attempt(attempt_end end, const std::string& detail) {
    const auto self = shared_from_this();
    attempt ended = take_attempt();
    ended.handle.cancel();
    release_target(ended);
    record_health(ended, end);
    record_crash_of(ended);
    const std::string target = ended.target.id;
    m_runs += may_have_run(end) ? 1 : 0;
    if (may_have_run(end)) {
        // The engine starts the standby copy only after it has read the prompt, that is, after the first
        // event.
        m_copy = ended.has_event && !ended.is_copy_refused ? ended.copy : standby_copy{};
    } else if (ended.from_copy) {
        // The standby copy is gone, or its holder is not usable.
        m_copy = {};
    }
    record_try(target, end);
    use_usual_version_for_retries();
    if (end == attempt_end::failed_answer) {
        observe_failure(m_traffic, observed(ended));
        m_failed = std::move(ended);
    }
    execute_next_step(end, detail + " at " + target);
    if (end == attempt_end::unreachable) {
        report_lost_target(m_traffic, target, true);
    }
}

attempt_outcome proxied_request::facts_of(attempt_end end) {
    attempt_outcome facts;
    facts.end = end;
    facts.is_repeatable = m_route->is_repeatable();
    facts.has_delivered = m_delivered != delivery_phase::nothing;
    facts.is_continuable = is_stream() && m_delivered != delivery_phase::body;
    facts.runs = m_runs;
    facts.sends = m_sends;
    facts.max_attempts = m_route->max_attempts;
    facts.has_time = time_left() > k_min_time_left;
    const auto now = m_traffic.timers.now();
    const auto& copy = m_attempt ? m_attempt->copy : m_copy;
    if (!copy.target_id.empty() && !(m_attempt && m_attempt->is_copy_refused)) {
        const auto* holder = find_ready_target(m_traffic, m_service_name, copy.target_id);
        facts.has_copy = holder != nullptr && m_traffic.usage[copy.target_id].avoid_until <= now;
    }
    facts.is_quarantined = find_quarantine().has_value();
    const auto candidates = candidates_of(m_traffic, m_service_name, m_side);
    const auto beyond = targets_beyond_limit(candidates);
    facts.has_target = std::any_of(candidates.begin(), candidates.end(), [&](const auto& candidate) {
        const auto& id = candidate.record->id;
        return !is_excluded(id) && std::find(beyond.begin(), beyond.end(), id) == beyond.end();
    });
    return facts;
}

retry_window_limits proxied_request::retry_limits() const {
    retry_claim claim;
    claim.is_reserving = limits_prefills();
    claim.is_most_urgent =
        m_service == nullptr || std::min(m_queue_rank, m_route->rank) <= m_service->most_urgent_rank;
    const auto last = event_number(m_last_event_id);
    const auto most_events = m_request.max_output_tokens / k_tokens_per_event;
    if (last && most_events > 0) {
        claim.delivered = static_cast<double>(*last) / static_cast<double>(most_events);
    }
    return limits_for(retry_share(m_traffic), claim);
}

bool proxied_request::can_fail_over() {
    auto facts = facts_of(attempt_end::silent);
    ++facts.runs;
    facts.has_budget =
        can_spend_retry(m_traffic.retries[m_service_name], retry_limits(), m_traffic.timers.now());
    return is_send(plan_next_step(facts));
}

proxied_request::step_choice proxied_request::choose_next_step(attempt_end end) {
    auto facts = facts_of(end);
    const auto step = plan_next_step(facts);
    if (!is_send(step)) {
        return {step, true};
    }
    // An unreachable target received nothing, so the next attempt does not count as a retry.
    facts.has_budget =
        end == attempt_end::unreachable ||
        try_spend_retry(m_traffic.retries[m_service_name], retry_limits(), m_traffic.timers.now());
    return {plan_next_step(facts), facts.has_budget};
}

void proxied_request::execute_next_step(attempt_end end, const std::string& detail) {
    const auto [step, has_budget] = choose_next_step(end);
    const std::string text = std::string(name_of(k_attempt_end_names, end)) + ": " + detail +
                             (has_budget ? "" : ", retry budget spent");
    log_step(log_level::info, "attempt_ended", std::string(name_of(k_next_step_names, step)), text);
    m_traffic.sink.count("gateway_attempts_ended", std::string(name_of(k_attempt_end_names, end)));
    if (!is_send(step) && m_superseded) {
        reinstate_attempt(text);
        return;
    }
    if (has_successor_begun(end) && is_stream()) {
        // Two engines must not work on the same generation.
        release_superseded();
    }
    perform_step(step, end, detail);
}

void proxied_request::perform_step(next_step step, attempt_end end, const std::string& detail) {
    switch (step) {
    case next_step::send_again:
        send_again();
        break;
    case next_step::resume_from_copy:
        ++m_resumes;
        send(true);
        break;
    case next_step::pass_failure:
        deliver_answer(*m_failed);
        finish("failed_by_target");
        break;
    case next_step::refuse_not_run:
        refuse(end == attempt_end::not_run ? error_kind::target_busy : error_kind::no_target, detail);
        break;
    case next_step::answer_unknown:
        refuse(error_kind::target_failed, detail);
        break;
    case next_step::wait_for_target:
        wait_for_target(end, detail);
        break;
    case next_step::break_off:
        m_caller.break_off();
        finish("broken_off", std::string(name_of(k_attempt_end_names, end)) + ": " + detail);
        break;
    }
}

} // namespace lovage
