#include "lovage/adapters/gateway/gateway_settings.h"

#include <algorithm>

namespace lovage {

namespace {

// File descriptors reserved for files, the store, listeners and connections to targets; half of them all if
// there are few.
constexpr std::int64_t k_reserved_descriptors = 400;
// Each connection of a caller takes one of the other descriptors, and its request another one for the target.
constexpr std::int64_t k_descriptors_per_caller = 2;
constexpr std::int64_t k_default_descriptors = 4'096;
constexpr std::int64_t k_min_descriptors = 64;
constexpr std::int64_t k_max_descriptors = 1'000'000;
// The process itself takes about half of the least value.
constexpr double k_min_memory_mb = 32.0;
constexpr double k_max_memory_mb = 1e6;
constexpr milliseconds k_millisecond{1};
constexpr milliseconds k_second{1'000};
constexpr milliseconds k_max_duration{86'400'000};
// The store confirms the configuration every few hundred milliseconds at best.
constexpr milliseconds k_min_key_staleness{1'000};
constexpr milliseconds k_min_retry_window{1'000};
constexpr milliseconds k_min_heartbeat{100};
constexpr double k_max_retry_ratio = 100.0;
constexpr double k_max_request_count = 1e6;

mechanism_switch read_switch(settings_reader& reader, const std::string& key) {
    const std::vector<std::string_view> names(k_mechanism_switch_names.begin(),
                                              k_mechanism_switch_names.end());
    const auto fallback = static_cast<std::size_t>(mechanism_switch::automatic);
    return static_cast<mechanism_switch>(reader.usable_choice(key, names, fallback));
}

std::size_t connections_for(std::int64_t descriptors) {
    const auto reserved = std::min(k_reserved_descriptors, descriptors / 2);
    return static_cast<std::size_t>((descriptors - reserved) / k_descriptors_per_caller);
}

} // namespace

void read_gateway_settings(settings_reader& reader, gateway_settings& settings) {
    settings = {};
    reader.allow_unknown_keys();
    settings.callers_address = reader.required_address("callers.address");
    settings.readiness_address = reader.required_address("readiness.address");
    settings.store_address = reader.required_address("store.address");
    settings.node = reader.usable_text("node", settings.callers_address);
    settings.zone = reader.usable_text("zone", "");
    settings.region = reader.usable_text("region", "");
    settings.metrics_address = reader.usable_address("metrics.address");
    settings.peers_address = reader.usable_address("peers.address");
    settings.seeds = reader.usable_addresses("peers.seeds");
    settings.max_connections = connections_for(static_cast<std::int64_t>(reader.usable_number(
        "limits.descriptors", k_default_descriptors, k_min_descriptors, k_max_descriptors)));
    settings.memory_mb =
        reader.usable_number("limits.memory_mb", settings.memory_mb, k_min_memory_mb, k_max_memory_mb);
    auto& retries = settings.retries;
    retries.ratio = reader.usable_number("retries.ratio", retries.ratio, 0.0, k_max_retry_ratio);
    retries.fixed = reader.usable_number("retries.fixed", 100.0, 0.0, k_max_request_count);
    retries.window = reader.usable_duration("retries.window_s", k_second, retries.window, k_min_retry_window,
                                            k_max_duration);
    settings.load.prefill_limit = read_switch(reader, "load.prefill_limit");
    settings.load.target_learning = read_switch(reader, "load.target_learning");
    settings.max_key_staleness = reader.usable_duration(
        "keys.trust_ms", k_millisecond, settings.max_key_staleness, k_min_key_staleness, k_max_duration);
    auto& freshness = settings.freshness;
    freshness.drain = reader.usable_duration("freshness.drain_ms", k_millisecond, freshness.drain,
                                             k_millisecond, k_max_duration);
    freshness.config = reader.usable_duration("freshness.config_ms", k_millisecond, freshness.config,
                                              k_millisecond, k_max_duration);
    freshness.target_heartbeat = reader.usable_duration(
        "targets.heartbeat_ms", k_millisecond, freshness.target_heartbeat, k_min_heartbeat, k_max_duration);
    freshness.key_staleness = settings.max_key_staleness;
    auto& moves = settings.moves;
    moves.bad_share = reader.usable_number("moves.bad_share", moves.bad_share, 0.0, 1.0);
    moves.bad_fixed = reader.usable_number("moves.bad_fixed", moves.bad_fixed, 0.0, k_max_request_count);
    settings.grace =
        reader.usable_duration("stop.grace_s", k_second, settings.grace, milliseconds(0), k_max_duration);
    settings.replaced = reader.warnings();
}

} // namespace lovage
