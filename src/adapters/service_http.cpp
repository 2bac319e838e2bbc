#include "lovage/adapters/service_http.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/metrics.h"
#include "lovage/adapters/poller.h"
#include "lovage/adapters/settings.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <utility>

namespace lovage {

namespace {

constexpr milliseconds k_health_timeout{1'000};
constexpr milliseconds k_max_health_age{1'000};

bool is_same_header(const std::string& a, const std::string& b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string content_type_of(const http_client_response& response) {
    for (const auto& [name, value] : response.headers) {
        if (is_same_header(name, "Content-Type")) {
            return value;
        }
    }
    return {};
}

} // namespace

struct service_http::state {
    service_http_options options;
    metrics* counters = nullptr;
    std::atomic<time_point> last_answer{time_point{}};
    std::unique_ptr<poller> health_poller;

    void poll_health();
    result<service_reply> call(const call_message& call) const;
};

void service_http::state::poll_health() {
    http_client_request request;
    request.url = "http://" + options.address + "/healthz";
    request.timeout = k_health_timeout;
    const auto response = http_send(request);
    if (response && response->status == 200) {
        last_answer = monotonic_now();
    } else {
        counters->count("service_health_failures_total");
    }
}

result<service_reply> service_http::state::call(const call_message& call) const {
    const bool has_plain_path =
        !call.path.empty() && call.path.front() == '/' &&
        std::all_of(call.path.begin(), call.path.end(), [](unsigned char c) { return c > ' ' && c < 0x7F; });
    if (!has_plain_path) {
        return fail(error_kind::invalid_request, "the path of the call is not a URL path");
    }
    http_client_request request;
    request.method = call.method;
    request.url = "http://" + options.address + call.path;
    request.headers["Idempotency-Key"] = call.request.to_string();
    if (!call.content_type.empty()) {
        request.headers["Content-Type"] = call.content_type;
    }
    request.body = call.body;
    request.timeout = options.max_call_duration;
    request.max_body_bytes = k_max_service_reply_bytes;
    if (call.deadline != wall_time{}) {
        const auto left = call.deadline - wall_now();
        if (left <= milliseconds(0)) {
            return fail(error_kind::deadline_exceeded, "the deadline passed before the call was sent");
        }
        request.timeout = std::min<milliseconds>(left, options.max_call_duration);
    }
    auto response = http_send(request);
    if (!response) {
        return tl::unexpected<error>(std::move(response.error()));
    }
    return service_reply{static_cast<std::uint16_t>(response->status), content_type_of(*response),
                         std::move(response->body)};
}

service_http::service_http() = default;

result<std::unique_ptr<service_http>> service_http::create(const service_http_options& options,
                                                           metrics& counters) {
    if (const auto address = parse_endpoint(options.address); !address) {
        return tl::unexpected<error>(address.error());
    }
    std::unique_ptr<service_http> service(new service_http());
    service->m_state = std::make_shared<state>();
    auto* raw = service->m_state.get();
    raw->options = options;
    raw->counters = &counters;
    raw->health_poller = std::make_unique<poller>(options.health_interval, [raw] { raw->poll_health(); });
    return service;
}

service_http::~service_http() {
    m_state->health_poller.reset();
}

service_port service_http::port() const {
    service_port port;
    port.call = [self = m_state](const call_message& call) { return self->call(call); };
    port.is_up = [self = m_state] { return monotonic_now() - self->last_answer.load() < k_max_health_age; };
    return port;
}

} // namespace lovage
