#include "proxied_helpers.h"

#include "lovage/core/engine_memory.h"
#include "lovage/traffic/prompt_crashes.h"
#include "lovage/traffic/proxied_request.h"
#include "lovage/traffic/request_losses.h"

#include <algorithm>

namespace lovage {

namespace {

// Retry delay that refused callers are given.
constexpr milliseconds k_retry_after{200};
// Part of its objective for which a request waits for the first list of targets, and the interval at which it
// looks for it.
constexpr double k_target_list_wait_fraction = 0.5;
constexpr milliseconds k_target_list_interval{20};

std::string verdict_detail(request_verdict verdict) {
    return "the request is " + std::string(name_of(k_request_verdict_names, verdict)) +
           ": targets were lost while they ran it";
}

} // namespace

std::shared_ptr<proxied_request> proxied_request::start(gateway_traffic& traffic, caller_request request,
                                                        caller_port caller, std::function<void()> on_done) {
    refresh_view(traffic);
    std::shared_ptr<proxied_request> created(
        new proxied_request(traffic, std::move(request), std::move(caller), std::move(on_done)));
    created->admit();
    return created;
}

proxied_request::proxied_request(gateway_traffic& traffic, caller_request request, caller_port caller,
                                 std::function<void()> on_done)
    : m_traffic(traffic), m_request(std::move(request)), m_caller(std::move(caller)),
      m_on_done(std::move(on_done)), m_table(traffic.view->table), m_last_event_id(m_request.last_event_id) {
    m_traffic.requests.insert(this);
}

proxied_request::~proxied_request() {
    m_traffic.requests.erase(this);
}

std::optional<proxied_request::refusal> proxied_request::find_route() {
    if (!m_table) {
        return refusal{error_kind::not_ready, "no configuration is known yet"};
    }
    if (is_configuration_behind(m_traffic)) {
        return refusal{error_kind::store_unavailable, "a peer has a newer configuration than the store"};
    }
    const auto decision = decide_access(*m_table, m_request.host, m_request.forwarded->target, m_request.key);
    const bool is_public = decision.route != nullptr && decision.route->is_public;
    if (m_table->has_organisations && !is_public && !can_trust_keys(m_traffic)) {
        return refusal{error_kind::store_unavailable, "the configuration may be out of date"};
    }
    if (decision.verdict != access::allowed) {
        const bool is_unknown_key = decision.verdict == access::unknown_key;
        return refusal{is_unknown_key ? error_kind::unauthenticated : error_kind::unknown_service,
                       std::string(name_of(k_access_names, decision.verdict))};
    }
    m_route = decision.route;
    m_organisation = decision.organisation;
    m_queue_rank = decision.rank;
    return std::nullopt;
}

std::optional<proxied_request::refusal> proxied_request::find_refusal() {
    if (auto found = find_route()) {
        return found;
    }
    auto allowed = m_route->timeout;
    if (m_request.deadline > milliseconds(0)) {
        allowed = std::min(allowed, m_request.deadline);
    }
    m_deadline = m_request.received + allowed;
    if (time_left() <= milliseconds(0)) {
        return refusal{error_kind::deadline_exceeded, "it arrived whole after its time was over"};
    }
    if (!may_start()) {
        return refusal{error_kind::leaving,
                       std::string(name_of(k_shutdown_phase_names, current_shutdown_phase(m_traffic)))};
    }
    m_service_name =
        choose_service(*m_route, std::uniform_real_distribution<double>(0.0, 1.0)(m_traffic.random));
    const auto service = m_table->services.find(m_service_name);
    m_service = service != m_table->services.end() ? &service->second : nullptr;
    if (!can_ever_run(memory_capacity(), memory_tokens())) {
        return refusal{error_kind::deadline_unreachable,
                       std::to_string(memory_tokens()) + " tokens are more than the memory of an engine of " +
                           m_service_name};
    }
    const auto& forwarded = *m_request.forwarded;
    m_fingerprint =
        fingerprint_of({m_request.host, forwarded.method, forwarded.target, m_organisation, forwarded.body});
    if (auto found = find_quarantine()) {
        return found;
    }
    m_side = choose_version_side(m_traffic, m_service_name, m_route->name, m_request.forwarded->id);
    return std::nullopt;
}

void proxied_request::admit() {
    if (const auto found = find_refusal()) {
        refuse(found->kind, found->detail);
        return;
    }
    start_deadline_timer(std::max(time_left(), milliseconds(0)));
    record_first_send(m_traffic.retries[m_service_name], retry_share(m_traffic), m_traffic.timers.now());
    if (awaits_target_list()) {
        log_step(log_level::info, "waiting", "the service's targets have not been read yet", "");
        m_traffic.sink.count("gateway_target_list_waits", "begun");
    }
    begin_after_target_list(m_request.received +
                            fraction_of(m_route->objective, k_target_list_wait_fraction));
}

bool proxied_request::awaits_target_list() const {
    return !m_traffic.view->has_all_targets && targets_of(m_traffic, m_service_name).empty();
}

// A process serves from the first page of the store that holds a target on, since in a large fleet the other
// pages can take seconds. A service whose targets are on a later page has none until then.
void proxied_request::begin_after_target_list(time_point latest) {
    if (awaits_target_list() && m_traffic.timers.now() < latest) {
        m_wait_timer = m_traffic.timers.after(k_target_list_interval, [self = shared_from_this(), latest] {
            self->m_wait_timer = nullptr;
            refresh_view(self->m_traffic);
            if (!self->may_start()) {
                self->refuse(error_kind::leaving, "the process stops before it could end");
                return;
            }
            self->begin_after_target_list(latest);
        });
        return;
    }
    if (has_previous_answer()) {
        find_cached_prompt();
    } else {
        start_or_wait();
    }
}

bool proxied_request::may_start() const {
    const auto phase = current_shutdown_phase(m_traffic);
    if (phase == shutdown_phase::serving) {
        return true;
    }
    late_request facts;
    facts.since_stop_request = m_traffic.timers.now() - *m_traffic.shutdown_requested_at;
    facts.grace = m_traffic.options.grace;
    facts.usual_time = is_stream() ? m_traffic.mean_stream_duration : time_point::duration::zero();
    facts.longest_time = time_left();
    return phase == shutdown_phase::leaving && may_start_late(facts);
}

milliseconds proxied_request::time_left() const {
    return std::chrono::duration_cast<milliseconds>(m_deadline - m_traffic.timers.now());
}

std::optional<proxied_request::refusal> proxied_request::find_quarantine() const {
    if (!quarantined_parts(m_traffic.quarantine, m_service_name, shared_parts(m_request.prompt)).empty()) {
        return refusal{error_kind::prompt_quarantined, "the prompt has parts that crashed several engines"};
    }
    const auto permission = permission_to_run(m_traffic, m_service_name, m_fingerprint);
    if (m_is_trial || permission.earliest <= m_traffic.timers.now()) {
        return std::nullopt;
    }
    const bool is_quarantined = permission.verdict == request_verdict::quarantined;
    if (!is_quarantined && m_delivered != delivery_phase::nothing) {
        // An answer that has begun is not broken off on a suspicion.
        return std::nullopt;
    }
    return refusal{is_quarantined ? error_kind::request_quarantined : error_kind::request_suspected,
                   verdict_detail(permission.verdict)};
}

void proxied_request::send(bool from_copy) {
    refresh_view(m_traffic);
    // The request may have waited since its admission.
    if (const auto found = find_quarantine()) {
        give_up(found->kind, found->detail);
        return;
    }
    const auto candidates = candidates_of(m_traffic, m_service_name, m_side);
    const auto want = placement_among(candidates);
    const target_record* record =
        from_copy ? find_ready_target(m_traffic, m_service_name, m_copy.target_id) : nullptr;
    if (record == nullptr) {
        from_copy = false;
        record = choose_target_among(candidates, want);
    }
    if (record == nullptr) {
        // The step was chosen on an older view of the targets.
        handle_missing_target();
        return;
    }
    log_end_of_pause(m_traffic, *record);
    begin_trial();
    attempt next;
    next.number = ++m_attempts;
    ++m_sends;
    next.target = *record;
    next.from_copy = from_copy;
    next.is_prefill = !from_copy || !want.limits_prefills;
    next.started = want.now;
    next.timing.last = want.now;
    next.transfer = {want.now, want.now, 0};
    choose_copy_holder(next, candidates, want);
    auto& usage = m_traffic.usage[record->id];
    ++usage.in_flight;
    usage.awaiting_first_event_count += next.is_prefill ? 1 : 0;
    usage.memory_tokens += memory_tokens();

    attempt_parameters options;
    options.target_id = record->id;
    options.address = record->address;
    options.organisation = m_organisation;
    options.time_left = time_left();
    options.last_event_id = m_last_event_id;
    options.copy_to = next.copy;
    options.from_copy = from_copy;
    if (from_copy) {
        options.copy_from = m_copy;
    }
    if (m_request.prompt_tokens > 0) {
        options.rank = m_queue_rank;
    }
    options.may_reuse_connection = m_route->is_repeatable();
    const auto tried = tried_targets();
    options.was_sent_before = std::find(tried.begin(), tried.end(), record->id) != tried.end();
    m_attempt = std::move(next);
    auto handle = m_traffic.targets.open(m_request.forwarded, std::move(options), events_of(m_attempts));
    m_attempt->handle = std::move(handle);
    if (is_stream()) {
        schedule_report(m_traffic);
    }
    start_handover_timer();
    watch_first_event();
    check_for_stall();
}

void proxied_request::begin_trial() {
    const auto assessment = assess_request(m_traffic.lost_requests, m_fingerprint);
    m_is_trial = assessment.verdict != request_verdict::clear;
    if (m_is_trial) {
        record_trial(m_traffic.lost_requests, m_fingerprint, m_traffic.timers.now());
        log_step(log_level::info, "request_tried_again", verdict_detail(assessment.verdict),
                 std::to_string(assessment.losses) + " targets were lost");
    }
}

proxied_request::attempt proxied_request::take_attempt() {
    if (m_caller.hold && m_attempt->body.capacity() > 0) {
        m_caller.hold(0);
    }
    attempt taken = std::move(*m_attempt);
    m_attempt.reset();
    cancel_timer(m_stall_timer);
    cancel_timer(m_first_event_timer);
    return taken;
}

void proxied_request::release_target(const attempt& ended) {
    auto& usage = m_traffic.usage[ended.target.id];
    usage.in_flight -= usage.in_flight > 0 ? 1 : 0;
    usage.memory_tokens -= std::min(usage.memory_tokens, memory_tokens());
    if (!ended.has_event && ended.is_prefill) {
        usage.awaiting_first_event_count -= usage.awaiting_first_event_count > 0 ? 1 : 0;
    }
    if (!ended.copy.target_id.empty()) {
        remove_copy(ended.copy.target_id);
    }
    close_connections_if_leaving(m_traffic, ended.target);
    if (is_stream()) {
        schedule_report(m_traffic);
        if (!limits_prefills()) {
            record_release(m_traffic.admission[m_service_name].releases, m_traffic.timers.now());
        } else if (!ended.has_event && ended.is_prefill) {
            record_prefill_end();
        }
        schedule_dispatch(m_traffic, m_service_name);
    }
}

void proxied_request::refuse(error_kind kind, const std::string& detail) {
    if (m_attempt) {
        // The target may have started on the request.
        ++m_runs;
        cancel_attempt();
    }
    const auto& properties = error_properties_of(kind);
    if (m_delivered != delivery_phase::nothing) {
        m_caller.break_off();
        finish("broken_off", detail);
        return;
    }
    error_reply reply;
    reply.kind = kind;
    reply.detail = detail;
    reply.is_not_run = m_runs == 0 && properties.can_guarantee_not_run;
    if (!reply.is_not_run && m_runs > 0 && properties.can_guarantee_not_run) {
        // The request may have run, so the error kind must not state that it did not.
        reply.kind =
            kind == error_kind::deadline_exceeded ? error_kind::outcome_late : error_kind::target_failed;
    }
    // A request that no target can ever run is not worth a retry.
    if (properties.retryable && reply.is_not_run && kind != error_kind::deadline_unreachable) {
        reply.retry_after = retry_after_of(kind);
    }
    m_caller.reply(reply);
    finish(to_string(reply.kind), detail);
}

milliseconds proxied_request::retry_after_of(error_kind kind) {
    switch (kind) {
    case error_kind::no_target:
    case error_kind::target_busy: {
        const auto end = end_of_pause(m_traffic, m_service_name, m_side);
        if (!end) {
            return k_retry_after;
        }
        const double position = std::uniform_real_distribution<double>(0.0, 1.0)(m_traffic.random);
        return return_after_pause(*end, position, m_traffic.timers.now());
    }
    case error_kind::leaving:
        return shutdown_retry_after(m_traffic);
    case error_kind::overloaded: {
        if (limits_prefills() && is_most_urgent()) {
            // Engines are reserved for it, so it need not return in turn with the others.
            return k_retry_after;
        }
        auto& admission = m_traffic.admission[m_service_name];
        const auto before =
            limits_prefills() ? expected_position(admission.queue, place_in_queue()) : admission.queue.size;
        return plan_return(admission.releases, before, m_traffic.timers.now());
    }
    case error_kind::request_suspected: {
        const auto earliest = permission_to_run(m_traffic, m_service_name, m_fingerprint).earliest;
        return std::max(std::chrono::ceil<milliseconds>(earliest - m_traffic.timers.now()), k_retry_after);
    }
    default:
        return k_retry_after;
    }
}

void proxied_request::cancel_attempt() {
    const attempt cancelled = take_attempt();
    cancelled.handle.cancel();
    release_target(cancelled);
}

void proxied_request::start_deadline_timer(milliseconds delay) {
    m_deadline_timer = m_traffic.timers.after(delay, [self = shared_from_this()] { self->on_deadline(); });
}

void proxied_request::on_deadline() {
    if (m_is_done) {
        return;
    }
    if (m_attempt && must_read_first(m_reads)) {
        start_deadline_timer(milliseconds(0));
        return;
    }
    refuse(error_kind::deadline_exceeded, "no whole answer in time");
}

void proxied_request::on_process_end() {
    if (!m_is_done) {
        refuse(error_kind::leaving, "the process ends");
    }
}

void proxied_request::on_stop_progress() {
    const bool awaits_first_start = m_ticket != 0 && m_attempts == 0;
    if (!m_is_done && awaits_first_start && !may_start()) {
        refuse(error_kind::leaving, "the process stops before it could end");
    }
}

void proxied_request::on_memory_short() {
    if (!m_is_done) {
        refuse(error_kind::overloaded, "the process is short of memory");
    }
}

void proxied_request::on_caller_disconnected() {
    if (m_is_done) {
        return;
    }
    if (m_attempt) {
        cancel_attempt();
    }
    finish("caller_left");
}

void proxied_request::finish(std::string_view outcome, const std::string& detail) {
    if (std::exchange(m_is_done, true)) {
        return;
    }
    cancel_timer(m_deadline_timer);
    cancel_timer(m_stall_timer);
    cancel_timer(m_wait_timer);
    cancel_timer(m_retry_timer);
    release_superseded();
    if (const auto ticket = std::exchange(m_ticket, 0); ticket != 0) {
        stop_waiting(m_traffic.admission[m_service_name], ticket);
        // A request behind it may need less than it did.
        schedule_dispatch(m_traffic, m_service_name);
    }
    m_traffic.requests.erase(this);
    const auto kind = m_route != nullptr ? name_of(k_request_kind_names, m_route->kind) : "unknown";
    m_traffic.sink.count("gateway_requests_" + std::string(kind), std::string(outcome));
    m_traffic.sink.observe("gateway_request_seconds",
                           to_seconds(m_traffic.timers.now() - m_request.received));
    log_step(log_level::info, "request_ended", std::string(outcome), detail);
    if (m_on_done) {
        std::exchange(m_on_done, nullptr)();
    }
    m_caller = {};
}

void proxied_request::log_step(log_level level, std::string_view event, const std::string& outcome,
                               const std::string& detail) {
    m_traffic.sink.log(
        level, event,
        {{"request", m_request.forwarded->id},
         {"fingerprint", format_fingerprint(m_fingerprint)},
         {"route", m_route != nullptr ? m_route->name : ""},
         {"service", m_service_name},
         {"outcome", outcome},
         {"detail", detail},
         {"attempt", std::to_string(m_attempts)},
         {"runs", std::to_string(m_runs)},
         {"resumes", std::to_string(m_resumes)},
         {"target", m_attempt ? m_attempt->target.id : (m_tried.empty() ? "" : m_tried.back().id)},
         {"copy", m_copy.target_id},
         {"last_event", m_last_event_id},
         {"first_event_ms", to_ms(m_first_event)},
         {"longest_gap_ms", to_ms(m_longest_gap)},
         {"age_ms", to_ms(m_traffic.timers.now() - m_request.received)},
         {"left_ms", m_route != nullptr ? std::to_string(time_left().count()) : ""},
         {"config", m_table ? std::to_string(m_table->version) : "0"},
         {"view", std::to_string(m_traffic.view->sequence)}});
}

} // namespace lovage
