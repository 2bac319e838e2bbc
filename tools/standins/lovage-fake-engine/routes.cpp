#include "routes.h"

#include "standins/json_http.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

namespace lovage::standins {

namespace {

using nlohmann::json;

engine_request read_request(const json& body) {
    engine_request request;
    request.request = body.value("request", "");
    request.answer = body.value("answer", "");
    request.attempt = body.value("attempt", attempt_number{0});
    request.version.model = body.value("model", "");
    request.version.version = body.value("version", "");
    request.version.adapter = body.value("adapter", "");
    request.prompt = body.at("prompt").get<std::string>();
    request.accepted = body.value("accepted", std::vector<token>{});
    request.max_tokens = body.at("max_tokens").get<std::uint32_t>();
    request.seed = body.value("seed", std::uint64_t{0});
    request.route = body.value("route", "");
    const auto name = body.value("priority", std::string("standard"));
    const auto priority = value_of<lovage::priority>(k_priority_names, name);
    if (!priority) {
        throw std::invalid_argument("unknown priority " + name);
    }
    request.priority = *priority;
    return request;
}

http_response handle_generate(const std::shared_ptr<fake_engine>& engine, const http_request& incoming) {
    auto output = engine->generate(read_request(json::parse(incoming.body)));
    if (!output) {
        http_response refused = error_response(output.error(), output.error().kind != error_kind::internal);
        // The engine's interface prescribes these statuses; those of `error_response` are for the callers of
        // lovagefront.
        if (output.error().kind == error_kind::internal) {
            refused.status = 500;
        } else if (output.error().kind == error_kind::overloaded) {
            refused.status = 429;
        }
        return refused;
    }
    http_response response;
    response.content_type = "text/event-stream";
    const auto stream = *output;
    response.stream = http_stream{[engine, stream]() -> std::optional<std::string> {
                                      auto events = stream->next();
                                      engine->wait_while_paused();
                                      return events;
                                  },
                                  [engine, stream] { engine->cancel_stream(stream); }};
    return response;
}

http_response handle_cancel(const std::shared_ptr<fake_engine>& engine, const http_request& incoming) {
    const json body = json::parse(incoming.body);
    const std::size_t ended =
        engine->cancel(body.at("request").get<std::string>(), body.at("answer").get<std::string>(),
                       body.at("attempt").get<attempt_number>());
    return json_response({{"cancelled", ended}});
}

http_response handle_load(const std::shared_ptr<fake_engine>& engine, const http_request& /*incoming*/) {
    const auto delay = engine->faults().load_delay;
    if (delay.count() > 0) {
        std::this_thread::sleep_for(delay);
    }
    const load_snapshot load = engine->load();
    json loaded = json::array();
    for (const auto& version : load.loaded) {
        loaded.push_back(
            {{"model", version.model}, {"version", version.version}, {"adapter", version.adapter}});
    }
    return json_response({{"slots", engine->options().slots},
                          {"running", load.running},
                          {"queued", load.queued},
                          {"age_ms", engine->options().load_lag.count()},
                          {"role", load.role},
                          {"loaded", loaded}});
}

http_response handle_cache_events(const std::shared_ptr<fake_engine>& engine, const http_request& incoming) {
    std::uint64_t since = 0;
    if (const auto found = incoming.query.find("since"); found != incoming.query.end()) {
        const std::string& text = found->second;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), since);
        if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
            return invalid_response("since must be a number, 0 or more");
        }
    }
    const auto [events, next] = engine->cache_events(since);
    json list = json::array();
    for (const auto& event : events) {
        list.push_back({{"sequence", event.sequence},
                        {"prefix", answer_id{event.prefix}.to_string()},
                        {"kind", name_of(k_cache_change_names, event.change)}});
    }
    return json_response({{"next", next}, {"events", list}});
}

http_response handle_order(const std::shared_ptr<fake_engine>& engine, const http_request& incoming) {
    const json body = json::parse(incoming.body);
    order_message order;
    order.order_id = body.value("order_id", "");
    order.fencing = body.value("fencing", fencing_number{0});
    const auto kind = value_of<order_kind>(k_order_kind_names, body.at("kind").get<std::string>());
    if (!kind) {
        return invalid_response("unknown kind of order");
    }
    order.kind = *kind;
    order.version = {body.value("model", ""), body.value("version", ""), body.value("adapter", "")};
    order.role = body.value("role", "");
    const auto done = engine->order(order);
    if (!done) {
        return error_response(done.error(), true);
    }
    return json_response({{"order_id", order.order_id}, {"complete", *done}}, *done ? 200 : 202);
}

http_response handle_health(const std::shared_ptr<fake_engine>& /*engine*/,
                            const http_request& /*incoming*/) {
    return json_response({{"ok", true}});
}

http_response handle_stats(const std::shared_ptr<fake_engine>& engine, const http_request& /*incoming*/) {
    const engine_counts counts = engine->counts();
    return json_response({{"generations", counts.generations},
                          {"resumed", counts.resumed},
                          {"finished", counts.finished},
                          {"cancelled", counts.cancelled},
                          {"refused", counts.refused},
                          {"failed", counts.failed},
                          {"tokens", counts.tokens},
                          {"prefill_tokens", counts.prefill_tokens},
                          {"cached_tokens", counts.cached_tokens},
                          {"accepted_mismatches", counts.accepted_mismatches},
                          {"orders", counts.orders},
                          {"stale_orders", counts.stale_orders}});
}

http_response handle_faults(const std::shared_ptr<fake_engine>& engine, const http_request& incoming) {
    if (incoming.method == "GET") {
        return json_response(to_json(engine->faults()));
    }
    const auto changed = engine->change_faults(json::parse(incoming.body));
    return changed ? json_response(to_json(*changed)) : invalid_response(changed.error().detail);
}

using engine_handler = http_response (*)(const std::shared_ptr<fake_engine>&, const http_request&);

struct engine_endpoint {
    const char* method;
    const char* path;
    engine_handler handler;
    /// Whether the endpoint responds while the `pause` fault is active.
    bool answers_while_paused;
};

constexpr engine_endpoint k_endpoints[] = {
    {"POST", "/engine/generate", handle_generate, false},
    {"POST", "/engine/cancel", handle_cancel, false},
    {"GET", "/engine/load", handle_load, false},
    {"GET", "/engine/cache_events", handle_cache_events, false},
    {"POST", "/engine/orders", handle_order, false},
    {"GET", "/healthz", handle_health, false},
    {"GET", "/stats", handle_stats, true},
    {"GET", "/faults", handle_faults, true},
    {"POST", "/faults", handle_faults, true},
};

} // namespace

std::vector<http_route> engine_routes(const std::shared_ptr<fake_engine>& engine) {
    std::vector<http_route> routes;
    for (const auto& endpoint : k_endpoints) {
        routes.push_back({endpoint.method, endpoint.path,
                          with_error_response([engine, endpoint](const http_request& incoming) {
                              if (!endpoint.answers_while_paused) {
                                  engine->wait_while_paused();
                              }
                              return endpoint.handler(engine, incoming);
                          })});
    }
    return routes;
}

} // namespace lovage::standins
