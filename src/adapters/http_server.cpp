#include "lovage/adapters/http_server.h"

#include "lovage/adapters/log.h"
#include "lovage/adapters/settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cctype>
#include <microhttpd.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <ulfius.h>

namespace lovage {

namespace {

// Connections above the limit still get an error response; only those above the limit times this factor are
// dropped.
constexpr unsigned k_connection_headroom = 2;
constexpr std::size_t k_stream_block_bytes = 16'384;

// The descriptor of the connection that the calling thread serves; there is one thread per connection.
thread_local int t_connection = -1;

struct class_status {
    response_class answer;
    int status;
};

constexpr std::array<class_status, k_response_class_count> k_class_statuses{{
    {response_class::bad_request, 400},
    {response_class::not_found, 404},
    {response_class::conflict, 409},
    {response_class::too_large, 413},
    {response_class::too_many, 429},
    {response_class::unavailable, 503},
    {response_class::timed_out, 504},
    {response_class::gone, 410},
    {response_class::failed, 502},
    {response_class::unauthenticated, 401},
    {response_class::timed_out_unknown, 504},
}};

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::map<std::string, std::string> to_map(const struct _u_map* source, bool lower_names) {
    std::map<std::string, std::string> target;
    for (int i = 0; source != nullptr && i < source->nb_values; ++i) {
        // The lengths in the map count the terminating zero.
        std::string name = source->keys[i];
        target[lower_names ? lower_case(std::move(name)) : std::move(name)] =
            source->values[i] != nullptr ? source->values[i] : "";
    }
    return target;
}

http_request read_request(const struct _u_request* source) {
    http_request request;
    request.method = source->http_verb != nullptr ? source->http_verb : "";
    const std::string url = source->http_url != nullptr ? source->http_url : "";
    const auto question_mark = url.find('?');
    request.path = url.substr(0, question_mark);
    request.query_text = question_mark == std::string::npos ? "" : url.substr(question_mark + 1);
    request.headers = to_map(source->map_header, true);
    request.query = to_map(source->map_url, false);
    if (source->binary_body != nullptr) {
        request.body.assign(static_cast<const char*>(source->binary_body), source->binary_body_length);
    }
    return request;
}

// State of one streamed body, owned by the connection until ulfius frees it.
struct stream_body {
    http_stream stream;
    std::string pending;
};

ssize_t stream_next(void* user_data, uint64_t /*offset*/, char* out, size_t max) {
    auto* body = static_cast<stream_body*>(user_data);
    if (body->pending.empty()) {
        try {
            auto chunk = body->stream.next();
            if (!chunk) {
                return U_STREAM_END;
            }
            body->pending = std::move(*chunk);
        } catch (const std::exception& failure) {
            // An exception must not reach the C code of the caller. The stream is broken off.
            log_event(log_level::error, "stream_failed", {{"detail", failure.what()}});
            return U_STREAM_ERROR;
        }
    }
    const std::size_t count = std::min(max, body->pending.size());
    std::copy_n(body->pending.data(), count, out);
    body->pending.erase(0, count);
    return static_cast<ssize_t>(count);
}

void stream_free(void* user_data) {
    const std::unique_ptr<stream_body> body(static_cast<stream_body*>(user_data));
    if (body->stream.on_close) {
        body->stream.on_close();
    }
}

// Answers of services are passed on as they are, but the HTTP library closes the connection without an answer
// for another status than that of a final response.
bool is_final_status(int status) {
    return status >= 200 && status <= 999;
}

void write_response(http_response response, struct _u_response* target) {
    for (const auto& [name, value] : response.headers) {
        u_map_put(target->map_header, name.c_str(), value.c_str());
    }
    u_map_put(target->map_header, "Content-Type", response.content_type.c_str());
    target->status = response.status;
    if (response.stream) {
        auto body = std::make_unique<stream_body>();
        body->stream = std::move(*response.stream);
        ulfius_set_stream_response(target, static_cast<unsigned>(response.status), stream_next, stream_free,
                                   U_STREAM_SIZE_UNKNOWN, k_stream_block_bytes, body.release());
        return;
    }
    ulfius_set_binary_body_response(target, static_cast<unsigned>(response.status), response.body.data(),
                                    response.body.size());
}

} // namespace

struct http_server::state {
    struct route_entry {
        http_handler handler;
        state* owner;
    };

    http_server_options options;
    struct _u_instance instance {};
    sockaddr_in address{};
    std::vector<std::unique_ptr<route_entry>> routes;
    std::atomic<std::uint32_t> active{0};
    bool started = false;

