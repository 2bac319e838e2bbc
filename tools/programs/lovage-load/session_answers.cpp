#include "request_targets.h"
#include "session_state.h"

#include "standins/fake_calls.h"

#include <nlohmann/json.hpp>

namespace lovage::load {

namespace {

using nlohmann::json;
using standins::violation;

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

} // namespace lovage::load
