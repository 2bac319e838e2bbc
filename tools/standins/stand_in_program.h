#pragma once

#include "lovage/adapters/http_server.h"
#include "lovage/adapters/log.h"
#include "lovage/adapters/program.h"
#include "lovage/adapters/settings.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace lovage::standins {

/// Serves `routes` at `address` (IP:PORT) until SIGTERM or SIGINT, then calls `stop` and closes the server.
/// Returns the exit code: `k_exit_failure` if the address cannot be used. The address and the port of
/// `options` are replaced.
inline int serve_until_stopped(
    const std::string& address, http_server_options options, std::vector<http_route> routes,
    const std::function<void()>& stop = [] {}) {
    const auto listened = parse_endpoint(address);
    options.address = listened->ip;
    options.port = listened->port;
    const auto server = http_server::start(options, std::move(routes));
    if (!server) {
        log_event(log_level::error, "cannot start", {{"detail", server.error().detail}});
        return k_exit_failure;
    }
    log_event(log_level::info, "listening", {{"address", address}});
    wait_for_stop();
    stop();
    return k_exit_ok;
}

/// The `main` of a stand-in: reads its settings by `configure` and runs it with a copy of them, since
/// `configure` is also called at SIGHUP while the stand-in runs. Returns the exit code.
template <class Settings>
int run_stand_in(int argc, const char** argv, const char* name, const char* summary,
                 result<void> (*configure)(settings_reader&, Settings&), int (*run)(const Settings&)) {
    Settings settings;
    program program;
    program.name = name;
    program.summary = summary;
    program.configure = [&settings, configure](settings_reader& reader) {
        return configure(reader, settings);
    };
    program.run = [&settings, run] { return run(Settings(settings)); };
    return run_program(argc, argv, program);
}

} // namespace lovage::standins