    static void* begin_request(void* user_data, const char* uri, struct MHD_Connection* connection);
    static void end_request(void* user_data, struct MHD_Connection* connection, void** request,
                            enum MHD_RequestTerminationCode code);
    static int handle(const struct _u_request* request, struct _u_response* response, void* user_data);
    http_response respond(const http_request& request, const http_handler& handler);
};

void* http_server::state::begin_request(void* user_data, const char* uri, struct MHD_Connection* connection) {
    ++static_cast<state*>(user_data)->active;
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    t_connection = info != nullptr ? info->connect_fd : -1;
    return ulfius_uri_logger(nullptr, uri);
}

// Called once for each request that has begun.
void http_server::state::end_request(void* user_data, struct MHD_Connection* connection, void** request,
                                     enum MHD_RequestTerminationCode code) {
    mhd_request_completed(nullptr, connection, request, code);
    auto* owner = static_cast<state*>(user_data);
    --owner->active;
    owner->options.on_request_ended();
}

http_response http_server::state::respond(const http_request& request, const http_handler& handler) {
    if (request.body.size() > options.max_body_bytes) {
        return error_response({error_kind::request_too_large, "the body is larger than the limit"}, true);
    }
    if (active.load() > options.max_connections) {
        return error_response({error_kind::overloaded, "too many open connections"}, true);
    }
    return handler(request);
}

int http_server::state::handle(const struct _u_request* request, struct _u_response* response,
                               void* user_data) {
    auto* entry = static_cast<route_entry*>(user_data);
    state* owner = entry->owner;
    http_response answer;
    try {
        answer = owner->respond(read_request(request), entry->handler);
    } catch (const std::exception& failure) {
        answer = error_response({error_kind::internal, failure.what()}, false);
    }
    if (!is_final_status(answer.status)) {
        answer = error_response(
            {error_kind::outcome_unknown, "the status " + std::to_string(answer.status) + " is no final one"},
            false);
    }
    if (answer.close_without_response && t_connection >= 0) {
        ::shutdown(t_connection, SHUT_RDWR);
    }
    write_response(std::move(answer), response);
    return U_CALLBACK_COMPLETE;
}

http_server::http_server() : m_state(std::make_unique<state>()) {}

result<std::unique_ptr<http_server>> http_server::start(const http_server_options& options,
                                                        std::vector<http_route> routes) {
    static std::once_flag once;
    std::call_once(once, [] { ulfius_global_init(); });

    std::unique_ptr<http_server> server(new http_server());
    state& state = *server->m_state;
    state.options = options;
    state.address.sin_family = AF_INET;
    state.address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &state.address.sin_addr) != 1) {
        return fail(error_kind::invalid_settings, "not an IPv4 address: " + options.address);
    }
    if (ulfius_init_instance(&state.instance, options.port, &state.address, nullptr) != U_OK) {
        return fail(error_kind::invalid_settings, "cannot set up the HTTP server");
    }
    // One byte above the limit, to detect bodies that are too large.
    state.instance.max_post_body_size = options.max_body_bytes + 1;
    state.instance.timeout = options.idle_timeout_s;
    for (auto& route : routes) {
        state.routes.push_back(
            std::make_unique<state::route_entry>(state::route_entry{std::move(route.handler), &state}));
        ulfius_add_endpoint_by_val(&state.instance, route.method.c_str(), nullptr, route.path.c_str(), 0,
                                   &state::handle, state.routes.back().get());
    }
    // The default start function of ulfius uses select, which fails for descriptors of 1024 and above; poll
    // has no such limit.
    std::array<MHD_OptionItem, 5> mhd_options{{
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&state::end_request), &state},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&state::begin_request), &state},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options.max_connections) * k_connection_headroom,
         nullptr},
        {MHD_OPTION_SOCK_ADDR, 0, &state.address},
        {MHD_OPTION_END, 0, nullptr},
    }};
    constexpr unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    if (ulfius_start_framework_with_mhd_options(&state.instance, flags, mhd_options.data()) != U_OK) {
        ulfius_clean_instance(&state.instance);
        return fail(error_kind::invalid_settings,
                    "cannot listen at " + options.address + ":" + std::to_string(options.port));
    }
    state.started = true;
    return server;
}

http_server::~http_server() {
    if (m_state->started) {
        ulfius_stop_framework(&m_state->instance);
        ulfius_clean_instance(&m_state->instance);
    }
}

std::uint32_t http_server::open_requests() const {
    return m_state->active.load();
}

int http_status(error_kind kind) {
    return k_class_statuses.at(static_cast<std::size_t>(error_properties_of(kind).answer)).status;
}

http_response error_response(const error& failure, bool not_run) {
    const error_properties& properties = error_properties_of(failure.kind);
    const auto retry_after_ms = failure.retry_after.count() > 0
                                    ? static_cast<std::uint64_t>(failure.retry_after.count())
                                    : properties.retry_after_ms;
    nlohmann::json body;
    body["error"] = {{"kind", to_string(failure.kind)},
                     {"detail", failure.detail},
                     {"not_run", not_run && properties.can_guarantee_not_run},
                     {"retryable", properties.retryable},
                     {"retry_after_ms", retry_after_ms}};
    http_response response;
    response.status = http_status(failure.kind);
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    if (retry_after_ms > 0) {
        // HTTP counts Retry-After in whole seconds.
        response.headers["Retry-After"] = std::to_string((retry_after_ms + 999) / 1'000);
    }
    return response;
}

} // namespace lovage
