#include "proxied_helpers.h"

#include "lovage/traffic/engine_calls.h"
#include "lovage/traffic/prompt_crashes.h"
#include "lovage/traffic/proxied_request.h"
#include "lovage/traffic/target_learning.h"

#include <algorithm>

namespace lovage {

namespace {

// Answers up to this size are buffered until they are complete, so that the request can be retried at another
// target if the answer breaks off.
constexpr std::size_t k_max_buffered_answer_bytes = 262'144;
// Backpressure: reading from the target pauses while more than this many bytes wait to be written to the
// caller.
constexpr std::size_t k_max_write_backlog_bytes = 262'144;
// Number of events after which the mean gap of a stream is compared with the baseline.
constexpr int k_gap_sample_events = 12;
// Weight of the running mean of the stream duration: about this many streams.
constexpr int k_stream_duration_samples = 8;

} // namespace

attempt_events proxied_request::events_of(std::uint32_t number) {
    // Events of attempts that are neither the current nor the superseded one are dropped.
    const auto receive = [self = shared_from_this(), number](std::function<void(proxied_request&)> event) {
        if (self->is_current(number)) {
            event(*self);
        } else if (self->is_superseded(number)) {
            self->handle_superseded_event(std::move(event));
        }
    };
    attempt_events events;
    events.on_head = [self = shared_from_this(), number, receive](const answer_head& head) {
        if (head.has_invalid_status && self->is_superseded(number)) {
            self->release_superseded();
            return;
        }
        receive([head](proxied_request& request) { request.handle_head(head); });
    };
    events.on_body = [self = shared_from_this(), number, receive](std::string_view bytes) {
        if (self->is_current(number)) {
            self->handle_body(bytes);
            return;
        }
        receive([bytes = std::string(bytes)](proxied_request& request) { request.handle_body(bytes); });
    };
    events.on_end = [receive] { receive([](proxied_request& request) { request.handle_end(); }); };
    events.on_failure = [self = shared_from_this(), number](attempt_end end, const std::string& detail) {
        if (self->is_current(number)) {
            self->m_attempt->is_connection_lost = end == attempt_end::broken;
            self->end_attempt(end, detail);
        } else if (self->is_superseded(number)) {
            self->release_superseded();
        }
    };
    return events;
}

bool proxied_request::is_current(std::uint32_t number) const {
    return !m_is_done && m_attempt && m_attempt->number == number;
}

void proxied_request::handle_head(const answer_head& head) {
    auto& current = *m_attempt;
    ++m_reads.handled;
    if (head.has_invalid_status) {
        // The target may have run the request. It is not lost, so the failure says nothing about the request.
        end_attempt(attempt_end::broken, "invalid status " + std::to_string(head.status));
        return;
    }
    current.has_head = true;
    current.transfer.started = m_traffic.timers.now();
    current.transfer.last = current.transfer.started;
    current.head = head;
    // Checked first: what a stale answer says about a refusal or the load concerns another request. An answer
    // without an id is not believed either, since targets always repeat the id.
    if (!head.has_matching_request_id) {
        end_attempt(attempt_end::broken, "the answer belongs to another request");
        return;
    }
    if (!head.is_other_target) {
        withdraw_losses(m_traffic.lost_requests, current.target.id, current.target.started_ms,
                        current.started, m_traffic.timers.now());
        record_notices(m_traffic, current.target.id, current.target.started_ms, head);
    }
    if (head.load) {
        record_target_load(m_traffic.usage[current.target.id], head.load->running + head.load->waiting,
                           m_traffic.timers.now());
        if (head.load->time_percent && !head.is_other_target) {
            learn_time_factor(m_traffic, m_service_name, current.target, *head.load->time_percent);
        }
    }
    if (head.has_invalid_load) {
        m_traffic.sink.count("gateway_load_headers_invalid", m_service_name);
    }
    const bool is_success = head.status >= 200 && head.status < 300;
    if (head.is_other_target) {
        end_attempt(attempt_end::other_target, "status " + std::to_string(head.status));
    } else if (head.is_not_run) {
        end_attempt(current.from_copy ? attempt_end::copy_gone : attempt_end::not_run,
                    "status " + std::to_string(head.status));
    } else if (is_success && !head.has_target_marker) {
        end_attempt(attempt_end::broken, "a success without the target's mark");
    } else {
        current.use = plan_answer_use(m_delivered, is_stream(), head.status);
        if (current.use == answer_use::reject) {
            end_attempt(attempt_end::failed_answer,
                        "status " + std::to_string(head.status) + " after the response has begun");
        }
    }
}

void proxied_request::handle_body(std::string_view bytes) {
    auto& current = *m_attempt;
    ++m_reads.handled;
    current.transfer.last = m_traffic.timers.now();
    current.transfer.body_bytes += bytes.size();
    if (current.use == answer_use::forward_events) {
        std::string out;
        const bool is_bounded = split_events(
            current.events, bytes, [this, &out](const stream_event& event) { handle_event(event, out); });
        if (!out.empty()) {
            start_stream();
            m_caller.write(std::move(out));
        }
        if (!is_bounded) {
            end_attempt(attempt_end::broken, "an event without an end");
            return;
        }
    } else if (m_delivered == delivery_phase::body) {
        m_caller.write(std::string(bytes));
    } else {
        current.body.append(bytes);
        if (current.body.size() > k_max_buffered_answer_bytes) {
            release_superseded();
            m_delivered = delivery_phase::body;
            m_caller.start(current.head, std::nullopt);
            m_caller.write(std::move(current.body));
            current.body = {};
        }
        if (m_caller.hold) {
            m_caller.hold(current.body.capacity());
        }
    }
    if (!current.is_reading_paused && m_caller.backlog() > k_max_write_backlog_bytes) {
        current.is_reading_paused = true;
        current.handle.pause(true);
    }
}

void proxied_request::handle_event(const stream_event& event, std::string& out) {
    if (event.is_comment) {
        // A comment shows that the connection works, not that the generation proceeds.
        out.append(event.text);
        return;
    }
    auto& current = *m_attempt;
    const auto now = m_traffic.timers.now();
    m_retry_delay = {};
    if (std::exchange(current.is_suspect, false)) {
        record_target_success(m_traffic.usage[current.target.id]);
    }
    const bool is_first = !std::exchange(current.has_event, true);
    if (is_first) {
        release_superseded();
        current.first_event = now;
        // The time to the first event is not a gap between events.
        current.timing = {};
        schedule_report(m_traffic);
        auto& usage = m_traffic.usage[current.target.id];
        const bool is_counted = current.is_prefill && usage.awaiting_first_event_count > 0;
        usage.awaiting_first_event_count -= is_counted ? 1 : 0;
        record_target_success(usage);
        // At the engine that has the prompt cached, little of it is left to prefill.
        if (!current.from_copy && m_prompt_search.target_id != current.target.id) {
            record_prefill(m_traffic.admission[m_service_name].prefills, now - current.started);
            learn_prefill(m_traffic, m_service_name, current.target, m_request.prompt_tokens,
                          now - current.started);
        }
        if (current.is_prefill) {
            record_prefill_end();
        }
        if (m_delivered == delivery_phase::events) {
            m_traffic.sink.observe("gateway_resume_gap_seconds", to_seconds(now - m_last_delivery));
        }
    }
    record_event(current.timing, now);
    observe_event();
    current.status.reset();
    maintain_copy();
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
        check_for_stall();
    }
}

