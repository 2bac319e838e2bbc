#include "lovage/adapters/store_http.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/url_codec.h"

#include <algorithm>
#include <array>
#include <memory>
#include <nlohmann/json.hpp>

namespace lovage {

namespace {

using nlohmann::json;

struct store_client {
    store_http_options options;
    store_call_hook on_call;
};
using client_ptr = std::shared_ptr<const store_client>;

struct status_error {
    int status;
    error_kind kind;
    const char* detail;
};

constexpr std::array<status_error, 5> k_status_errors{{
    {404, error_kind::not_found, "no such key or lease"},
    {409, error_kind::revision_conflict, "the key has another revision"},
    {413, error_kind::request_too_large, "the value is above the store's limit"},
    {429, error_kind::store_unavailable, "the store's rate limit is exceeded; nothing was written"},
    {503, error_kind::store_unavailable, "the store is down; nothing was written"},
}};

error error_of(int status) {
    const auto* known = std::find_if(k_status_errors.begin(), k_status_errors.end(),
                                     [status](const status_error& entry) { return entry.status == status; });
    if (known != k_status_errors.end()) {
        return {known->kind, known->detail, milliseconds(0)};
    }
    // With other statuses above 499 it is unknown whether a write took effect.
    const auto kind = status >= 500 ? error_kind::store_unavailable : error_kind::protocol_error;
    return {kind, "the store answered with status " + std::to_string(status), milliseconds(0)};
}

// Sends one call; the answer has status 200 or 204.
result<http_client_response> exchange(const store_client& client, const std::string& method,
                                      const std::string& path, const std::string& body, milliseconds wait) {
    http_client_request request;
    request.method = method;
    request.url = "http://" + client.options.address + path;
    request.body = body;
    request.connect_timeout = client.options.connect_timeout;
    request.timeout = client.options.timeout + wait;
    auto answer = http_send(request);
    if (!answer) {
        const bool sent = answer.error().kind != error_kind::peer_unreachable;
        return fail(error_kind::store_unavailable,
                    answer.error().detail +
                        (sent ? "; a write may have taken effect" : "; nothing was sent"));
    }
    if (answer->status != 200 && answer->status != 204) {
        return tl::unexpected<error>(error_of(answer->status));
    }
    return answer;
}

result<http_client_response> counted_exchange(const store_client& client, store_call call,
                                              const std::string& method, const std::string& path,
                                              const std::string& body = "",
                                              milliseconds wait = milliseconds(0)) {
    auto answer = exchange(client, method, path, body, wait);
    if (client.on_call) {
        client.on_call(name_of(k_store_call_names, call), answer ? "ok" : to_string(answer.error().kind));
    }
    return answer;
}

tl::unexpected<error> malformed_answer() {
    return fail(error_kind::protocol_error, "the store's answer is malformed");
}

result<std::uint64_t> read_number(const http_client_response& answer, const char* field) {
    const json body = json::parse(answer.body, nullptr, false);
    if (!body.is_object() || !body.contains(field) || !body[field].is_number_unsigned()) {
        return malformed_answer();
    }
    return body[field].get<std::uint64_t>();
}

bool is_value(const json& item) {
    return item.is_object() && item.contains("value") && item["value"].is_string() &&
           item.contains("revision") && item["revision"].is_number_unsigned();
}

store_value to_value(const json& item) {
    return {item["value"].get<std::string>(), item["revision"].get<std::uint64_t>()};
}

result<std::optional<store_value>> read_value(const http_client_response& answer) {
    const json body = json::parse(answer.body, nullptr, false);
    if (!is_value(body)) {
        return malformed_answer();
    }
    return to_value(body);
}

std::string kv_path(const std::string& key) {
    return "/kv/" + url_encode(key);
}

result<std::optional<store_value>> get(const store_client& client, const std::string& key) {
    const auto answer = counted_exchange(client, store_call::get, "GET", kv_path(key));
    if (!answer && answer.error().kind == error_kind::not_found) {
        return std::nullopt;
    }
    return answer.and_then(read_value);
}

result<std::vector<std::pair<std::string, store_value>>>
list(const store_client& client, const std::string& prefix, std::uint32_t limit) {
    const auto answer =
        counted_exchange(client, store_call::list, "GET",
                         "/kv?prefix=" + url_encode(prefix) + "&limit=" + std::to_string(limit));
    if (!answer) {
        return tl::unexpected<error>(answer.error());
    }
    const json body = json::parse(answer->body, nullptr, false);
    if (!body.is_object() || !body.contains("items") || !body["items"].is_array()) {
        return malformed_answer();
    }
    std::vector<std::pair<std::string, store_value>> items;
    for (const auto& item : body["items"]) {
        if (!is_value(item) || !item.contains("key") || !item["key"].is_string()) {
            return malformed_answer();
        }
        items.emplace_back(item["key"].get<std::string>(), to_value(item));
    }
    return items;
}

result<std::uint64_t> compare_and_swap(const store_client& client, const std::string& key,
                                       const std::string& value, std::uint64_t expected, lease_id lease) {
    std::string path = kv_path(key) + "?expected=" + std::to_string(expected);
    if (lease != 0) {
        path += "&lease=" + std::to_string(lease);
    }
    const auto answer = counted_exchange(client, store_call::compare_and_swap, "PUT", path, value);
    return answer.and_then([](const auto& received) { return read_number(received, "revision"); });
}

result<void> without_body(const result<http_client_response>& answer) {
    return answer.map([](const auto& /*received*/) {});
}

result<void> remove(const store_client& client, const std::string& key, std::uint64_t expected) {
    return without_body(counted_exchange(client, store_call::remove, "DELETE",
                                         kv_path(key) + "?expected=" + std::to_string(expected)));
}

result<lease_id> grant_lease(const store_client& client, milliseconds ttl) {
    return counted_exchange(client, store_call::grant_lease, "POST",
                            "/lease?ttl_ms=" + std::to_string(ttl.count()))
        .and_then([](const auto& received) { return read_number(received, "lease"); });
}

result<void> renew_lease(const store_client& client, lease_id lease) {
    return without_body(counted_exchange(client, store_call::renew_lease, "POST",
                                         "/lease/" + std::to_string(lease) + "/renew"));
}

result<void> revoke_lease(const store_client& client, lease_id lease) {
    return without_body(
        counted_exchange(client, store_call::revoke_lease, "DELETE", "/lease/" + std::to_string(lease)));
}

result<std::optional<store_value>> watch(const store_client& client, const std::string& key,
                                         std::uint64_t after, milliseconds wait) {
    const auto answer = counted_exchange(client, store_call::watch, "GET",
                                         "/watch/" + url_encode(key) + "?after=" + std::to_string(after) +
                                             "&wait_ms=" + std::to_string(wait.count()),
                                         "", wait);
    if (!answer) {
        if (answer.error().kind == error_kind::not_found) {
            return store_value{};
        }
        return tl::unexpected<error>(answer.error());
    }
    if (answer->status == 204) {
        return std::nullopt;
    }
    return read_value(*answer);
}

} // namespace

store_port make_store_http(const store_http_options& options, store_call_hook on_call) {
    const auto client = std::make_shared<const store_client>(store_client{options, std::move(on_call)});
    store_port port;
    port.get = [client](const auto& key) { return get(*client, key); };
    port.list = [client](const auto& prefix, std::uint32_t limit) { return list(*client, prefix, limit); };
    port.compare_and_swap = [client](const auto& key, const auto& value, std::uint64_t expected,
                                     lease_id lease) {
        return compare_and_swap(*client, key, value, expected, lease);
    };
    port.remove = [client](const auto& key, std::uint64_t expected) {
        return remove(*client, key, expected);
    };
    port.grant_lease = [client](milliseconds ttl) { return grant_lease(*client, ttl); };
    port.renew_lease = [client](lease_id lease) { return renew_lease(*client, lease); };
    port.revoke_lease = [client](lease_id lease) { return revoke_lease(*client, lease); };
    port.watch = [client](const auto& key, std::uint64_t after, milliseconds wait) {
        return watch(*client, key, after, wait);
    };
    return port;
}

} // namespace lovage
