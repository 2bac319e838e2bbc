#include "session.h"

#include "standins/answer_check.h"
#include "standins/event_stream.h"
#include "standins/fake_calls.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace lovage::load {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;
using standins::violation;

using strand = asio::strand<asio::io_context::executor_type>;
using tcp_stream = beast::basic_stream<asio::ip::tcp, strand>;

constexpr std::size_t k_read_buffer_bytes = 16'384;
constexpr std::size_t k_max_error_body_bytes = 1U << 16U;
// Callers retry without a delay. But if every entry refuses connections or closes them without a byte, that
// loop would take the processor time that the system under test needs: without this delay 10 callers made
// 20,000 attempts per second against a proxy that closed their connections.
constexpr milliseconds k_reconnect_delay{10};

std::uint32_t elapsed_us(time_point from, time_point to) {
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, (to - from).count()));
}

// The fields of an error body that decide what the caller does next.
struct error_answer {
    std::string kind;
    bool not_run = false;
    bool retryable = true;
};

error_answer read_error(const std::string& body) {
    error_answer answer;
    const json parsed = json::parse(body, nullptr, false);
    const json* error = nullptr;
    if (parsed.is_object()) {
        error = parsed.contains("error") && parsed["error"].is_object() ? &parsed["error"] : &parsed;
    }
    if (error != nullptr) {
        answer.kind = error->value("kind", "");
        answer.not_run = error->value("not_run", false);
        answer.retryable = error->value("retryable", true);
    }
    return answer;
}

} // namespace

struct request_session::state {
    state(asio::io_context& context, const load_options& run_options, request_plan request_to_send)
        : options(run_options), plan(std::move(request_to_send)), executor(asio::make_strand(context)),
          retry_timer(executor) {}

    const load_options& options;
    request_plan plan;
    strand executor;
    asio::steady_timer retry_timer;
    time_point run_start{};
    time_point started{};
    done_handler on_done;
    request_record record;
    standins::answer_check check;
    // Tokens received so far. A retry to an engine sends them, so that it resumes the generation.
    std::vector<token> accepted;
    std::string last_event_id;

    std::optional<tcp_stream> stream;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::buffer_body>> parser;
    beast::flat_buffer buffer;
    std::array<char, k_read_buffer_bytes> block{};
    standins::event_stream events;
    std::string body;
    time_point last_token{};
    // When the last token arrived, or the attempt started.
    time_point token_timer_start{};
    bool is_attempt_over = false;
    // Connections that failed in a row before the header of a response.
    std::uint32_t consecutive_connection_failures = 0;
    bool is_stopped = false;
    bool is_finished = false;
};

