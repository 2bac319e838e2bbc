#include "routes.h"

#include "lovage/adapters/url_codec.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

namespace lovage::fake_platform {

namespace {

using nlohmann::json;
using operation = http_response (*)(platform&, const http_request&);

constexpr std::uint32_t k_max_list = 10'000;
constexpr std::uint64_t k_max_ttl_ms = 7ULL * 24 * 3'600 * 1'000;
constexpr std::uint64_t k_max_wait_ms = 300'000;
constexpr double k_max_rate = 1e9;

http_response reply(int status, const json& body) {
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

http_response reply_error(int status, const std::string& detail) {
    return reply(status, {{"error", detail}});
}

// Responds to a write that took effect. With the `lose_answers` fault the connection closes without a
// response.
http_response reply_to_write(platform& platform, const json& body) {
    http_response response = reply(200, body);
    response.close_without_response = platform.consume_lost_answer();
    return response;
}

http_response reply_value(const store_value& value) {
    return reply(200, {{"value", value.value}, {"revision", value.revision}});
}

std::optional<std::uint64_t> read_number(const std::string& text, std::uint64_t high) {
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end || value > high) {
        return std::nullopt;
    }
    return value;
}

// Returns a number of the query; nothing if it is malformed or above `high`. If it is absent, returns
// `fallback`, which may be nothing as well.
std::optional<std::uint64_t> query_number(const http_request& request, const std::string& name,
                                          std::optional<std::uint64_t> fallback,
                                          std::uint64_t high = std::numeric_limits<std::uint64_t>::max()) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback : read_number(found->second, high);
}

// Returns the URL-decoded part of the path after the first `prefix` bytes. Keys may contain encoded slashes.
std::string path_suffix(const http_request& request, std::size_t prefix) {
    return request.path.size() > prefix ? url_decode(request.path.substr(prefix)) : std::string();
}

std::string key_of(const http_request& request) {
    return path_suffix(request, std::string("/kv/").size());
}

http_response handle_get(platform& platform, const http_request& request) {
    const auto value = platform.get(key_of(request));
    return value ? reply_value(*value) : reply_error(404, "no such key");
}

http_response handle_list(platform& platform, const http_request& request) {
    const auto limit = query_number(request, "limit", k_max_list, k_max_list);
    const auto prefix = request.query.find("prefix");
    if (!limit || prefix == request.query.end()) {
        return reply_error(400, "expected prefix=P&limit=N");
    }
    json items = json::array();
    for (const auto& [key, value] : platform.list(prefix->second, *limit)) {
        items.push_back({{"key", key}, {"value", value.value}, {"revision", value.revision}});
    }
    return reply(200, {{"items", items}});
}

bool is_utf8(const std::string& text) {
    try {
        static_cast<void>(json(text).dump());
        return true;
    } catch (const json::type_error&) {
        return false;
    }
}

http_response handle_put(platform& platform, const http_request& request) {
    const auto expected = query_number(request, "expected", std::nullopt);
    const auto lease = query_number(request, "lease", 0);
    if (!expected || !lease) {
        return reply_error(400, "expected=R is needed, lease=L is optional, both integers");
    }
    if (!is_utf8(request.body)) {
        return reply_error(400, "the value is not UTF-8");
    }
    std::uint64_t current_revision = 0;
    const auto written = platform.put(key_of(request), request.body, *expected, *lease, current_revision);
    if (!written) {
        return written.error().kind == error_kind::not_found ? reply_error(404, "no such lease")
                                                             : reply(409, {{"revision", current_revision}});
    }
    return reply_to_write(platform, {{"revision", *written}});
}

http_response handle_remove(platform& platform, const http_request& request) {
    const auto expected = query_number(request, "expected", std::nullopt);
    if (!expected) {
        return reply_error(400, "expected=R is needed");
    }
    std::uint64_t current_revision = 0;
    if (!platform.remove(key_of(request), *expected, current_revision)) {
        return reply(409, {{"revision", current_revision}});
    }
    return reply_to_write(platform, json::object());
}

http_response handle_grant(platform& platform, const http_request& request) {
    const auto ttl = query_number(request, "ttl_ms", std::nullopt, k_max_ttl_ms);
    if (!ttl || *ttl == 0) {
        return reply_error(400, "ttl_ms must be an integer above 0 and at most 7 days");
    }
    return reply_to_write(platform, {{"lease", platform.grant(milliseconds(*ttl))}});
}

std::optional<std::uint64_t> lease_of(const http_request& request) {
    const std::string rest = path_suffix(request, std::string("/lease/").size());
    return read_number(rest.substr(0, rest.find('/')), std::numeric_limits<std::uint64_t>::max());
}

http_response handle_renew(platform& platform, const http_request& request) {
    const auto lease = lease_of(request);
    return lease && platform.renew(*lease) ? reply_to_write(platform, json::object())
                                           : reply_error(404, "no such lease");
}

http_response handle_revoke(platform& platform, const http_request& request) {
    const auto lease = lease_of(request);
    return lease && platform.revoke(*lease) ? reply_to_write(platform, json::object())
                                            : reply_error(404, "no such lease");
}

http_response handle_watch(platform& platform, const http_request& request) {
    const auto after = query_number(request, "after", 0);
    const auto wait = query_number(request, "wait_ms", 0, k_max_wait_ms);
    if (!after || !wait) {
        return reply_error(400, "after and wait_ms must be integers, wait_ms at most 300000");
    }
    const auto watched =
        platform.watch(path_suffix(request, std::string("/watch/").size()), *after, milliseconds(*wait));
    switch (watched.end) {
    case watch_end::changed:
        return reply_value(watched.value);
    case watch_end::removed:
        return reply_error(404, "no such key");
    case watch_end::history_lost:
        return reply_error(410, "the store does not have this revision");
    case watch_end::waited:
        break;
    }
    http_response response;
    response.status = 204;
    return response;
}

http_response handle_vms(platform& platform, const http_request& /*request*/) {
    http_response response;
    response.body = platform.vms();
    return response;
}

http_response handle_weights(platform& platform, const http_request& /*request*/) {
    const auto waited = platform.load_weights();
    return reply(200, {{"waited_ms", waited.count()}});
}

bool is_vm(const json& item) {
    static constexpr std::array<const char*, 4> k_text_fields{"name", "address", "zone", "role"};
    const bool has_text_fields =
        std::all_of(k_text_fields.begin(), k_text_fields.end(), [&](const char* field) {
            return item.is_object() && item.contains(field) && item[field].is_string();
        });
    return has_text_fields && item.contains("state") &&
           (item["state"] == "live" || item["state"] == "leaving");
}

http_response handle_set_vms(platform& platform, const http_request& request) {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array() ||
        !std::all_of(body["vms"].begin(), body["vms"].end(), is_vm)) {
        return reply_error(400, "expected {vms: [{name, address, zone, role, state}]}");
    }
    platform.set_vms(json{{"vms", body["vms"]}}.dump());
    return reply(200, json::object());
}

