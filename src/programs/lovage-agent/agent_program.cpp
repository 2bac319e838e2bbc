#include "agent_program.h"

#include "agent_settings.h"

#include "lovage/adapters/engine_http.h"
#include "lovage/adapters/http_server.h"
#include "lovage/adapters/log.h"
#include "lovage/adapters/metrics.h"
#include "lovage/adapters/node_control.h"
#include "lovage/adapters/peer_endpoint.h"
#include "lovage/adapters/program.h"
#include "lovage/adapters/service_http.h"
#include "lovage/adapters/settings.h"
#include "lovage/control/view_publisher.h"
#include "lovage/traffic/agent.h"

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace lovage {

namespace {

using json = nlohmann::json;

// For an agent without a store: publishes the members and the leader's term that the settings give.
void publish_static_view(const agent_settings& settings, view_publisher& publisher, agent_ports& ports) {
    auto view = std::make_shared<fleet_view>();
    view->sequence = 1;
    view->config = std::make_shared<fleet_config>();
    view->members = settings.static_members;
    publisher.publish(std::move(view));
    ports.current_term = [term = settings.static_term] { return std::optional<fencing_number>(term); };
}

node_control_options control_options_of(const agent_settings& settings) {
    node_control_options options;
    options.store_address = settings.store_address;
    member_info& self = options.control.self;
    self.node = settings.self.node;
    self.incarnation = settings.self.incarnation;
    self.role = node_role::agent;
    self.zone = settings.self.zone;
    self.region = settings.self.region;
    self.peer_address = settings.peer_address;
    self.http_address = settings.http_address;
    self.gossip_address = settings.gossip_address;
    options.control.seeds = settings.gossip_seeds;
    options.control.random_seed = settings.self.incarnation;
    return options;
}

// Connects to the entries that are known at start; other entries connect to this agent.
void connect_entries(const fleet_view& view, const peer_port& peer) {
    for (const auto& member : view.members) {
        if (member.role == node_role::entry && !member.peer_address.empty()) {
            peer.connect(member.node, member.peer_address);
        }
    }
}

std::string status_text(const agent_settings& settings, const agent& agent, const fleet_view& view) {
    const load_report_message report = agent.report();
    json loaded = json::array();
    for (const auto& version : report.loaded) {
        loaded.push_back(
            {{"model", version.model}, {"version", version.version}, {"adapter", version.adapter}});
    }
    const json status{{"node", settings.self.node},
                      {"ready", view.config != nullptr},
                      {"config_revision", view.config ? view.config->revision : 0},
                      {"incarnation", settings.self.incarnation},
                      {"zone", settings.self.zone},
                      {"region", settings.self.region},
                      {"role", "agent"},
                      {"target", report.target},
                      {"kind", name_of(k_target_kind_names, settings.agent.kind)},
                      {"target_up", report.engine_up},
                      {"draining", report.draining},
                      {"slots", report.slots},
                      {"running", report.running},
                      {"queued", report.queued},
                      {"services", report.services},
                      {"loaded", loaded},
                      {"tokens_total", report.tokens_total},
                      {"highest_fencing", report.highest_fencing},
                      {"entries", agent.connected_entries()}};
    return status.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

// Updates the gauges from the agent's current load report.
void refresh_gauges(const agent& agent, metrics& counters) {
    const load_report_message report = agent.report();
    counters.set("target_up", report.engine_up ? 1.0 : 0.0);
    counters.set("draining", report.draining ? 1.0 : 0.0);
    counters.set("slots", report.slots);
    counters.set("running", report.running);
    counters.set("queued", report.queued);
    counters.set("generated_tokens", static_cast<double>(report.tokens_total));
    counters.set("connected_entries", static_cast<double>(agent.connected_entries().size()));
}

std::vector<http_route> make_routes(const agent_settings& settings, const agent& agent,
                                    const view_publisher& publisher, metrics& counters) {
    const auto text = [](std::string body, const char* type) {
        http_response response;
        response.content_type = type;
        response.body = std::move(body);
        return response;
    };
    return {
        {"GET", "/healthz", [text](const http_request&) { return text("ok\n", "text/plain"); }},
        {"GET", "/readyz",
         [text, &publisher](const http_request&) {
             if (publisher.current()->config == nullptr) {
                 return error_response({error_kind::not_ready, "no configuration is known"}, true);
             }
             return text("ok\n", "text/plain");
         }},
        {"GET", "/metrics",
         [text, &agent, &counters](const http_request&) {
             refresh_gauges(agent, counters);
             return text(counters.to_text(), "text/plain; version=0.0.4");
         }},
        {"GET", "/admin/status",
         [text, &settings, &agent, &publisher](const http_request&) {
             return text(status_text(settings, agent, *publisher.current()), "application/json");
         }},
    };
}

// Adds the route that serves the configuration document to peers.
void add_config_route(std::vector<http_route>& routes, std::vector<http_route> shared) {
    for (auto& route : shared) {
        if (route.path == "/internal/config") {
            routes.push_back(std::move(route));
        }
    }
}

int report_start_failure(const error& failure) {
    log_event(log_level::error, "start_failed", {{"detail", failure.detail}});
    return k_exit_settings;
}

int run(const agent_settings& settings) {
    metrics counters;
    view_publisher publisher;
    agent_ports ports;
    ports.view = [&publisher] { return publisher.current(); };
    std::unique_ptr<node_control> control;
    if (settings.store_address.empty()) {
        publish_static_view(settings, publisher, ports);
    } else {
        auto opened = node_control::start(control_options_of(settings), counters, publisher,
                                          [](const node_id&, const order_message&) {});
        if (!opened) {
            return report_start_failure(opened.error());
        }
        control = std::move(*opened);
        ports.current_term = [&control] { return control->current_term(); };
    }

    peer_endpoint_options peer_options;
    peer_options.address = settings.peer_address;
    peer_options.self = settings.self;
    auto peers = peer_endpoint::create(peer_options, counters);
    if (!peers) {
        return report_start_failure(peers.error());
    }
    std::unique_ptr<engine_http> engine;
    std::unique_ptr<service_http> service;
    if (settings.agent.kind == target_kind::engine) {
        engine_http_options options;
        options.address = settings.target_address;
        options.silence.responsive_timeout = settings.engine_silence;
        auto made = engine_http::create(options, counters);
        if (!made) {
            return report_start_failure(made.error());
        }
        engine = std::move(*made);
        ports.engine = engine->port();
    } else {
        service_http_options options;
        options.address = settings.target_address;
        auto made = service_http::create(options, counters);
        if (!made) {
            return report_start_failure(made.error());
        }
        service = std::move(*made);
        ports.service = service->port();
    }
    ports.peer = (*peers)->port();
    ports.count = [&counters](const std::string& name, double by) { counters.count(name, by); };
    const auto agent = agent::create(settings.agent, std::move(ports));

    const auto http_address = parse_endpoint(settings.http_address);
    if (!http_address) {
        return report_start_failure(http_address.error());
    }
    http_server_options http_options;
    http_options.address = http_address->ip;
    http_options.port = http_address->port;
    auto routes = make_routes(settings, *agent, publisher, counters);
    if (control) {
        add_config_route(routes, control->routes(settings.self.node, [] {}));
    }
    const auto http = http_server::start(http_options, std::move(routes));
    if (!http) {
        return report_start_failure(http.error());
    }
    (*peers)->start(agent->events());
    connect_entries(*publisher.current(), (*peers)->port());
    log_event(log_level::info, "started", {{"node", settings.self.node}, {"peer", settings.peer_address}});

    wait_for_stop();
    log_event(log_level::info, "draining");
    if (control) {
        control->control().leave();
    }
    agent->drain();
    const bool is_idle = agent->wait_idle(settings.drain_limit);
    agent->end_work();
    log_event(log_level::info, "stopped", {{"finished_all_work", is_idle ? "true" : "false"}});
    (*peers)->stop();
    if (!is_idle || (engine != nullptr && engine->abandoned() > 0)) {
        // Threads are still blocked in the HTTP client. Waiting for them could outlast the platform's grace
        // period, and destructors of static objects would destroy what they still use.
        std::_Exit(k_exit_ok);
    }
    return k_exit_ok;
}

} // namespace

int run_agent_program(int argc, const char** argv) {
    agent_settings settings;
    program agent_program;
    agent_program.name = "lovage-agent";
    agent_program.summary = "fronts a model engine or a plain service";
    agent_program.configure = [&settings](settings_reader& reader) {
        return read_settings(reader, settings);
    };
    agent_program.run = [&settings] { return run(agent_settings(settings)); };
    return run_program(argc, argv, agent_program);
}

} // namespace lovage