observed_answer proxied_request::observed(const attempt& current) const {
    return {m_service_name, m_route->name, current.target.version, is_stream()};
}

void proxied_request::watch_first_event() {
    const auto limit = m_attempt->from_copy ? std::nullopt : slow_threshold(m_traffic, observed(*m_attempt));
    if (!limit) {
        return;
    }
    m_first_event_timer =
        m_traffic.timers.after(*limit, [self = shared_from_this(), number = m_attempt->number] {
            self->m_first_event_timer = nullptr;
            if (self->m_attempt && self->m_attempt->number == number && !self->m_attempt->has_event) {
                self->m_attempt->is_overdue = true;
                observe_overdue(self->m_traffic, self->observed(*self->m_attempt), false);
            }
        });
}

void proxied_request::observe_event() {
    const auto& current = *m_attempt;
    const auto count = ++m_attempt->event_count;
    const auto now = m_traffic.timers.now();
    if (count % k_gap_sample_events == 1) {
        // The gaps of a caller that reads too slowly are not the target's.
        if (count > 1 && !current.is_reading_paused) {
            learn_gap(m_traffic, m_service_name, current.target,
                      (now - current.gap_sample_began) / k_gap_sample_events);
        }
        m_attempt->gap_sample_began = now;
    }
    if (count == 1) {
        if (!current.from_copy && !current.is_overdue) {
            observe_first_event(m_traffic, observed(current), current.first_event - current.started);
        }
    }
    if (count == k_events_to_clear) {
        report_prompt_success(m_traffic, shared_parts(m_request.prompt));
        record_survival();
    }
    if (count == k_gap_sample_events) {
        observe_gap(m_traffic, observed(current),
                    (m_traffic.timers.now() - current.first_event) / (k_gap_sample_events - 1));
    }
}

