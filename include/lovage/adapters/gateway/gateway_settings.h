#pragma once

#include "lovage/adapters/settings.h"
#include "lovage/core/boot_time.h"
#include "lovage/core/load_policy.h"
#include "lovage/core/memory_budget.h"
#include "lovage/core/read_interval.h"
#include "lovage/core/retry_window.h"
#include "lovage/core/time.h"
#include "lovage/core/version_move.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lovage {

/// The settings file of `lovage-gateway`; docs/settings.md describes each key.
struct gateway_settings {
    std::string node;
    std::string zone;
    std::string region;
    std::string callers_address;
    std::string readiness_address;
    std::string metrics_address;
    std::string store_address;
    /// "ip:port" for reports between gateways; if empty, none are sent or received.
    std::string peers_address;
    /// Addresses of some other gateways, from which the rest are discovered.
    std::vector<std::string> seeds;
    std::size_t max_connections = 1'000;
    /// Memory that the process may use, in MB (1,000,000 bytes).
    double memory_mb = k_default_memory_mb;
    retry_window_limits retries;
    /// Mechanisms for competing and uneven load.
    load_settings load;
    /// How long API keys are accepted after the store last confirmed the configuration.
    milliseconds max_key_staleness{5'000};
    /// How late changes in the store may take effect; `key_staleness` is the setting above.
    freshness_limits freshness;
    move_limits moves;
    /// Time that the platform leaves between SIGTERM and SIGKILL.
    milliseconds grace{8'000};
    /// The values of the file that cannot be used and were replaced.
    std::vector<settings_warning> replaced;
};

/// Reads the settings. The platform fills them in without an operator who could check them, so values that
/// cannot be used are replaced; only the addresses without which nothing can be served are problems.
void read_gateway_settings(settings_reader& reader, gateway_settings& settings);

} // namespace lovage
