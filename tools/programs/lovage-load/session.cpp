#include "session.h"

#include "request_targets.h"
#include "session_state.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace lovage::load {

namespace {

using nlohmann::json;

constexpr std::size_t k_max_error_body_bytes = 1U << 16U;
// Callers retry without a delay. But if every entry refuses connections or closes them without a byte, that
// loop would take the processor time that the system under test needs: without this delay 10 callers made
// 20,000 attempts per second against a proxy that closed their connections.
constexpr milliseconds k_reconnect_delay{10};

} // namespace

request_session::request_session(std::unique_ptr<state> initial) : m_state(std::move(initial)) {}
request_session::~request_session() = default;

std::shared_ptr<request_session> request_session::start(asio::io_context& context,
                                                        const load_options& options, request_plan plan,
                                                        time_point run_start, time_point started,
                                                        done_handler on_done) {
    auto initial = std::make_unique<state>(context, options, std::move(plan));
    initial->run_start = run_start;
    initial->started = started;
    initial->on_done = std::move(on_done);
    request_record& record = initial->record;
    record.number = initial->plan.number;
    record.key = initial->plan.key;
    record.organisation = initial->plan.organisation;
    record.started_us = elapsed_us(run_start, started);
    initial->check.prompt = initial->plan.prompt;
    initial->check.seed = initial->plan.seed;
    initial->check.max_tokens = initial->plan.max_tokens;
    if (options.mode == request_mode::direct_engine) {
        standins::on_answer(initial->check, initial->plan.key, options.version, 0);
    }
    std::shared_ptr<request_session> session(new request_session(std::move(initial)));
    asio::post(session->m_state->executor, [session] { session->begin_attempt(); });
    return session;
}

void request_session::stop() {
    asio::post(m_state->executor, [self = shared_from_this()] {
        state& current = *self->m_state;
        current.is_stopped = true;
        current.retry_timer.cancel();
        if (current.stream) {
            current.stream->cancel();
        }
    });
}

// Wraps a handler so that it runs only if its operation succeeded. A failed operation starts a retry, and a
// stopped session finishes.
template <class Handler>
auto request_session::guard_handler(Handler handler, retry_cause failure_cause) {
    return [self = shared_from_this(), handler, failure_cause](const boost::system::error_code& code,
                                                               auto&&... rest) {
        if (self->m_state->is_stopped) {
            self->finish(outcome::stopped);
        } else if (code && code != http::error::need_buffer) {
            self->retry(code == beast::error::timeout ? retry_cause::silence : failure_cause);
        } else {
            handler(rest...);
        }
    };
}

void request_session::begin_attempt() {
    state& current = *m_state;
    if (current.is_stopped) {
        finish(outcome::stopped);
        return;
    }
    const auto now = monotonic_now();
    const bool is_out_of_attempts =
        current.options.max_attempts > 0 && current.record.attempts >= current.options.max_attempts;
    if (now >= current.started + current.options.request_timeout || is_out_of_attempts) {
        finish(outcome::failed);
        return;
    }
    const endpoint& entry =
        current.options
            .entries[(current.plan.first_entry + current.record.attempts) % current.options.entries.size()];
    ++current.record.attempts;
    current.token_timer_start = now;
    current.is_attempt_over = false;
    current.events = {};
    current.body.clear();
    current.buffer.clear();
    current.stream.emplace(current.executor);
    current.stream->expires_after(current.options.connect_timeout);
    current.stream->async_connect({asio::ip::make_address(entry.ip), entry.port},
                                  guard_handler([this] { send_request(); }, retry_cause::no_connection));
}