// A target that has answered the request has survived it.
void proxied_request::record_survival() {
    record_request_success(m_traffic.lost_requests, m_fingerprint, m_traffic.timers.now());
}

void proxied_request::start_stream() {
    if (m_delivered == delivery_phase::nothing) {
        m_delivered = delivery_phase::events;
        m_caller.start(m_attempt->head, std::nullopt);
        m_traffic.sink.observe("gateway_first_event_seconds",
                               to_seconds(m_traffic.timers.now() - m_request.received));
    }
}

void proxied_request::handle_end() {
    auto& current = *m_attempt;
    if (!current.has_head) {
        end_attempt(attempt_end::broken, "connection closed with no answer");
        return;
    }
    const bool is_failure = current.head.status >= 500;
    if (!is_stream()) {
        record_survival();
    }
    if (is_failure && m_delivered == delivery_phase::nothing) {
        end_attempt(attempt_end::failed_answer, "status " + std::to_string(current.head.status));
        return;
    }
    const bool is_event_stream = current.use == answer_use::forward_events;
    // Only a continued stream may have no event left.
    const bool has_no_event =
        current.head.ends_with_connection && !current.has_event && m_last_event_id.empty();
    if (is_event_stream && (has_no_event || !current.events.partial.empty())) {
        current.is_connection_lost = true;
        end_attempt(attempt_end::broken, has_no_event ? "the stream ended before its first event"
                                                      : "the stream ended in the middle of an event");
        return;
    }
    if (is_event_stream || m_delivered == delivery_phase::body) {
        start_stream();
        if (is_failure) {
            observe_failure(m_traffic, observed(current));
        } else {
            const auto taken = m_traffic.timers.now() - m_request.received;
            observe_completion(m_traffic, observed(current), taken);
            m_traffic.mean_stream_duration +=
                (taken - m_traffic.mean_stream_duration) / k_stream_duration_samples;
            record_target_success(m_traffic.usage[current.target.id]);
            record_stream_length(m_traffic.stream_lengths[m_service_name],
                                 event_number(m_last_event_id).value_or(0), m_request.max_output_tokens);
            report_prompt_success(m_traffic, shared_parts(m_request.prompt));
            record_survival();
        }
        if (!current.copy.name.empty()) {
            release_standby_copy(m_traffic, current.target, current.copy.name);
        }
        release_target(take_attempt());
        m_caller.finish();
        finish(is_failure ? "failed_by_target" : "served");
        return;
    }
    const attempt done = take_attempt();
    observe_completion(m_traffic, observed(done), m_traffic.timers.now() - m_request.received);
    const bool is_success = done.head.status >= 200 && done.head.status < 300;
    if (!is_stream() && is_success) {
        learn_response(m_traffic, m_service_name, done.target, m_traffic.timers.now() - done.started);
    } else if (!is_stream()) {
        learn_other_answer(m_traffic, m_service_name, done.target);
    }
    if (!done.is_overdue) {
        observe_first_event(m_traffic, observed(done), m_traffic.timers.now() - done.started);
    }
    record_target_success(m_traffic.usage[done.target.id]);
    release_target(done);
    deliver_answer(done);
    finish("served");
}

void proxied_request::deliver_answer(const attempt& done) {
    m_caller.start(done.head, done.body.size());
    m_caller.write(done.body);
    m_caller.finish();
}

void proxied_request::on_caller_writable() {
    if (m_attempt && m_attempt->is_reading_paused && m_caller.backlog() <= k_max_write_backlog_bytes / 2) {
        m_attempt->is_reading_paused = false;
        m_attempt->handle.pause(false);
    }
}

} // namespace lovage
