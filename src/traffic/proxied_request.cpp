#include "lovage/traffic/proxied_request.h"

#include "lovage/traffic/engine_calls.h"

#include <algorithm>
#include <charconv>

namespace lovage {

namespace {

// Answers up to this size are held until they are complete, so that a broken one can be repeated elsewhere.
constexpr std::size_t k_max_held_answer = 262'144;
// Above this many bytes that the caller has not taken, reading from the target pauses.
constexpr std::size_t k_max_backlog = 262'144;
// Part of the objective after which a stream without a first event is tried at another target; the rest is
// enough to read the prompt again.
constexpr double k_first_event_part = 0.55;
// Part of the objective after which an engine is asked whether it reads the prompt.
constexpr double k_ask_first_event_part = 0.4;
// How often the holder of a stream's copy is looked at, and how often a copy that does not follow its run by
// itself is brought up to date; what it lacks is read again within a few tens of milliseconds.
constexpr milliseconds k_copy_check{200};
constexpr milliseconds k_copy_refresh{1'000};
// An engine's report is a few hundred milliseconds old and does not list a run that has just begun.
constexpr milliseconds k_report_age{700};
// Part of a silence that is left for the question and its answer.
constexpr milliseconds k_time_to_ask{100};
// An engine that goes on from a copy reads only the last few tokens again.
constexpr milliseconds k_first_event_from_copy{450};
// Silence of an idempotent request's target, as a part of its objective and of its timeout.
constexpr double k_answer_objectives = 1.5;
constexpr double k_answer_timeout_part = 0.55;
// Less time than this is no use to a target.
constexpr milliseconds k_least_time{30};
// A request at a target that was found lost does not wait on if it has received nothing for this long. A
// prompt that is read beside a stream stretches its gaps to about 200 ms, so one silent stream says less of
// the others.
constexpr milliseconds k_silence_at_lost_target{120};
constexpr milliseconds k_silence_at_silent_target{260};
// Streams over which their time is averaged.
constexpr int k_stream_time_streams = 8;
// When refused callers may come back.
constexpr milliseconds k_retry_after{200};

std::optional<std::uint64_t> event_number(std::string_view id) {
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
    if (id.empty() || parsed.ec != std::errc{} || parsed.ptr != id.data() + id.size()) {
        return std::nullopt;
    }
    return number;
}

std::string to_ms(time_point::duration duration) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

double to_seconds(time_point::duration duration) {
    return std::chrono::duration<double>(duration).count();
}

void cancel_timer(timer_cancel& timer) {
    if (timer) {
        std::exchange(timer, nullptr)();
    }
}

milliseconds part_of(milliseconds whole, double part) {
    return milliseconds(static_cast<std::int64_t>(part * static_cast<double>(whole.count())));
}

} // namespace

std::shared_ptr<proxied_request> proxied_request::start(gateway_traffic& traffic, caller_request request,
                                                        caller_port caller, std::function<void()> on_done) {
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

void proxied_request::admit() {
    if (!m_table) {
        refuse(error_kind::not_ready, "no configuration is known yet");
        return;
    }
    const auto decision = decide_access(*m_table, m_request.host, m_request.forwarded->target, m_request.key);
    const bool is_public = decision.route != nullptr && decision.route->is_public;
    if (m_table->has_organisations && !is_public && !can_trust_keys(m_traffic)) {
        refuse(error_kind::store_unavailable, "the configuration may be out of date");
        return;
    }
    if (decision.verdict != access::allowed) {
        const bool is_unknown_key = decision.verdict == access::unknown_key;
        refuse(is_unknown_key ? error_kind::unauthenticated : error_kind::unknown_service,
               std::string(name_of(k_access_names, decision.verdict)));
        return;
    }
    m_route = decision.route;
    if (!may_start()) {
        refuse(error_kind::leaving, std::string(name_of(k_leave_phase_names, leave_phase_of(m_traffic))));
        return;
    }
    m_organisation = decision.organisation;
    m_service_name =
        choose_service(*m_route, std::uniform_real_distribution<double>(0.0, 1.0)(m_traffic.random));
    const auto service = m_table->services.find(m_service_name);
    m_service = service != m_table->services.end() ? &service->second : nullptr;
    auto allowed = m_route->timeout;
    if (m_request.deadline > milliseconds(0)) {
        allowed = std::min(allowed, m_request.deadline);
    }
    m_ends = m_request.received + allowed;
    m_deadline_timer = m_traffic.timers.after(std::max(time_left(), milliseconds(0)),
                                              [self = shared_from_this()] { self->time_out(); });
    record_first_send(m_traffic.retries[m_service_name], retry_share(m_traffic), m_traffic.timers.now());
    send(false);
}

bool proxied_request::may_start() const {
    const auto phase = leave_phase_of(m_traffic);
    if (phase == leave_phase::serving) {
        return true;
    }
    const auto waited = m_traffic.timers.now() - *m_traffic.leaving_since;
    return phase == leave_phase::leaving &&
           (!is_stream() || can_end_in_time(waited, m_traffic.options.grace, m_traffic.stream_time));
}

milliseconds proxied_request::time_left() const {
    return std::chrono::duration_cast<milliseconds>(m_ends - m_traffic.timers.now());
}

void proxied_request::choose_copy_target(attempt& next, const std::vector<target_candidate>& candidates,
                                         placement want) {
    if (!is_stream() || !m_route->is_resumable || m_service == nullptr || !m_service->engine ||
        !m_service->engine->sends_copies) {
        return;
    }
    want.excluded.push_back(next.target_id);
    want.avoided_zone = next.zone;
    if (const auto chosen = choose_copy(candidates, want, m_traffic.random)) {
        const auto& record = *candidates[*chosen].record;
        next.copy = {record.id, record.address, "", ""};
        ++m_traffic.usage[record.id].copies;
    }
}

void proxied_request::send(bool from_copy) {
    const auto candidates = candidates_of(m_traffic, m_service_name);
    placement want;
    want.zone = m_traffic.options.zone;
    want.excluded = m_excluded;
    want.has_prompt = m_request.prompt_tokens > 0;
    want.troubled_zones = troubled_zones(m_traffic, m_service_name);
    want.now = m_traffic.timers.now();
    const target_record* record =
        from_copy ? find_ready_target(m_traffic, m_service_name, m_copy.target_id) : nullptr;
    if (record == nullptr) {
        from_copy = false;
        const auto chosen = choose_run(candidates, want, m_traffic.random);
        if (!chosen) {
            refuse(error_kind::no_target, "no target of " + m_service_name);
            return;
        }
        record = candidates[*chosen].record;
    }
    attempt next;
    next.number = ++m_attempts;
    next.target_id = record->id;
    next.zone = record->zone;
    next.address = record->address;
    next.from_copy = from_copy;
    next.started = want.now;
    next.pace.last = want.now;
    choose_copy_target(next, candidates, want);
    auto& usage = m_traffic.usage[record->id];
    ++usage.in_flight;
    ++usage.waiting_first;

    attempt_order order;
    order.target_id = record->id;
    order.address = record->address;
    order.organisation = m_organisation;
    order.time_left = time_left();
    order.last_event_id = m_last_event_id;
    order.copy_to = next.copy;
    order.from_copy = from_copy;
    if (from_copy) {
        order.copy_from = m_copy;
    }
    order.may_reuse_connection = m_route->is_repeatable();
    m_attempt = std::move(next);
    auto handle = m_traffic.targets.open(m_request.forwarded, std::move(order), events_of(m_attempts));
    m_attempt->handle = std::move(handle);
    if (is_stream()) {
        report_change(m_traffic);
    }
    watch_silence();
}

attempt_events proxied_request::events_of(std::uint32_t number) {
    // Events of an attempt that was given up are dropped.
    const auto guarded = [self = shared_from_this(), number](auto action) {
        return [self, number, action](auto&&... arguments) {
            if (!self->m_is_done && self->m_attempt && self->m_attempt->number == number) {
                action(*self, std::forward<decltype(arguments)>(arguments)...);
            }
        };
    };
    attempt_events events;
    events.on_head = guarded([](proxied_request& self, const answer_head& head) { self.take_head(head); });
    events.on_body = guarded([](proxied_request& self, std::string_view bytes) { self.take_body(bytes); });
    events.on_end = guarded([](proxied_request& self) { self.take_end(); });
    events.on_failure = guarded([](proxied_request& self, attempt_end end, const std::string& detail) {
        self.end_attempt(end, detail);
    });
    return events;
}

silence_facts proxied_request::silence_of(const attempt& current) const {
    silence_facts facts;
    facts.has_event = current.has_event;
    facts.last_event = event_number(m_last_event_id).value_or(0);
    facts.silence = m_traffic.timers.now() - current.pace.last;
    facts.status = current.status;
    if (facts.status && current.has_event && m_traffic.timers.now() - current.first_event < k_report_age &&
        facts.status->state != run_state::no_answer) {
        facts.status->state = run_state::not_told;
    }
    if (!is_stream()) {
        facts.give_up_after = std::min(part_of(m_route->objective, k_answer_objectives),
                                       part_of(m_route->timeout, k_answer_timeout_part));
    } else if (current.has_event) {
        facts.give_up_after = silence_limit(current.pace, m_route->longest_gap);
    } else {
        facts.give_up_after =
            current.from_copy ? k_first_event_from_copy : part_of(m_route->objective, k_first_event_part);
    }
    facts.ask_after = facts.give_up_after;
    if (is_stream() && m_traffic.engine.status_request) {
        facts.ask_after = current.has_event || current.from_copy
                              ? facts.give_up_after - k_time_to_ask
                              : part_of(m_route->objective, k_ask_first_event_part);
    } else {
        facts.status = run_status{run_state::not_told, 0};
    }
    return facts;
}

void proxied_request::watch_silence() {
    cancel_timer(m_silence_timer);
    if (!m_route->is_repeatable() || m_attempt->is_asking) {
        return;
    }
    const auto facts = silence_of(*m_attempt);
    auto decision = decide_silence(facts);
    if (decision.step == silence_step::give_up) {
        if (can_go_on_elsewhere()) {
            const auto state = facts.status ? facts.status->state : run_state::not_told;
            end_attempt(attempt_end::silent, "silent for " + to_ms(facts.silence) + " ms, run " +
                                                 std::string(name_of(k_run_state_names, state)));
            return;
        }
        // Without another way the request goes on waiting until its deadline.
        decision.look_at = std::chrono::ceil<milliseconds>(facts.silence) + facts.give_up_after;
    }
    if (decision.step == silence_step::ask) {
        ask_target();
        return;
    }
    const auto left = std::chrono::ceil<milliseconds>(decision.look_at - facts.silence);
    m_silence_timer = m_traffic.timers.after(
        std::max(left, milliseconds(1)), [self = shared_from_this(), number = m_attempt->number] {
            self->m_silence_timer = nullptr;
            if (!self->m_is_done && self->m_attempt && self->m_attempt->number == number) {
                self->m_attempt->status.reset();
                self->watch_silence();
            }
        });
}

bool proxied_request::is_copy_lost(const memory_copy& copy) const {
    const auto usage = m_traffic.usage.find(copy.target_id);
    const bool is_avoided =
        usage != m_traffic.usage.end() && usage->second.avoid_until > m_traffic.timers.now();
    return is_avoided || find_ready_target(m_traffic, m_service_name, copy.target_id) == nullptr;
}

void proxied_request::keep_copy() {
    auto& current = *m_attempt;
    const auto now = m_traffic.timers.now();
    if (current.copy.target_id.empty() || current.is_copying || !m_traffic.engine.make_copy_request ||
        now - current.copy_checked < k_copy_check) {
        return;
    }
    const bool is_refresh_due = !current.copy.name.empty() && now - current.copy_checked >= k_copy_refresh;
    if (is_copy_lost(current.copy)) {
        renew_copy(true);
    } else if (is_refresh_due) {
        renew_copy(false);
    }
    if (current.copy.name.empty()) {
        current.copy_checked = now;
    }
}

void proxied_request::renew_copy(bool is_new_holder) {
    auto& current = *m_attempt;
    memory_copy copy = current.copy;
    if (is_new_holder) {
        const auto candidates = candidates_of(m_traffic, m_service_name);
        placement want;
        want.zone = m_traffic.options.zone;
        want.excluded = {current.target_id, current.copy.target_id};
        want.avoided_zone = current.zone;
        want.troubled_zones = troubled_zones(m_traffic, m_service_name);
        want.now = m_traffic.timers.now();
        const auto chosen = choose_copy(candidates, want, m_traffic.random);
        if (!chosen) {
            return;
        }
        copy = {candidates[*chosen].record->id, candidates[*chosen].record->address, current.address, ""};
    }
    current.is_copying = true;
    current.copy_checked = m_traffic.timers.now();
    copy_run(
        m_traffic, current.address, m_request.forwarded->id, copy,
        [self = shared_from_this(), number = current.number, copy](const std::optional<std::string>& name) {
            if (self->m_is_done || !self->m_attempt || self->m_attempt->number != number) {
                if (name) {
                    free_copy(self->m_traffic, copy.source_address, *name);
                }
                return;
            }
            self->m_attempt->is_copying = false;
            auto made = copy;
            made.name = name.value_or(copy.name);
            if (!made.name.empty()) {
                self->take_copy(std::move(made));
            }
        });
}

void proxied_request::take_copy(memory_copy copy) {
    auto& current = *m_attempt;
    if (copy.target_id != current.copy.target_id) {
        log_step(log_level::info, "copy_renewed", copy.target_id, "before at " + current.copy.target_id);
        auto& before = m_traffic.usage[current.copy.target_id];
        before.copies -= before.copies > 0 ? 1 : 0;
        ++m_traffic.usage[copy.target_id].copies;
    }
    current.copy = std::move(copy);
}

void proxied_request::ask_target() {
    m_attempt->is_asking = true;
    probe_run(m_traffic, m_attempt->address, m_request.forwarded->id,
              [self = shared_from_this(), number = m_attempt->number](run_status status) {
                  if (self->m_is_done || !self->m_attempt || self->m_attempt->number != number) {
                      return;
                  }
                  self->m_attempt->is_asking = false;
                  self->m_attempt->status = status;
                  self->watch_silence();
              });
}

bool proxied_request::can_go_on_elsewhere() {
    auto facts = facts_of(attempt_end::silent);
    ++facts.runs;
    if (facts.runs >= facts.max_attempts && !facts.has_copy) {
        return false;
    }
    facts.has_budget =
        can_spend_retry(m_traffic.retries[m_service_name], retry_share(m_traffic), m_traffic.timers.now());
    const auto step = plan_next(facts);
    return step == next_step::send_again || step == next_step::resume_from_copy;
}

void proxied_request::take_head(const answer_head& head) {
    auto& current = *m_attempt;
    current.has_head = true;
    current.head = head;
    if (head.load) {
        record_target_load(m_traffic.usage[current.target_id], head.load->running + head.load->waiting,
                           m_traffic.timers.now());
    }
    const bool is_success = head.status >= 200 && head.status < 300;
    if (head.is_other_target) {
        end_attempt(attempt_end::other_target, "status " + std::to_string(head.status));
    } else if (head.is_not_run) {
        end_attempt(current.from_copy ? attempt_end::copy_gone : attempt_end::not_run,
                    "status " + std::to_string(head.status));
    } else if (!head.is_own) {
        end_attempt(attempt_end::broken, "the answer belongs to another request");
    } else if (is_success && !head.is_marked) {
        end_attempt(attempt_end::broken, "a success without the target's mark");
    }
}

void proxied_request::take_body(std::string_view bytes) {
    auto& current = *m_attempt;
    const bool is_event_stream = is_stream() && current.head.status == 200;
    if (is_event_stream) {
        std::string out;
        split_events(current.events, bytes,
                     [this, &out](const stream_event& event) { take_event(event, out); });
        if (!out.empty()) {
            start_stream();
            m_caller.write(std::move(out));
        }
    } else if (m_is_passing) {
        m_caller.write(std::string(bytes));
    } else {
        current.body.append(bytes);
        if (current.body.size() > k_max_held_answer) {
            m_is_passing = true;
            m_is_started = true;
            m_caller.start(current.head, std::nullopt);
            m_caller.write(std::move(current.body));
        }
    }
    if (!m_is_paused && m_caller.backlog() > k_max_backlog) {
        m_is_paused = true;
        current.handle.pause(true);
    }
}

void proxied_request::take_event(const stream_event& event, std::string& out) {
    auto& current = *m_attempt;
    const auto now = m_traffic.timers.now();
    const bool is_first = !std::exchange(current.has_event, true);
    if (is_first) {
        current.first_event = now;
        // The time to the first event says nothing about the pace.
        current.pace = {};
        report_change(m_traffic);
        auto& usage = m_traffic.usage[current.target_id];
        usage.waiting_first -= usage.waiting_first > 0 ? 1 : 0;
        record_target_success(usage);
        if (m_is_started) {
            m_traffic.sink.observe("gateway_resume_gap_seconds", to_seconds(now - m_last_delivery));
        }
    }
    record_event(current.pace, now);
    current.status.reset();
    keep_copy();
    const auto number = event_number(event.id);
    const auto last = event_number(m_last_event_id);
    if (number && last && *number <= *last) {
        m_traffic.sink.count("gateway_events_dropped", "repeated");
        return;
    }
    out.append(event.text);
    if (!event.id.empty()) {
        m_last_event_id = std::string(event.id);
    }
    if (m_last_delivery == time_point{}) {
        m_first_event = now - m_request.received;
    } else {
        m_longest_gap = std::max(m_longest_gap, now - m_last_delivery);
    }
    m_last_delivery = now;
    if (is_first) {
        watch_silence();
    }
}

void proxied_request::start_stream() {
    if (!m_is_started) {
        m_is_started = true;
        m_caller.start(m_attempt->head, std::nullopt);
        m_traffic.sink.observe("gateway_first_event_seconds",
                               to_seconds(m_traffic.timers.now() - m_request.received));
    }
}

void proxied_request::take_end() {
    auto& current = *m_attempt;
    if (!current.has_head) {
        end_attempt(attempt_end::broken, "no answer");
        return;
    }
    if (current.head.status >= 500) {
        end_attempt(attempt_end::failed_answer, "status " + std::to_string(current.head.status));
        return;
    }
    const bool is_event_stream = is_stream() && current.head.status == 200;
    if (is_event_stream && !current.events.partial.empty()) {
        end_attempt(attempt_end::broken, "the stream ended within an event");
        return;
    }
    if (is_event_stream || m_is_passing) {
        start_stream();
        const auto taken = m_traffic.timers.now() - m_request.received;
        m_traffic.stream_time += (taken - m_traffic.stream_time) / k_stream_time_streams;
        record_target_success(m_traffic.usage[current.target_id]);
        if (!current.copy.name.empty()) {
            free_copy(m_traffic, current.copy.source_address, current.copy.name);
        }
        release_target(take_attempt());
        m_caller.finish();
        finish("served");
        return;
    }
    const attempt done = take_attempt();
    record_target_success(m_traffic.usage[done.target_id]);
    release_target(done);
    deliver_answer(done);
    finish("served");
}

void proxied_request::deliver_answer(const attempt& done) {
    m_caller.start(done.head, done.body.size());
    m_caller.write(done.body);
    m_caller.finish();
}

proxied_request::attempt proxied_request::take_attempt() {
    attempt taken = std::move(*m_attempt);
    m_attempt.reset();
    cancel_timer(m_silence_timer);
    return taken;
}

void proxied_request::release_target(const attempt& ended) {
    auto& usage = m_traffic.usage[ended.target_id];
    usage.in_flight -= usage.in_flight > 0 ? 1 : 0;
    if (!ended.has_event) {
        usage.waiting_first -= usage.waiting_first > 0 ? 1 : 0;
    }
    if (!ended.copy.target_id.empty()) {
        auto& holder = m_traffic.usage[ended.copy.target_id];
        holder.copies -= holder.copies > 0 ? 1 : 0;
    }
    if (is_stream()) {
        report_change(m_traffic);
    }
}

void proxied_request::record_health(const attempt& ended, attempt_end end) {
    std::optional<target_trouble> trouble;
    switch (end) {
    case attempt_end::unreachable:
        trouble = target_trouble::unreachable;
        break;
    case attempt_end::silent:
        trouble = target_trouble::silent;
        break;
    case attempt_end::broken:
        trouble = target_trouble::request_failed;
        break;
    case attempt_end::other_target:
        trouble = target_trouble::replaced;
        break;
    case attempt_end::not_run:
    case attempt_end::failed_answer:
    case attempt_end::copy_gone:
        break;
    }
    if (trouble) {
        record_trouble(m_traffic, m_service_name, ended.zone, ended.target_id, *trouble);
    }
}

void proxied_request::end_attempt(attempt_end end, const std::string& detail) {
    const auto self = shared_from_this();
    attempt ended = take_attempt();
    ended.handle.cancel();
    release_target(ended);
    record_health(ended, end);
    const std::string target = ended.target_id;
    m_runs += may_have_run(end) ? 1 : 0;
    if (may_have_run(end)) {
        // Nothing is copied before the prompt is read.
        m_copy = ended.has_event ? ended.copy : memory_copy{};
    } else if (ended.from_copy) {
        // The copy is gone, or the target that holds it cannot be used.
        m_copy = {};
    }
    m_excluded.push_back(target);
    if (end == attempt_end::failed_answer) {
        m_failed = std::move(ended);
    }
    follow_plan(end, detail + " at " + target);
    if (end == attempt_end::unreachable || (end == attempt_end::silent && is_stream())) {
        report_lost_target(m_traffic, target, end == attempt_end::unreachable);
    }
}

attempt_facts proxied_request::facts_of(attempt_end end) {
    attempt_facts facts;
    facts.end = end;
    facts.is_repeatable = m_route->is_repeatable();
    facts.has_delivered = m_is_started;
    facts.is_continuable = is_stream() && !m_is_passing;
    facts.runs = m_runs;
    facts.sends = m_attempts;
    facts.max_attempts = m_route->max_attempts;
    facts.has_time = time_left() > k_least_time;
    const auto now = m_traffic.timers.now();
    const auto& copy = m_attempt ? m_attempt->copy : m_copy;
    if (!copy.target_id.empty()) {
        const auto* holder = find_ready_target(m_traffic, m_service_name, copy.target_id);
        facts.has_copy = holder != nullptr && m_traffic.usage[copy.target_id].avoid_until <= now;
    }
    const auto candidates = candidates_of(m_traffic, m_service_name);
    facts.has_target = std::any_of(candidates.begin(), candidates.end(), [this](const auto& candidate) {
        const auto& id = candidate.record->id;
        return !(m_attempt && m_attempt->target_id == id) &&
               std::find(m_excluded.begin(), m_excluded.end(), id) == m_excluded.end();
    });
    return facts;
}

void proxied_request::follow_plan(attempt_end end, const std::string& detail) {
    auto facts = facts_of(end);
    auto step = plan_next(facts);
    if (step == next_step::send_again || step == next_step::resume_from_copy) {
        // A target that could not be reached has not received a retry either.
        facts.has_budget = end == attempt_end::unreachable ||
                           try_spend_retry(m_traffic.retries[m_service_name], retry_share(m_traffic),
                                           m_traffic.timers.now());
        step = plan_next(facts);
    }
    log_step(log_level::info, "attempt_ended", std::string(name_of(k_next_step_names, step)),
             std::string(name_of(k_attempt_end_names, end)) + ": " + detail +
                 (facts.has_budget ? "" : ", retry budget spent"));
    m_traffic.sink.count("gateway_attempts_ended", std::string(name_of(k_attempt_end_names, end)));
    switch (step) {
    case next_step::send_again:
        send(false);
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
    case next_step::break_off:
        m_caller.break_off();
        finish("broken_off");
        break;
    }
}

void proxied_request::refuse(error_kind kind, const std::string& detail) {
    const auto& answer = answer_for(kind);
    if (m_is_started) {
        m_caller.break_off();
        finish("broken_off", detail);
        return;
    }
    own_answer own;
    own.kind = kind;
    own.detail = detail;
    own.is_not_run = m_runs == 0 && answer.may_promise_not_run;
    if (!own.is_not_run && m_runs > 0 && answer.may_promise_not_run) {
        // The request may have run, so its answer must not state otherwise.
        own.kind =
            kind == error_kind::deadline_exceeded ? error_kind::outcome_late : error_kind::target_failed;
    }
    if (answer.retryable && own.is_not_run) {
        own.retry_after = kind == error_kind::leaving ? leave_retry_after(m_traffic) : k_retry_after;
    }
    m_caller.reply(own);
    finish(to_string(own.kind), detail);
}

void proxied_request::cancel_attempt() {
    const attempt cancelled = take_attempt();
    cancelled.handle.cancel();
    release_target(cancelled);
}

void proxied_request::time_out() {
    if (m_is_done) {
        return;
    }
    if (m_attempt) {
        ++m_runs;
        cancel_attempt();
    }
    refuse(error_kind::deadline_exceeded, "no whole answer in time");
}

void proxied_request::caller_left() {
    if (m_is_done) {
        return;
    }
    if (m_attempt) {
        cancel_attempt();
    }
    finish("caller_left");
}

void proxied_request::caller_drained() {
    if (m_is_paused && m_attempt && m_caller.backlog() <= k_max_backlog / 2) {
        m_is_paused = false;
        m_attempt->handle.pause(false);
    }
}

bool proxied_request::is_stuck_at(const std::string& target_id, bool is_certain) const {
    if (m_is_done || !m_attempt || m_attempt->target_id != target_id || !m_route->is_repeatable()) {
        return false;
    }
    // An engine that reads a prompt sends nothing, which shows no loss.
    const bool may_be_reading = is_stream() && !m_attempt->has_event;
    const auto limit = is_certain ? k_silence_at_lost_target : k_silence_at_silent_target;
    return (is_certain || !may_be_reading) && m_traffic.timers.now() - m_attempt->pace.last > limit;
}

void proxied_request::target_lost(const std::string& target_id, bool is_certain) {
    if (is_stuck_at(target_id, is_certain) && can_go_on_elsewhere()) {
        end_attempt(attempt_end::silent, "another request found its target lost");
    }
}

void proxied_request::finish(std::string_view outcome, const std::string& detail) {
    if (std::exchange(m_is_done, true)) {
        return;
    }
    cancel_timer(m_deadline_timer);
    cancel_timer(m_silence_timer);
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
         {"route", m_route != nullptr ? m_route->name : ""},
         {"service", m_service_name},
         {"outcome", outcome},
         {"detail", detail},
         {"attempt", std::to_string(m_attempts)},
         {"runs", std::to_string(m_runs)},
         {"resumes", std::to_string(m_resumes)},
         {"target", m_attempt ? m_attempt->target_id : (m_excluded.empty() ? "" : m_excluded.back())},
         {"copy", m_copy.target_id},
         {"last_event", m_last_event_id},
         {"first_event_ms", to_ms(m_first_event)},
         {"longest_gap_ms", to_ms(m_longest_gap)},
         {"age_ms", to_ms(m_traffic.timers.now() - m_request.received)},
         {"config", m_table ? std::to_string(m_table->version) : "0"},
         {"view", std::to_string(m_traffic.view->sequence)}});
}

} // namespace lovage
