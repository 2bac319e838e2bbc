#pragma once

#include "lovage/adapters/settings.h"
#include "lovage/core/time.h"
#include "lovage/traffic/entry_service.h"

#include <string>
#include <vector>

namespace lovage {

/// The settings file of an entry (docs/design.md, section 10.4).
struct entry_settings {
    node_id node;
    std::string zone;
    std::string region;
    std::string http_address;
    std::string peer_address;
    std::string gossip_address;
    std::vector<std::string> gossip_seeds;
    std::string store_address;
    /// Limit of callers' requests in progress; each occupies a thread.
    std::uint32_t max_connections = 2'000;
    std::size_t max_body_bytes = 1U << 20U;
    /// How long the process waits after SIGTERM until answers in progress are complete.
    milliseconds grace{25'000};
    entry_options options;

    /// "node role zone region peer_address http_address" for each process.
    std::vector<std::string> static_members;
    /// Path of a configuration file as operators write it.
    std::string static_config;
    /// "name model version" for each service, if there is no `static_config`.
    std::vector<std::string> static_services;
};

/// Reads all settings of an entry; the reader collects the problems.
void read_entry_settings(settings_reader& reader, entry_settings& settings);

} // namespace lovage
