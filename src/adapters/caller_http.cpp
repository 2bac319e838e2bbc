#include "lovage/adapters/caller_http.h"

#include <charconv>
#include <deque>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace lovage {

namespace {

constexpr std::size_t k_max_key_bytes = 255;
constexpr std::size_t k_max_name_bytes = 128;
constexpr std::uint64_t k_max_deadline_ms = 86'400'000;
// A caller that has disconnected is detected when a write fails, so something is written at least once a
// second.
constexpr milliseconds k_keep_alive_interval{1'000};
// Errors within this time are sent as the status of the response, later ones as events of the stream.
constexpr milliseconds k_status_timeout{1'000};

std::string dump(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string header(const http_request& request, const char* name) {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string{} : found->second;
}

template <class Number>
std::optional<Number> parse_number(std::string_view text, Number low, Number high) {
    Number value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || value < low ||
        value > high) {
        return std::nullopt;
    }
    return value;
}

struct resume_position {
    answer_id answer;
    token_index next = 0;
};

// Parses a Last-Event-ID, "<answer>:<next index>". An empty text means that the caller has received nothing.
result<resume_position> parse_last_event_id(const std::string& text) {
    if (text.empty()) {
        return resume_position{};
    }
    const auto colon = text.find(':');
    const auto answer = answer_id::parse(std::string_view(text).substr(0, colon));
    const auto next = colon == std::string::npos
                          ? std::nullopt
                          : parse_number<token_index>(std::string_view(text).substr(colon + 1), 0,
                                                      std::numeric_limits<token_index>::max());
    if (!answer || !next) {
        return fail(error_kind::invalid_request, "Last-Event-ID must be ANSWER:INDEX");
    }
    return resume_position{*answer, *next};
}

// These functions read the optional field `name` into `value`. They return false if it has the wrong type or
// is out of range.
bool read_text(const nlohmann::json& body, const char* name, std::size_t max_bytes, std::string& value) {
    const auto found = body.find(name);
    if (found == body.end()) {
        return true;
    }
    if (!found->is_string() || found->get_ref<const std::string&>().size() > max_bytes) {
        return false;
    }
    value = found->get<std::string>();
    return true;
}

template <class Number>
bool read_unsigned(const nlohmann::json& body, const char* name, Number& value) {
    const auto found = body.find(name);
    if (found == body.end()) {
        return true;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
        return false;
    }
    value = found->get<Number>();
    return true;
}

bool read_flag(const nlohmann::json& body, const char* name, bool& value) {
    const auto found = body.find(name);
    if (found == body.end()) {
        return true;
    }
    if (!found->is_boolean()) {
        return false;
    }
    value = found->get<bool>();
    return true;
}

bool read_double(const nlohmann::json& body, const char* name, double& value) {
    const auto found = body.find(name);
    if (found == body.end()) {
        return true;
    }
    if (!found->is_number()) {
        return false;
    }
    value = found->get<double>();
    return true;
}

result<void> read_body(const std::string& text, generation_request& request) {
    const auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return fail(error_kind::invalid_request, "the body must be a JSON object");
    }
    generation_spec& spec = request.spec;
    const auto wrong = [](const char* name, const char* expected) {
        return fail(error_kind::invalid_request, std::string(name) + " must be " + expected);
    };
    if (!read_text(body, "service", k_max_name_bytes, spec.service) || spec.service.empty()) {
        return wrong("service", "the name of a service");
    }
    if (!body.contains("prompt") ||
        !read_text(body, "prompt", std::numeric_limits<std::size_t>::max(), spec.prompt)) {
        return wrong("prompt", "a text");
    }
    if (!read_unsigned(body, "max_tokens", spec.max_tokens) || spec.max_tokens == 0) {
        return wrong("max_tokens", "a whole number of at least 1");
    }
    if (!read_unsigned(body, "seed", spec.sampling.seed)) {
        return wrong("seed", "a whole number of at least 0");
    }
    if (!read_double(body, "temperature", spec.sampling.temperature)) {
        return wrong("temperature", "a number");
    }
    if (!read_text(body, "adapter", k_max_name_bytes, spec.adapter)) {
        return wrong("adapter", "a name");
    }
    request.streamed = false;
    if (!read_flag(body, "stream", request.streamed)) {
        return wrong("stream", "true or false");
    }
    return {};
}

result<void> read_headers(const http_request& source, wall_time now, generation_request& request) {
    request.spec.organisation = header(source, "x-organisation");
    if (request.spec.organisation.empty() || request.spec.organisation.size() > k_max_name_bytes) {
        return fail(error_kind::invalid_request, "the header X-Organisation must name an organisation");
    }
    request.idempotency_key = header(source, "idempotency-key");
    if (request.idempotency_key.size() > k_max_key_bytes) {
        return fail(error_kind::invalid_request,
                    "Idempotency-Key must have at most " + std::to_string(k_max_key_bytes) + " bytes");
    }
    if (const auto text = header(source, "x-priority"); !text.empty()) {
        const auto level = value_of<priority>(k_priority_names, text);
        if (!level) {
            return fail(error_kind::invalid_request, "X-Priority must be interactive, standard or batch");
        }
        request.spec.priority = *level;
    }
    if (const auto text = header(source, "x-deadline-ms"); !text.empty()) {
        const auto wait = parse_number<std::uint64_t>(text, 1, k_max_deadline_ms);
        if (!wait) {
            return fail(error_kind::invalid_request,
                        "X-Deadline-Ms must be between 1 and " + std::to_string(k_max_deadline_ms));
        }
        request.spec.deadline = now + milliseconds(*wait);
    }
    const auto held = parse_last_event_id(header(source, "last-event-id"));
    if (!held) {
        return tl::unexpected<error>(held.error());
    }
    request.held_answer = held->answer;
    request.held_tokens = held->next;
    return {};
}

std::string event_text(const char* name, const nlohmann::json& data, const std::string& id = {}) {
    std::string text = std::string("event: ") + name + "\n";
    if (!id.empty()) {
        text += "id: " + id + "\n";
    }
    return text + "data: " + dump(data) + "\n\n";
}

std::string token_events(const answer_read_result& read_result) {
    std::string text;
    token_index index = read_result.first;
    for (const auto& token : read_result.tokens) {
        const std::string id = read_result.answer.to_string() + ":" + std::to_string(index + 1);
        text += event_text("token", {{"index", index}, {"text", token}}, id);
        ++index;
    }
    return text;
}

nlohmann::json answer_data(const request_id& request, const answer_read_result& read_result) {
    return {{"request", request.to_string()},
            {"answer", read_result.answer.to_string()},
            {"version", read_result.model_version},
            {"from", read_result.first}};
}

// The events of one read result, as written to the stream.
std::string stream_text(const request_id& request, const answer_read_result& read_result) {
    switch (read_result.kind) {
    case read_result_kind::idle:
        return ": keep-alive\n\n";
    case read_result_kind::started:
        return event_text("answer", answer_data(request, read_result));
    case read_result_kind::restarted:
        return event_text("restart", {{"answer", read_result.answer.to_string()}}) +
               event_text("answer", answer_data(request, read_result));
    case read_result_kind::tokens:
        return token_events(read_result);
    case read_result_kind::finished:
        return event_text("done", {{"total", read_result.first},
                                   {"reason", name_of(k_finish_reason_names, read_result.reason)}});
    case read_result_kind::failed:
        break;
    }
    const auto body = nlohmann::json::parse(error_response(read_result.failure, read_result.not_run).body);
    return event_text("error", body);
}

bool is_last(const answer_read_result& read_result) {
    return read_result.kind == read_result_kind::finished || read_result.kind == read_result_kind::failed;
}

// State of a caller's stream, owned by the functions of its http_stream.
struct caller_stream {
    subscription reader;
    std::optional<answer_read_result> first;
    bool is_finished = false;
};

http_response stream_response(subscription reader) {
    const request_id request = reader.request();
    auto first = reader.read(k_status_timeout);
    if (first.kind == read_result_kind::failed) {
        return error_response(first.failure, first.not_run);
    }
    auto stream = std::make_shared<caller_stream>(caller_stream{std::move(reader), std::move(first), false});
    http_response response;
    response.content_type = "text/event-stream";
    response.headers["Cache-Control"] = "no-store";
    response.headers["X-Request-Id"] = request.to_string();
    response.stream = http_stream{};
    response.stream->next = [stream, request]() -> std::optional<std::string> {
        if (stream->is_finished) {
            return std::nullopt;
        }
        const answer_read_result read_result = stream->first ? *std::exchange(stream->first, std::nullopt)
                                                             : stream->reader.read(k_keep_alive_interval);
        stream->is_finished = is_last(read_result);
        return stream_text(request, read_result);
    };
    return response;
}

http_response whole_response(subscription reader) {
    std::string text;
    for (;;) {
        const answer_read_result read_result = reader.read(k_keep_alive_interval);
        switch (read_result.kind) {
        case read_result_kind::idle:
            break;
        case read_result_kind::started:
        case read_result_kind::restarted:
            text.clear();
            break;
        case read_result_kind::tokens:
            for (const auto& token : read_result.tokens) {
                text += token;
            }
            break;
        case read_result_kind::failed:
            return error_response(read_result.failure, read_result.not_run);
        case read_result_kind::finished: {
            http_response response;
            response.headers["X-Request-Id"] = reader.request().to_string();
            response.body = dump({{"request", reader.request().to_string()},
                                  {"answer", read_result.answer.to_string()},
                                  {"version", read_result.model_version},
                                  {"text", text},
                                  {"total", read_result.first},
                                  {"reason", name_of(k_finish_reason_names, read_result.reason)}}) +
                            "\n";
            return response;
        }
        }
    }
}

http_response post_generation(entry_service& service, const http_request& source) {
    auto request = read_generation_request(source, wall_now());
    if (!request) {
        const std::string key = header(source, "idempotency-key");
        const bool not_run = key.empty() || service.is_certainly_not_run(
                                                request_id::from_key(header(source, "x-organisation"), key));
        return error_response(request.error(), not_run);
    }
    if (!request->streamed) {
        // A response that is not streamed has the complete text, whatever the caller has already received.
        request->held_tokens = 0;
    }
    const bool streamed = request->streamed;
    auto reader = service.generate(std::move(*request));
    if (!reader) {
        return error_response(reader.error().failure, reader.error().not_run);
    }
    return streamed ? stream_response(std::move(*reader)) : whole_response(std::move(*reader));
}

http_response get_generation(entry_service& service, const http_request& source) {
    const auto slash = source.path.rfind('/');
    const auto request = request_id::parse(std::string_view(source.path).substr(slash + 1));
    if (!request) {
        return error_response({error_kind::invalid_request, "a request id has 32 hexadecimal digits", {}},
                              false);
    }
    const auto held = parse_last_event_id(header(source, "last-event-id"));
    if (!held) {
        return error_response(held.error(), false);
    }
    const auto parameter = source.query.find("stream");
    const bool streamed = parameter != source.query.end() && parameter->second == "true";
    auto reader = service.follow(*request, held->answer, streamed ? held->next : 0, streamed);
    return streamed ? stream_response(std::move(reader)) : whole_response(std::move(reader));
}

} // namespace

result<generation_request> read_generation_request(const http_request& request, wall_time now) {
    generation_request read;
    if (const auto headers = read_headers(request, now, read); !headers) {
        return tl::unexpected<error>(headers.error());
    }
    if (const auto body = read_body(request.body, read); !body) {
        return tl::unexpected<error>(body.error());
    }
    return read;
}

std::vector<http_route> caller_routes(entry_service& service) {
    return {
        {"POST", "/v1/generations",
         [&service](const http_request& request) { return post_generation(service, request); }},
        {"GET", "/v1/generations/:request",
         [&service](const http_request& request) { return get_generation(service, request); }},
    };
}

} // namespace lovage