bool read_rate(const json& value, double& rate) {
    rate = value.is_number() ? value.get<double>() : -1;
    return rate >= 0 && rate <= k_max_rate;
}

struct fault_field {
    const char* name;
    bool (*read)(const json&, fault_settings&);
};

const std::array<fault_field, 5> k_fault_fields{{
    {"down",
     [](const json& value, fault_settings& faults) {
         faults.down = value == true;
         return value.is_boolean();
     }},
    {"slow_ms",
     [](const json& value, fault_settings& faults) {
         faults.slow = milliseconds(value.is_number_unsigned() ? value.get<std::uint64_t>() : 0);
         return value.is_number_unsigned() && value.get<std::uint64_t>() <= k_max_wait_ms;
     }},
    {"lose_answers",
     [](const json& value, fault_settings& faults) {
         const std::int64_t all = value == true ? -1 : 0;
         faults.lose_answers = value.is_number_integer() ? value.get<std::int64_t>() : all;
         return value.is_boolean() || value.is_number_integer();
     }},
    {"read_rate",
     [](const json& value, fault_settings& faults) { return read_rate(value, faults.read_rate); }},
    {"write_rate",
     [](const json& value, fault_settings& faults) { return read_rate(value, faults.write_rate); }},
}};

http_response handle_faults(platform& platform, const http_request& request) {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return reply_error(400, "expected a JSON object");
    }
    fault_settings faults = platform.faults();
    for (const auto& [name, value] : body.items()) {
        const auto field =
            std::find_if(k_fault_fields.begin(), k_fault_fields.end(),
                         [&name = name](const fault_field& known) { return known.name == name; });
        if (field == k_fault_fields.end() || !field->read(value, faults)) {
            return reply_error(400, "unknown field or wrong value: " + name);
        }
    }
    platform.set_faults(faults);
    return reply(200, {{"down", faults.down},
                       {"slow_ms", faults.slow.count()},
                       {"lose_answers", faults.lose_answers},
                       {"read_rate", faults.read_rate},
                       {"write_rate", faults.write_rate}});
}

