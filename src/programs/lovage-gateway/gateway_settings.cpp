#include "gateway_settings.h"

namespace lovage {

namespace {

// File descriptors reserved for files, the store, listeners and connections to targets.
constexpr std::int64_t k_reserved_descriptors = 400;
// Each connection of a caller takes one of the other descriptors, and its request another one for the target.
constexpr std::int64_t k_descriptors_per_caller = 2;
constexpr std::int64_t k_default_descriptors = 4'096;
constexpr std::int64_t k_max_descriptors = 1'000'000;
constexpr milliseconds k_max_duration{600'000};

} // namespace

void read_gateway_settings(settings_reader& reader, gateway_settings& settings) {
    settings.node = reader.required_text("node");
    settings.zone = reader.required_text("zone");
    settings.region = reader.required_text("region");
    settings.callers_address = reader.required_address("callers.address");
    settings.readiness_address = reader.required_address("readiness.address");
    settings.metrics_address = reader.address("metrics.address", "");
    settings.peers_address = reader.address("peers.address", "");
    settings.seeds = reader.addresses("peers.seeds");
    settings.store_address = reader.required_address("store.address");
    const auto descriptors = reader.integer("limits.descriptors", k_default_descriptors,
                                            k_reserved_descriptors * 2, k_max_descriptors);
    settings.max_connections =
        static_cast<std::size_t>((descriptors - k_reserved_descriptors) / k_descriptors_per_caller);
    settings.retries.ratio = reader.number("retries.ratio", settings.retries.ratio, 0.0, 100.0);
    settings.retries.fixed = reader.number("retries.fixed", 100.0, 0.0, 1e6);
    settings.retries.window = std::chrono::seconds(reader.integer("retries.window_s", 10, 1, 3'600));
    settings.max_key_staleness =
        reader.duration_ms("keys.trust_ms", settings.max_key_staleness, milliseconds(1), k_max_duration);
    settings.freshness.drain =
        reader.duration_ms("freshness.drain_ms", settings.freshness.drain, milliseconds(1), k_max_duration);
    settings.freshness.config =
        reader.duration_ms("freshness.config_ms", settings.freshness.config, milliseconds(1), k_max_duration);
    settings.freshness.target_heartbeat = reader.duration_ms(
        "targets.heartbeat_ms", settings.freshness.target_heartbeat, milliseconds(1), k_max_duration);
    settings.freshness.key_staleness = settings.max_key_staleness;
    settings.moves.bad_share = reader.number("moves.bad_share", settings.moves.bad_share, 0.0, 1.0);
    settings.moves.bad_fixed = reader.number("moves.bad_fixed", settings.moves.bad_fixed, 0.0, 1e6);
    settings.grace = std::chrono::seconds(reader.integer("stop.grace_s", 8, 1, 600));
}

} // namespace lovage
