#include "routes.h"

#include "lovage/adapters/log.h"
#include "lovage/adapters/program.h"
#include "standins/stand_in_program.h"

namespace {

using namespace lovage;

constexpr std::int64_t k_max_bytes = 1'000'000'000'000;

result<void> configure(settings_reader& settings, fake_platform::platform_options& options) {
    options.address = settings.address("http.address", options.address);
    options.read_rate = settings.number("store.read_rate", options.read_rate, 0, 1e9);
    options.write_rate = settings.number("store.write_rate", options.write_rate, 0, 1e9);
    options.vms_lag =
        settings.duration_ms("vms.lag_ms", options.vms_lag, milliseconds(0), milliseconds(600'000));
    options.weights_bytes_per_second = static_cast<std::uint64_t>(
        settings.integer("weights.bytes_per_second",
                         static_cast<std::int64_t>(options.weights_bytes_per_second), 1, k_max_bytes));
    options.weights_bytes_per_version = static_cast<std::uint64_t>(
        settings.integer("weights.bytes_per_version",
                         static_cast<std::int64_t>(options.weights_bytes_per_version), 0, k_max_bytes));
    return {};
}

int run(const fake_platform::platform_options& options) {
    fake_platform::platform platform(options);
    const auto address = parse_endpoint(options.address);
    http_server_options server_options;
    server_options.address = address->ip;
    server_options.port = address->port;
    server_options.idle_timeout_s = 600;
    auto server = http_server::start(server_options, fake_platform::make_routes(platform));
    if (!server) {
        log_event(log_level::error, "not_listening", {{"reason", server.error().detail}});
        return k_exit_failure;
    }
    log_event(log_level::info, "listening", {{"address", options.address}});
    wait_for_stop();
    platform.stop();
    log_event(log_level::info, "stopping");
    return k_exit_ok;
}

} // namespace

int main(int argc, const char** argv) {
    return lovage::standins::run_stand_in(
        argc, argv, "lovage-fake-platform",
        "Test stand-in for the platform: key-value store, VM list and weight store.", configure, run);
}