namespace {

struct request_target {
    std::string method;
    std::string path;
    std::string body;
};

using plan_part = const request_plan&;

request_target generation_target(const load_options& options, plan_part plan, bool streams) {
    const json body = {{"service", options.service}, {"prompt", plan.prompt}, {"max_tokens", plan.max_tokens},
                       {"seed", plan.seed},          {"temperature", 0.0},    {"adapter", options.adapter},
                       {"stream", streams}};
    return {"POST", "/v1/generations", body.dump()};
}

request_target stream_target(const load_options& options, plan_part plan) {
    return generation_target(options, plan, true);
}

request_target whole_target(const load_options& options, plan_part plan) {
    return generation_target(options, plan, false);
}

request_target direct_lookup_target(const load_options& /*options*/, plan_part plan) {
    return {"GET", "/lookup/" + plan.key, ""};
}

request_target direct_post_target(const load_options& options, plan_part plan) {
    return {"POST", "/" + options.path, json({{"key", plan.key}, {"text", plan.prompt}}).dump()};
}

request_target through_entry(const load_options& options, request_target target) {
    target.path = "/v1/services/" + options.service + target.path;
    return target;
}

request_target lookup_target(const load_options& options, plan_part plan) {
    return through_entry(options, direct_lookup_target(options, plan));
}

request_target post_target(const load_options& options, plan_part plan) {
    return through_entry(options, direct_post_target(options, plan));
}

request_target engine_target(const load_options& options, plan_part plan) {
    const json body = {{"request", plan.key},
                       {"answer", plan.key},
                       {"model", options.model},
                       {"version", options.version},
                       {"adapter", options.adapter},
                       {"prompt", plan.prompt},
                       {"max_tokens", plan.max_tokens},
                       {"seed", plan.seed},
                       {"temperature", 0.0},
                       {"priority", options.priority.empty() ? "standard" : options.priority},
                       {"route", options.service}};
    return {"POST", "/engine/generate", body.dump()};
}

/// How requests of a mode are built and their responses read.
struct mode_traits {
    request_target (*target)(const load_options&, plan_part);
    bool is_event_stream;
    /// Whether the idempotency key is the request id, as in requests that an agent sends to an engine or a
    /// service.
    bool is_direct;
};

constexpr std::array<mode_traits, k_request_mode_count> k_modes{{
    {stream_target, true, false},
    {whole_target, false, false},
    {lookup_target, false, false},
    {post_target, false, false},
    {engine_target, true, true},
    {direct_lookup_target, false, true},
    {direct_post_target, false, true},
}};

const mode_traits& mode_traits_of(const load_options& options) {
    return k_modes.at(static_cast<std::size_t>(options.mode));
}

std::string request_id_of(plan_part plan) {
    return request_id::from_key(plan.organisation, plan.key).to_string();
}

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

void request_session::on_events() {
    state& current = *m_state;
    const auto now = monotonic_now();
    while (const auto event = next_event(current.events)) {
        if (!event->id.empty()) {
            current.last_event_id = event->id;
        }
        if (event->type == "ping") {
            continue;
        }
        const json data = json::parse(event->data, nullptr, false);
        if (!data.is_object()) {
            add_violation(current.check, violation::wrong_text);
            continue;
        }
        if (event->type == "token") {
            const auto text = data.value("text", "");
            on_token(current.check, data.value("index", token_index{0}), text, event->id);
            if (current.options.mode == request_mode::direct_engine) {
                current.accepted.push_back(text);
            }
            request_record& record = current.record;
            if (record.has_first_token) {
                record.gaps_us.push_back(elapsed_us(current.last_token, now));
                record.longest_gap_us = std::max(record.longest_gap_us, record.gaps_us.back());
            } else {
                record.has_first_token = true;
                record.first_token_us = elapsed_us(current.started, now);
            }
            ++record.tokens;
            current.last_token = now;
            current.token_timer_start = now;
        } else if (event->type == "answer") {
            const auto request =
                request_id::from_key(current.plan.organisation, current.plan.key).to_string();
            if (data.value("request", request) != request) {
                add_violation(current.check, violation::wrong_request);
            }
            on_answer(current.check, data.value("answer", ""), data.value("version", ""),
                      data.value("from", token_index{0}));
        } else if (event->type == "restart") {
            on_restart(current.check, data.value("answer", ""));
            current.accepted.clear();
        } else if (event->type == "done") {
            on_done(current.check, data.value("total", token_index{0}), data.value("reason", ""));
            finish(outcome::complete);
            return;
        } else if (event->type == "error") {
            current.body = event->data;
            on_error_answer();
            return;
        }
    }
}

void request_session::on_end_of_body() {
    state& current = *m_state;
    const int status = static_cast<int>(current.parser->get().result_int());
    if (status < 200 || status > 299) {
        on_error_answer();
        return;
    }
    switch (current.options.mode) {
    case request_mode::stream:
    case request_mode::direct_engine:
        // The stream ended without a `done` event.
        retry(retry_cause::lost_connection);
        break;
    case request_mode::whole:
        on_json_answer();
        break;
    case request_mode::lookup:
    case request_mode::post:
    case request_mode::direct_lookup:
    case request_mode::direct_post:
        on_call_answer();
        break;
    }
}

void request_session::on_json_answer() {
    state& current = *m_state;
    const json data = json::parse(current.body, nullptr, false);
    if (!data.is_object()) {
        add_violation(current.check, violation::wrong_text);
        finish(outcome::complete);
        return;
    }
    on_answer(current.check, data.value("answer", ""), data.value("version", ""), 0);
    // A token is a space and eight hexadecimal digits.
    constexpr std::size_t token_bytes = 9;
    const auto text = data.value("text", "");
    for (std::size_t at = 0; at < text.size(); at += token_bytes) {
        on_token(current.check, current.check.next, text.substr(at, token_bytes), "");
    }
    current.record.tokens = current.check.next;
    on_done(current.check, data.value("total", token_index{0}), data.value("reason", ""));
    finish(outcome::complete);
}

void request_session::on_call_answer() {
    state& current = *m_state;
    const json data = json::parse(current.body, nullptr, false);
    const bool is_lookup =
        current.options.mode == request_mode::lookup || current.options.mode == request_mode::direct_lookup;
    const auto target =
        (is_lookup ? direct_lookup_target : direct_post_target)(current.options, current.plan);
    const auto expected = is_lookup ? standins::fake_lookup_value(target.path)
                                    : standins::fake_receipt(target.path, target.body);
    if (!data.is_object() || data.value(is_lookup ? "value" : "receipt", "") != expected) {
        add_violation(current.check, violation::wrong_request);
    }
    finish(outcome::complete);
}

void request_session::on_error_answer() {
    state& current = *m_state;
    const int status = static_cast<int>(current.parser->get().result_int());
    const error_answer answer = read_error(current.body);
    current.record.error_kind = answer.kind.empty() ? "status_" + std::to_string(status) : answer.kind;
    const bool is_refusal = status == 429 || status == 503;
    const bool is_final = !answer.retryable || (is_refusal && current.options.stops_on_refusal) ||
                          (answer.not_run && current.options.stops_on_not_run);
    if (!is_final) {
        retry(is_refusal ? retry_cause::refused : retry_cause::error_answer);
        return;
    }
    if (answer.not_run) {
        finish(outcome::refused_not_run);
    } else if (is_refusal) {
        finish(outcome::refused);
    } else if (answer.kind == to_string(error_kind::outcome_unknown)) {
        finish(outcome::unknown);
    } else {
        finish(outcome::failed);
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
