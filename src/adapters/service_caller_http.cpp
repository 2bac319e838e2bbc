#include "lovage/adapters/service_caller_http.h"

#include "lovage/adapters/url_codec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace lovage {

namespace {

constexpr std::string_view k_prefix = "/v1/services/";
constexpr std::size_t k_max_key_bytes = 255;
constexpr std::size_t k_max_name_bytes = 128;
constexpr std::uint64_t k_max_deadline_ms = 86'400'000;
// Calls are short, so a caller that sets no deadline must not hold its connection for long.
constexpr milliseconds k_default_deadline{30'000};

std::string header(const http_request& request, const char* name) {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string{} : found->second;
}

std::optional<milliseconds> read_deadline(const std::string& text) {
    if (text.empty()) {
        return k_default_deadline;
    }
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || value == 0 ||
        value > k_max_deadline_ms) {
        return std::nullopt;
    }
    return milliseconds(value);
}

std::string upper_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    return text;
}

http_response handle_call(service_caller& caller, const http_request& source) {
    auto request = read_service_call(source, wall_now());
    if (!request) {
        return error_response(request.error(), header(source, "idempotency-key").empty());
    }
    auto answer = caller.run(std::move(*request));
    if (!answer.outcome.reply) {
        auto response = error_response(answer.outcome.reply.error(), answer.outcome.not_run);
        response.headers["X-Request-Id"] = answer.request.to_string();
        return response;
    }
    service_reply& reply = *answer.outcome.reply;
    http_response response;
    response.status = reply.status;
    response.content_type = std::move(reply.content_type);
    response.body = std::move(reply.body);
    response.headers["X-Request-Id"] = answer.request.to_string();
    return response;
}

} // namespace

result<service_call_request> read_service_call(const http_request& request, wall_time now) {
    if (request.path.compare(0, k_prefix.size(), k_prefix) != 0) {
        return fail(error_kind::invalid_request, "the path must be /v1/services/SERVICE/PATH");
    }
    const std::string rest = request.path.substr(k_prefix.size());
    const auto slash = rest.find('/');
    service_call_request read;
    call_message& call = read.call;
    call.service = rest.substr(0, slash);
    const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    read.decoded_path = url_decode(path);
    call.path = request.query_text.empty() ? path : path + "?" + request.query_text;
    call.method = upper_case(request.method);
    call.organisation = header(request, "x-organisation");
    call.content_type = header(request, "content-type");
    call.body = request.body;
    if (call.organisation.empty() || call.organisation.size() > k_max_name_bytes) {
        return fail(error_kind::invalid_request, "the header X-Organisation must name an organisation");
    }
    read.idempotency_key = header(request, "idempotency-key");
    if (read.idempotency_key.size() > k_max_key_bytes) {
        return fail(error_kind::invalid_request,
                    "Idempotency-Key must have at most " + std::to_string(k_max_key_bytes) + " bytes");
    }
    const auto wait = read_deadline(header(request, "x-deadline-ms"));
    if (!wait) {
        return fail(error_kind::invalid_request,
                    "X-Deadline-Ms must be between 1 and " + std::to_string(k_max_deadline_ms));
    }
    call.deadline = now + *wait;
    return read;
}

std::vector<http_route> service_caller_routes(service_caller& caller) {
    return {{"*", "/v1/services/:service/*",
             [&caller](const http_request& request) { return handle_call(caller, request); }}};
}

} // namespace lovage
