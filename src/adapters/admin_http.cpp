#include "lovage/adapters/admin_http.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/move_codec.h"

#include <nlohmann/json.hpp>

namespace lovage {

namespace {

using nlohmann::json;

// A store value has at most 1 MB; JSON may escape each byte of it.
constexpr std::size_t k_max_config_bytes = 1U << 20U;
constexpr std::string_view k_metrics_type = "text/plain; version=0.0.4";

http_response json_response(const json& body) {
    http_response response;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

json describe_member(const member_info& member) {
    return {{"node", member.node},
            {"incarnation", member.incarnation},
            {"role", name_of(k_node_role_names, member.role)},
            {"zone", member.zone},
            {"region", member.region},
            {"http_address", member.http_address},
            {"peer_address", member.peer_address},
            {"state", name_of(k_member_state_names, member.state)}};
}

http_response status_response(const admin_sources& sources) {
    const fleet_view_ptr view = sources.view();
    json members = json::array();
    for (const auto& member : view->members) {
        members.push_back(describe_member(member));
    }
    json moves = json::array();
    for (const auto& record : view->moves) {
        moves.push_back(describe_move(record));
    }
    return json_response({{"node", sources.node},
                          {"ready", view->config != nullptr},
                          {"config_revision", view->config ? view->config->revision : 0},
                          {"is_leader", view->is_leader},
                          {"leader", view->leader},
                          {"members", std::move(members)},
                          {"moves", std::move(moves)},
                          {"vetoed_moves", view->vetoed_moves}});
}

http_response config_response(const admin_sources& sources) {
    const auto copy = sources.config();
    if (!copy) {
        return error_response({error_kind::not_ready, "no configuration is known yet"}, true);
    }
    return json_response({{"revision", copy->revision}, {"document", copy->document}});
}

http_response ready_response(const admin_sources& sources) {
    if (sources.view()->config == nullptr) {
        return error_response({error_kind::not_ready, "no configuration is known yet"}, true);
    }
    return json_response({{"ready", true}});
}

http_response metrics_response(const admin_sources& sources) {
    http_response response;
    response.content_type = k_metrics_type;
    response.body = sources.metrics();
    return response;
}

} // namespace

std::vector<http_route> admin_routes(const admin_sources& sources) {
    return {
        {"GET", "/healthz",
         [](const http_request&) {
             return json_response({{"healthy", true}});
         }},
        {"GET", "/readyz", [sources](const http_request&) { return ready_response(sources); }},
        {"GET", "/metrics", [sources](const http_request&) { return metrics_response(sources); }},
        {"GET", "/admin/status", [sources](const http_request&) { return status_response(sources); }},
        {"GET", "/internal/config", [sources](const http_request&) { return config_response(sources); }},
    };
}

result<config_copy> fetch_config(const std::string& http_address) {
    http_client_request request;
    request.url = "http://" + http_address + "/internal/config";
    const auto response = http_send(request);
    if (!response) {
        return tl::unexpected<error>(response.error());
    }
    if (response->status != 200) {
        return fail(error_kind::not_ready,
                    http_address + " answered with status " + std::to_string(response->status));
    }
    try {
        const json body = json::parse(response->body);
        config_copy copy{body.at("revision").get<config_revision>(), body.at("document").get<std::string>()};
        if (copy.revision == 0 || copy.document.size() > k_max_config_bytes) {
            return fail(error_kind::protocol_error, http_address + " sent no valid configuration");
        }
        return copy;
    } catch (const json::exception& failure) {
        return fail(error_kind::protocol_error, http_address + ": " + failure.what());
    }
}

} // namespace lovage