http_response handle_copy(platform& platform, const http_request& /*request*/) {
    platform.take_copy();
    return reply(200, json::object());
}

http_response handle_restore(platform& platform, const http_request& /*request*/) {
    return platform.restore_copy() ? reply(200, {{"era", platform.era()}}) : reply_error(404, "no copy");
}

template <std::size_t Count>
json counts_by_name(const enum_names<Count>& names, const std::array<std::uint64_t, Count>& values) {
    json object = json::object();
    for (std::size_t i = 0; i < Count; ++i) {
        object[std::string(names.at(i))] = values.at(i);
    }
    return object;
}

http_response handle_counts(platform& platform, const http_request& /*request*/) {
    const call_counts counts = platform.counts();
    json refused = counts_by_name(k_refusal_names, counts.refused);
    refused.erase(std::string(k_refusal_names.front()));
    return reply(200, {{"calls", counts_by_name(k_call_kind_names, counts.by_kind)},
                       {"classes", counts_by_name(k_call_class_names, counts.by_class)},
                       {"refused", refused},
                       {"lost_answers", counts.lost_answers},
                       {"pending_watches", counts.pending_watches}});
}

http_response handle_health(platform& /*platform*/, const http_request& /*request*/) {
    return reply(200, {{"status", "ok"}});
}

struct counted_route {
    const char* method;
    const char* path;
    call_kind kind;
    operation handler;
};

// Routes of the platform's interface. They are counted, rate-limited and subject to faults, unlike those that
// only tests use.
constexpr std::array<counted_route, 10> k_counted_routes{{
    {"GET", "/kv", call_kind::list, handle_list},
    {"GET", "/kv/*", call_kind::get, handle_get},
    {"PUT", "/kv/*", call_kind::put, handle_put},
    {"DELETE", "/kv/*", call_kind::remove, handle_remove},
    {"POST", "/lease", call_kind::lease_grant, handle_grant},
    {"POST", "/lease/:id/renew", call_kind::lease_renew, handle_renew},
    {"DELETE", "/lease/:id", call_kind::lease_revoke, handle_revoke},
    {"GET", "/watch/*", call_kind::watch, handle_watch},
    {"GET", "/vms", call_kind::vms, handle_vms},
    {"GET", "/weights/:model/:version", call_kind::weights, handle_weights},
}};

struct test_route {
    const char* method;
    const char* path;
    operation handler;
};

constexpr std::array<test_route, 6> k_test_routes{{
    {"POST", "/vms", handle_set_vms},
    {"POST", "/faults", handle_faults},
    {"POST", "/copy", handle_copy},
    {"POST", "/restore", handle_restore},
    {"GET", "/counts", handle_counts},
    {"GET", "/healthz", handle_health},
}};

http_response admit_and_handle(platform& platform, const counted_route& route, const http_request& request) {
    switch (platform.admit(route.kind)) {
    case refusal::down:
        return reply_error(503, "the platform is down");
    case refusal::rate:
        return reply_error(429, "too many calls");
    case refusal::none:
        break;
    }
    return route.handler(platform, request);
}

http_response answer(platform& platform, const counted_route& route, const http_request& request) {
    const auto era = platform.era();
    auto response = admit_and_handle(platform, route, request);
    response.headers["Store-Era"] = std::to_string(era);
    // A call that was in progress during a restoration gets no answer, since it may have seen either state.
    response.close_without_response = response.close_without_response || platform.era() != era;
    return response;
}

} // namespace

std::vector<http_route> make_routes(platform& platform) {
    std::vector<http_route> routes;
    routes.reserve(k_counted_routes.size() + k_test_routes.size());
    for (const auto& route : k_counted_routes) {
        routes.push_back({route.method, route.path, [&platform, &route](const http_request& request) {
                              return answer(platform, route, request);
                          }});
    }
    for (const auto& route : k_test_routes) {
        routes.push_back({route.method, route.path, [&platform, &route](const http_request& request) {
                              return route.handler(platform, request);
                          }});
    }
    return routes;
}

} // namespace lovage::fake_platform
