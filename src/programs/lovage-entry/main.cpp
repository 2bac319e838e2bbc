#include "entry_routes.h"
#include "entry_settings.h"
#include "static_view.h"

#include "lovage/adapters/claim_store.h"
#include "lovage/adapters/http_server.h"
#include "lovage/adapters/log.h"
#include "lovage/adapters/metrics.h"
#include "lovage/adapters/node_control.h"
#include "lovage/adapters/peer_endpoint.h"
#include "lovage/adapters/poller.h"
#include "lovage/adapters/program.h"
#include "lovage/control/change_signal.h"
#include "lovage/control/home_change.h"
#include "lovage/core/shutdown_plan.h"
#include "lovage/traffic/entry_service.h"
#include "lovage/traffic/service_caller.h"

#include <random>
#include <variant>

namespace lovage {

namespace {

// Maximum time for sending the final answers at the end of a planned stop.
constexpr milliseconds k_final_answer_time{300};

incarnation start_incarnation() {
    return static_cast<incarnation>(wall_now().time_since_epoch().count());
}

peer_endpoint_options peer_options(const entry_settings& settings, incarnation started) {
    peer_endpoint_options options;
    options.address = settings.peer_address;
    options.self.node = settings.node;
    options.self.incarnation = started;
    options.self.role = node_role::entry;
    options.self.zone = settings.zone;
    options.self.region = settings.region;
    return options;
}

node_control_options control_options_of(const entry_settings& settings, incarnation started) {
    node_control_options options;
    options.store_address = settings.store_address;
    member_info& self = options.control.self;
    self.node = settings.node;
    self.incarnation = started;
    self.role = node_role::entry;
    self.zone = settings.zone;
    self.region = settings.region;
    self.peer_address = settings.peer_address;
    self.http_address = settings.http_address;
    self.gossip_address = settings.gossip_address;
    options.control.seeds = settings.gossip_seeds;
    options.control.may_lead = true;
    options.control.random_seed = std::random_device{}();
    return options;
}

// Forwards every peer message to the service. Load reports, evidence and results of orders go to the control
// thread as well.
peer_events forward_to_control(peer_events events, node_control& control) {
    auto service_handler = std::move(events.on_message);
    events.on_message = [service_handler, &control](const node_id& from, peer_message message) {
        if (const auto* report = std::get_if<load_report_message>(&message)) {
            control.control().post(load_report_event{from, *report});
        } else if (const auto* evidence = std::get_if<evidence_message>(&message)) {
            control.control().post(evidence_event{from, *evidence});
        } else if (const auto* done = std::get_if<order_result_message>(&message)) {
            control.control().post(order_result_event{from, *done});
        }
        service_handler(from, std::move(message));
    };
    return events;
}

claim_store_ports claim_ports(const node_control& control, const std::shared_ptr<view_publisher>& views) {
    return {control.store(), monotonic_now, wall_now, [views] { return entry_failed_at(*views->current()); }};
}

// Sends this entry's evidence about versions to its own control thread and to the leader.
void report_evidence(const entry_settings& settings, const entry_service& service, const peer_port& peers,
                     const view_publisher& views, node_control& control) {
    const auto view = views.current();
    if (!is_evidence_wanted(*view)) {
        return;
    }
    const evidence_message message = service.evidence();
    control.control().post(evidence_event{settings.node, message});
    if (!view->leader.empty() && view->leader != settings.node) {
        // A lost report does no harm, since the next one contains all counts.
        peers.send(view->leader, message);
    }
}

// Waits until callers have been sent elsewhere and the requests in progress are complete, or the grace period
// is nearly over. `changes` is notified when a request or an answer ends.
void drain(const entry_settings& settings, entry_service& service, const http_server& server,
           change_signal& changes) {
    log_event(log_level::info, "leaving", {{"live_answers", std::to_string(service.live_answers())}});
    service.leave();
    const time_point started = monotonic_now();
    shutdown_progress progress;
    progress.grace = settings.grace;
    while (true) {
        progress.since_stop_request = monotonic_now() - started;
        progress.requests = server.open_requests() + service.live_answers();
        const auto phase = plan_shutdown(progress);
        if (phase == shutdown_phase::ending || phase == shutdown_phase::stopped) {
            return;
        }
        changes.wait_until(started + next_shutdown_check(progress));
    }
}

// Waits until the final answers have been sent; closing the server cuts what is left.
void send_final_answers(const http_server& server, change_signal& changes) {
    const time_point end = monotonic_now() + k_final_answer_time;
    while (server.open_requests() > 0 && monotonic_now() < end) {
        changes.wait_until(end);
    }
}

int report_failure(const error& failure) {
    log_event(log_level::error, "cannot start", {{"detail", failure.detail}});
    return k_exit_failure;
}

int run(const entry_settings& settings) {
    metrics counters;
    auto views = std::make_shared<view_publisher>();
    const incarnation started = start_incarnation();
    auto endpoint = peer_endpoint::create(peer_options(settings, started), counters);
    if (!endpoint) {
        return report_failure(endpoint.error());
    }
    std::unique_ptr<node_control> control;
    if (settings.store_address.empty()) {
        auto view = make_static_view(settings, monotonic_now());
        if (!view) {
            return report_failure(view.error());
        }
        views->publish(std::make_shared<const fleet_view>(std::move(*view)));
    } else {
        auto opened = node_control::start(
            control_options_of(settings, started), counters, *views,
            [port = (*endpoint)->port()](const node_id& agent, const order_message& order) {
                port.send(agent, order);
            });
        if (!opened) {
            return report_failure(opened.error());
        }
        control = std::move(*opened);
    }
    change_signal changes;
    entry_options service_options = settings.options;
    service_options.on_answer_ended = [&changes] { changes.notify(); };
    const auto service =
        entry_service::create(service_options, (*endpoint)->port(), views,
                              [&counters](const std::string& name, double by) { counters.count(name, by); });
    const auto claims = control ? std::make_shared<claim_store>(claim_ports(*control, views)) : nullptr;
    service_caller caller(caller_ports(*service, (*endpoint)->port(), views, counters, claims));
    const auto events = caller.wrap_peer_events(service->events());
    (*endpoint)->start(control ? forward_to_control(events, *control) : events);

    const auto address = parse_endpoint(settings.http_address);
    http_server_options options;
    options.address = address->ip;
    options.port = address->port;
    options.max_connections = settings.max_connections;
    options.max_body_bytes = settings.max_body_bytes;
    options.on_request_ended = [&changes] { changes.notify(); };
    auto server =
        http_server::start(options, entry_routes(settings, *service, caller, views, counters, control.get()));
    if (!server) {
        (*endpoint)->stop();
        return report_failure(server.error());
    }
    log_event(log_level::info, "listening",
              {{"http", settings.http_address}, {"peer", settings.peer_address}});
    std::unique_ptr<poller> reporter;
    std::unique_ptr<poller> era_checker;
    if (control) {
        era_checker = std::make_unique<poller>(k_era_check_interval, [claims] { claims->check_era(); });
        reporter = std::make_unique<poller>(k_evidence_report_interval, [&, peers = (*endpoint)->port()] {
            report_evidence(settings, *service, peers, *views, *control);
        });
    }
    wait_for_stop();
    if (control) {
        control->control().leave();
    }
    drain(settings, *service, **server, changes);
    reporter.reset();
    log_event(log_level::info, "requests_ended_by_stop",
              {{"requests", std::to_string((*server)->open_requests())},
               {"live_answers", std::to_string(service->live_answers())}});
    caller.stop();
    era_checker.reset();
    // Agents offer the remaining answers to the entries that own them now.
    (*endpoint)->stop();
    service->stop();
    send_final_answers(**server, changes);
    log_event(log_level::info, "stopped", {{"requests_cut", std::to_string((*server)->open_requests())}});
    server->reset();
    return k_exit_ok;
}

} // namespace

} // namespace lovage

int main(int argc, const char** argv) {
    lovage::entry_settings settings;
    lovage::program program;
    program.name = "lovage-entry";
    program.summary = "Takes callers' requests and owns their answers";
    program.configure = [&settings](lovage::settings_reader& reader) -> lovage::result<void> {
        lovage::read_entry_settings(reader, settings);
        return {};
    };
    program.run = [&settings] { return lovage::run(lovage::entry_settings(settings)); };
    return lovage::run_program(argc, argv, program);
}