void request_session::send_request() {
    state& current = *m_state;
    request_target target = mode_traits_of(current.options).target(current.options, current.plan);
    if (current.options.mode == request_mode::direct_engine) {
        json body = json::parse(target.body);
        body["attempt"] = current.record.attempts;
        body["accepted"] = current.accepted;
        target.body = body.dump();
    }
    auto& request = current.request;
    request = {};
    request.version(11);
    request.method_string(target.method);
    request.target(target.path);
    request.set(http::field::host, "lovage");
    request.set(http::field::connection, "close");
    request.set("Idempotency-Key",
                mode_traits_of(current.options).is_direct ? request_id_of(current.plan) : current.plan.key);
    request.set("X-Organisation", current.plan.organisation);
    if (!target.body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    if (!current.options.priority.empty()) {
        request.set("X-Priority", current.options.priority);
    }
    if (current.options.deadline.count() > 0) {
        const auto left = std::chrono::duration_cast<milliseconds>(
            current.started + current.options.deadline - monotonic_now());
        request.set("X-Deadline-Ms", std::to_string(std::max<std::int64_t>(0, left.count())));
    }
    if (!current.last_event_id.empty()) {
        request.set("Last-Event-ID", current.last_event_id);
    }
    request.body() = std::move(target.body);
    request.prepare_payload();
    current.parser.emplace();
    // With no limit at all, Boost 1.74 refuses bodies of known length.
    current.parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    set_read_timeout();
    http::async_write(*current.stream, request,
                      guard_handler([this](std::size_t) { read_header(); }, retry_cause::lost_connection));
}

// Sets the timeout of the next operation. `--silence-ms` counts from the last byte, `--patience-ms` from the
// last token, `--give-up-ms` from the start of the request.
void request_session::set_read_timeout() {
    state& current = *m_state;
    const auto now = monotonic_now();
    auto limit = std::min(now + current.options.silence, current.started + current.options.request_timeout);
    if (current.options.token_timeout.count() > 0) {
        limit = std::min(limit, current.token_timer_start + current.options.token_timeout);
    }
    current.stream->expires_after(std::max(limit - now, time_point::duration{1}));
}

void request_session::read_header() {
    state& current = *m_state;
    set_read_timeout();
    http::async_read_header(*current.stream, current.buffer, *current.parser,
                            guard_handler(
                                [this](std::size_t) {
                                    m_state->consecutive_connection_failures = 0;
                                    read_body();
                                },
                                retry_cause::lost_connection));
}

void request_session::read_body() {
    state& current = *m_state;
    if (current.is_attempt_over) {
        return;
    }
    if (current.parser->is_done()) {
        on_end_of_body();
        return;
    }
    auto& target = current.parser->get().body();
    target.data = current.block.data();
    target.size = current.block.size();
    set_read_timeout();
    http::async_read_some(*current.stream, current.buffer, *current.parser,
                          guard_handler(
                              [this](std::size_t) {
                                  const auto left = m_state->parser->get().body().size;
                                  on_body({m_state->block.data(), m_state->block.size() - left});
                                  read_body();
                              },
                              retry_cause::lost_connection));
}

void request_session::on_body(std::string_view bytes) {
    state& current = *m_state;
    const bool is_ok = current.parser->get().result_int() == 200;
    if (is_ok && mode_traits_of(current.options).is_event_stream) {
        append(current.events, bytes);
        on_events();
    } else if (current.body.size() < k_max_error_body_bytes || is_ok) {
        current.body.append(bytes);
    }
}

void request_session::retry(retry_cause cause) {
    state& current = *m_state;
    if (std::exchange(current.is_attempt_over, true)) {
        return;
    }
    ++current.record.retries.at(static_cast<std::size_t>(cause));
    if (current.stream) {
        current.stream->close();
    }
    const bool is_connection_loss =
        cause == retry_cause::no_connection || cause == retry_cause::lost_connection;
    current.consecutive_connection_failures += is_connection_loss ? 1 : 0;
    if (current.consecutive_connection_failures >= current.options.entries.size()) {
        current.consecutive_connection_failures = 0;
        current.retry_timer.expires_after(k_reconnect_delay);
        current.retry_timer.async_wait(
            [self = shared_from_this()](const boost::system::error_code&) { self->begin_attempt(); });
        return;
    }
    // Posted, since the handler that called this function still uses the stream that the next attempt
    // replaces.
    asio::post(current.executor, [self = shared_from_this()] { self->begin_attempt(); });
}

void request_session::finish(outcome end) {
    state& current = *m_state;
    if (std::exchange(current.is_finished, true)) {
        return;
    }
    current.is_attempt_over = true;
    if (current.stream) {
        current.stream->close();
    }
    current.record.outcome = end;
    current.record.total_us = elapsed_us(current.started, monotonic_now());
    current.record.version = current.check.version;
    current.record.restarts = current.check.restarts;
    current.record.violations = current.check.violations;
    current.record.has_violations = has_violations(current.check);
    current.on_done(std::move(current.record));
}

} // namespace lovage::load
