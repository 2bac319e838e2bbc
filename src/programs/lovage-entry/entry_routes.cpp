#include "entry_routes.h"

#include "lovage/adapters/admin_http.h"
#include "lovage/adapters/caller_http.h"
#include "lovage/adapters/report_http.h"
#include "lovage/adapters/service_caller_http.h"

#include <utility>

namespace lovage {

namespace {

// The administration routes of an entry whose fleet is given by its settings instead of a store.
std::vector<http_route> static_routes(const entry_settings& settings,
                                      const std::shared_ptr<view_publisher>& views, metrics& counters) {
    admin_sources sources;
    sources.node = settings.node;
    sources.view = [views] { return views->current(); };
    sources.config = [] { return std::shared_ptr<const config_copy>(); };
    sources.metrics = [&counters] { return counters.to_text(); };
    return admin_routes(sources);
}

} // namespace

service_caller_ports caller_ports(entry_service& service, const peer_port& peers,
                                  const std::shared_ptr<view_publisher>& views, metrics& counters,
                                  const std::shared_ptr<claim_store>& claims) {
    service_caller_ports ports;
    ports.view = [views] { return views->current(); };
    ports.is_leaving = [&service] { return service.readiness() == entry_readiness::leaving; };
    ports.choose = [&service](const std::string& name, const std::set<node_id>& excluded) {
        return service.choose_service(name, excluded);
    };
    ports.send = [peers](const node_id& agent, const call_message& call) { return peers.send(agent, call); };
    // An entry without a store cannot create claims, so it refuses non-idempotent calls.
    ports.create_claim = [claims](const request_id& request, const claim_record& record,
                                  bool is_fresh_id) -> result<void> {
        return claims ? claims->create(request, record, is_fresh_id)
                      : fail(error_kind::store_unavailable, "this entry has no store");
    };
    ports.read_claim = [claims](const request_id& request) -> result<std::optional<claim_record>> {
        if (!claims) {
            return fail(error_kind::store_unavailable, "this entry has no store");
        }
        return claims->read(request);
    };
    ports.on_ended = [&service, views](const call_message& call, bool honoured) {
        service.record().add_ended_request(*views->current(), {call.service, call.organisation, honoured});
    };
    ports.count = [&counters](const std::string& name, double by) { counters.count(name, by); };
    return ports;
}

std::vector<http_route> entry_routes(const entry_settings& settings, entry_service& service,
                                     service_caller& caller, const std::shared_ptr<view_publisher>& views,
                                     metrics& counters, node_control* control) {
    auto routes = caller_routes(service);
    for (auto& route : service_caller_routes(caller)) {
        routes.push_back(std::move(route));
    }
    report_sources report;
    report.node = settings.node;
    report.view = [views] { return views->current(); };
    report.record = &service.record();
    report.counters = &counters;
    report.drain = [&service](const std::string& target) { return service.drain(target); };
    for (auto& route : report_routes(report)) {
        routes.push_back(std::move(route));
    }
    const auto refresh = [&counters, &service] {
        counters.set("live_answers", static_cast<double>(service.live_answers()));
        counters.set("waiting_for_target", static_cast<double>(service.waiting_for_target()));
        counters.set("finished_answer_bytes", static_cast<double>(service.finished_bytes()));
    };
    auto shared = control != nullptr ? control->routes(settings.node, refresh)
                                     : static_routes(settings, views, counters);
    for (auto& route : shared) {
        routes.push_back(std::move(route));
    }
    return routes;
}

} // namespace lovage
