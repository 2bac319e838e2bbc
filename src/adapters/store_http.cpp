#include "lovage/adapters/store_http.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/store_status.h"
#include "lovage/adapters/url_codec.h"
#include "lovage/core/store_revision.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace lovage {

namespace {

using nlohmann::json;

constexpr const char* k_era_header = "store-era";

struct store_client {
    store_client(store_http_options client_options, store_call_hook hook)
        : options(std::move(client_options)), on_call(std::move(hook)) {}

    const store_http_options options;
    const store_call_hook on_call;
    /// The era of the last answer. Eras only rise, so a late answer does not lower it.
    std::atomic<std::uint64_t> era{0};
};
using client_ptr = std::shared_ptr<store_client>;

struct store_answer {
    http_client_response http;
    std::uint64_t era = 0;
};

// Errors for the HTTP statuses that the store's API defines.
constexpr std::array<store_status, 6> k_status_errors{{
    {404, error_kind::not_found, "no such key or lease"},
    {409, error_kind::revision_conflict, "the key has another revision"},
    {410, error_kind::history_lost, "the store does not have this revision"},
    {413, error_kind::request_too_large, "the value is above the store's limit"},
    {429, error_kind::store_unavailable, "the store's rate limit is exceeded; nothing was written"},
    {503, error_kind::store_unavailable, "the store is down; nothing was written"},
}};

// Returns the era that the answer states, or the last known one, and records it.
std::uint64_t observe_era(store_client& client, const http_client_response& answer) {
    const auto stated = std::find_if(answer.headers.begin(), answer.headers.end(), [](const auto& header) {
        return strcasecmp(header.first.c_str(), k_era_header) == 0;
    });
    std::uint64_t known = client.era.load();
    std::uint64_t era = 0;
    if (stated == answer.headers.end() ||
        std::from_chars(stated->second.data(), stated->second.data() + stated->second.size(), era).ec !=
            std::errc()) {
        return known;
    }
    while (known < era && !client.era.compare_exchange_weak(known, era)) {
    }
    return era;
}

// Sends one call; the answer has status 200 or 204.
result<store_answer> exchange(store_client& client, const std::string& method, const std::string& path,
                              const std::string& body, milliseconds wait) {
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
    const auto era = observe_era(client, *answer);
    if (answer->status != 200 && answer->status != 204) {
        return tl::unexpected<error>(store_error_of(k_status_errors, answer->status));
    }
    return store_answer{std::move(*answer), era};
}

result<store_answer> counted_exchange(store_client& client, store_call call, const std::string& method,
                                      const std::string& path, const std::string& body = "",
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

// Reads a revision or a lease.
result<std::uint64_t> read_number(const store_answer& answer, const char* field) {
    const json body = json::parse(answer.http.body, nullptr, false);
    if (!body.is_object() || !body.contains(field) || !body[field].is_number_unsigned()) {
        return malformed_answer();
    }
    return make_revision(answer.era, body[field].get<std::uint64_t>());
}

bool is_value(const json& item) {
    return item.is_object() && item.contains("value") && item["value"].is_string() &&
           item.contains("revision") && item["revision"].is_number_unsigned();
}

store_value to_value(const json& item, std::uint64_t era) {
    return {item["value"].get<std::string>(), make_revision(era, item["revision"].get<std::uint64_t>())};
}

result<std::optional<store_value>> read_value(const store_answer& answer) {
    const json body = json::parse(answer.http.body, nullptr, false);
    if (!is_value(body)) {
        return malformed_answer();
    }
    return to_value(body, answer.era);
}

std::string kv_path(const std::string& key) {
    return "/kv/" + url_encode(key);
}

result<std::optional<store_value>> get(store_client& client, const std::string& key) {
    const auto answer = counted_exchange(client, store_call::get, "GET", kv_path(key));
    if (!answer && answer.error().kind == error_kind::not_found) {
        return std::nullopt;
    }
    return answer.and_then(read_value);
}

result<std::vector<std::pair<std::string, store_value>>> list(store_client& client, const std::string& prefix,
                                                              std::uint32_t limit) {
    const auto answer =
        counted_exchange(client, store_call::list, "GET",
                         "/kv?prefix=" + url_encode(prefix) + "&limit=" + std::to_string(limit));
    if (!answer) {
        return tl::unexpected<error>(answer.error());
    }
    const json body = json::parse(answer->http.body, nullptr, false);
    if (!body.is_object() || !body.contains("items") || !body["items"].is_array()) {
        return malformed_answer();
    }
    std::vector<std::pair<std::string, store_value>> items;
    for (const auto& item : body["items"]) {
        if (!is_value(item) || !item.contains("key") || !item["key"].is_string()) {
            return malformed_answer();
        }
        items.emplace_back(item["key"].get<std::string>(), to_value(item, answer->era));
    }
    return items;
}

// Whether a revision or lease belongs to a history that the store has lost. The store may have given its
// number to something else since.
bool is_lost(const store_client& client, std::uint64_t revision) {
    return revision != 0 && era_of(revision) < client.era.load();
}

result<void> without_body(const result<store_answer>& answer) {
    return answer.map([](const auto& /*received*/) {});
}

result<void> remove(store_client& client, const std::string& key, std::uint64_t expected) {
    if (is_lost(client, expected)) {
        return fail(error_kind::revision_conflict, "the store has lost the expected revision");
    }
    return without_body(counted_exchange(client, store_call::remove, "DELETE",
                                         kv_path(key) + "?expected=" + std::to_string(number_of(expected))));
}

result<std::uint64_t> compare_and_swap(store_client& client, const std::string& key, const std::string& value,
                                       std::uint64_t expected, lease_id lease) {
    if (is_lost(client, expected)) {
        return fail(error_kind::revision_conflict, "the store has lost the expected revision");
    }
    if (is_lost(client, lease)) {
        return fail(error_kind::not_found, "the store has lost the lease");
    }
    std::string path = kv_path(key) + "?expected=" + std::to_string(number_of(expected));
    if (lease != 0) {
        path += "&lease=" + std::to_string(number_of(lease));
    }
    const auto answer = counted_exchange(client, store_call::compare_and_swap, "PUT", path, value);
    auto written = answer.and_then([](const auto& received) { return read_number(received, "revision"); });
    // This answer may be the first after a restoration, with a number of the lost history that matched.
    if (written && lease != 0 && era_of(lease) != answer->era) {
        const auto removed = remove(client, key, *written);
        return fail(removed ? error_kind::not_found : error_kind::store_unavailable,
                    "the store has lost the lease");
    }
    if (written && expected != 0 && era_of(expected) != answer->era) {
        return fail(error_kind::store_unavailable, "the write replaced a value of a restored store");
    }
    return written;
}

result<lease_id> grant_lease(store_client& client, milliseconds ttl) {
    return counted_exchange(client, store_call::grant_lease, "POST",
                            "/lease?ttl_ms=" + std::to_string(ttl.count()))
        .and_then([](const auto& received) { return read_number(received, "lease"); });
}

// Sends a call about a lease, unless its number may be that of another process's lease by now.
result<void> call_for_lease(store_client& client, store_call call, const std::string& method, lease_id lease,
                            const std::string& suffix) {
    if (is_lost(client, lease)) {
        return fail(error_kind::not_found, "the store has lost the lease");
    }
    const auto answer =
        counted_exchange(client, call, method, "/lease/" + std::to_string(number_of(lease)) + suffix);
    if (answer && era_of(lease) != answer->era) {
        return fail(error_kind::not_found, "the store has lost the lease");
    }
    return without_body(answer);
}

// Reads the key for a watch from a revision that the store does not have.
result<std::optional<store_value>> read_anew(store_client& client, const std::string& key) {
    auto present = get(client, key);
    if (present && !*present) {
        return store_value{};
    }
    return present;
}

result<std::optional<store_value>> watch(store_client& client, const std::string& key, std::uint64_t after,
                                         milliseconds wait) {
    if (is_lost(client, after)) {
        return read_anew(client, key);
    }
    const auto answer =
        counted_exchange(client, store_call::watch, "GET",
                         "/watch/" + url_encode(key) + "?after=" + std::to_string(number_of(after)) +
                             "&wait_ms=" + std::to_string(wait.count()),
                         "", wait);
    if (!answer && answer.error().kind == error_kind::not_found) {
        return store_value{};
    }
    // A watch that waited or failed may have done so in a restored store, which has other changes to tell.
    const bool is_read_again = answer ? answer->http.status == 204 && is_lost(client, after)
                                      : answer.error().kind == error_kind::history_lost;
    if (is_read_again) {
        return read_anew(client, key);
    }
    if (!answer) {
        return tl::unexpected<error>(answer.error());
    }
    if (answer->http.status == 204) {
        return std::nullopt;
    }
    return read_value(*answer);
}

} // namespace

store_port make_store_http(const store_http_options& options, store_call_hook on_call) {
    const auto client = std::make_shared<store_client>(options, std::move(on_call));
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
    port.renew_lease = [client](lease_id lease) {
        return call_for_lease(*client, store_call::renew_lease, "POST", lease, "/renew");
    };
    port.revoke_lease = [client](lease_id lease) {
        return call_for_lease(*client, store_call::revoke_lease, "DELETE", lease, "");
    };
    port.watch = [client](const auto& key, std::uint64_t after, milliseconds wait) {
        return watch(*client, key, after, wait);
    };
    port.era = [client] { return client->era.load(); };
    return port;
}

} // namespace lovage
