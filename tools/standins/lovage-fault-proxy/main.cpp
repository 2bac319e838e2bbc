#include "proxy.h"

#include "lovage/adapters/http_server.h"
#include "lovage/adapters/log.h"
#include "lovage/adapters/program.h"
#include "standins/json_http.h"
#include "standins/setting_names.h"
#include "standins/stand_in_program.h"

#include <limits>
#include <memory>

namespace {

using namespace lovage;
using namespace lovage::standins;
using nlohmann::json;

struct settings {
    std::string address;
    std::uint64_t random_seed = 1;
    std::vector<listener_setup> listeners;
};

endpoint read_endpoint(settings_reader& reader, const std::string& key) {
    return parse_endpoint(reader.required_address(key)).value_or(endpoint{});
}

result<void> configure(settings_reader& reader, settings& target) {
    target.address = reader.required_address("address");
    target.random_seed = static_cast<std::uint64_t>(
        reader.integer("random_seed", 1, 0, std::numeric_limits<std::int64_t>::max()));
    for (const auto& name : reader.texts("listeners")) {
        const std::string key = "listener." + name;
        listener_setup setup;
        setup.options.name = name;
        setup.options.protocol =
            read_enum_setting<link_protocol>(reader, key + ".protocol", k_link_protocol_names);
        setup.options.listen = read_endpoint(reader, key + ".listen");
        setup.options.target = read_endpoint(reader, key + ".target");
        setup.rules.push_back(read_rule(reader, key + ".rule"));
        target.listeners.push_back(setup);
    }
    if (target.listeners.empty()) {
        reader.problem("listeners", "one or more names of listeners");
    }
    return {};
}

http_response report(fault_proxy& proxy) {
    json listeners = json::object();
    for (const auto& [name, listener] : proxy.report()) {
        const listener_counts& counts = listener.counts;
        listeners[name] = {{"rules", to_json(listener.rules)},
                           {"connections", counts.connections},
                           {"open", counts.open},
                           {"refused", counts.refused},
                           {"bytes_to_target", counts.bytes_to_target},
                           {"bytes_to_client", counts.bytes_to_client},
                           {"datagrams_lost", counts.datagrams_lost}};
    }
    return json_response({{"listeners", listeners}});
}

// Handles GET and POST /rules. The body of a POST maps names of listeners, or "*" for all, to lists of rules.
http_response handle_rules(fault_proxy& proxy, const http_request& incoming) {
    if (incoming.method == "POST") {
        std::map<std::string, std::vector<link_rule>> changes;
        for (const auto& [name, list] : json::parse(incoming.body).get<std::map<std::string, json>>()) {
            auto rules = rules_from_json(list);
            if (!rules) {
                return invalid_response(rules.error().detail);
            }
            changes[name] = std::move(*rules);
        }
        if (const auto changed = proxy.set_rules(changes); !changed) {
            return error_response(changed.error(), false);
        }
    }
    return report(proxy);
}

int run(const settings& settings) {
    auto started = fault_proxy::start(settings.listeners, settings.random_seed);
    if (!started) {
        log_event(log_level::error, "cannot start", {{"detail", started.error().detail}});
        return k_exit_failure;
    }
    const std::shared_ptr<fault_proxy> proxy(std::move(*started));
    const auto rules =
        with_error_response([proxy](const http_request& incoming) { return handle_rules(*proxy, incoming); });
    const auto health = [](const http_request&) { return json_response({{"ok", true}}); };
    return serve_until_stopped(
        settings.address, {},
        {{"GET", "/rules", rules}, {"POST", "/rules", rules}, {"GET", "/healthz", health}});
}

} // namespace

int main(int argc, const char** argv) {
    return lovage::standins::run_stand_in(argc, argv, "lovage-fault-proxy",
                                          "TCP and UDP proxy that injects network faults", configure, run);
}
