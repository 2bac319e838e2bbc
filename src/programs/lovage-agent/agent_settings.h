#pragma once

#include "lovage/adapters/settings.h"
#include "lovage/control/fleet_view.h"
#include "lovage/core/messages.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/traffic/agent.h"

#include <string>
#include <vector>

namespace lovage {

/// The settings of an agent (docs/design.md, 10.4).
struct agent_settings {
    hello_message self;
    std::string http_address;
    std::string peer_address;
    std::string gossip_address;
    std::vector<std::string> gossip_seeds;
    /// Empty if the settings below give the fleet instead of a store.
    std::string store_address;
    std::string target_address;
    agent_options agent;
    /// Timeout of a generation that receives nothing while the engine's load endpoint answers.
    milliseconds engine_silence{2'000};
    /// How long the process waits after SIGTERM until work in progress is complete.
    milliseconds drain_limit{600'000};
    /// Members of the fleet if there is no store.
    std::vector<member_info> static_members;
    /// The leader's term if there is no store.
    fencing_number static_term = 0;
};

/// Reads and checks the settings; `reader` collects the problems.
result<void> read_settings(settings_reader& reader, agent_settings& settings);

} // namespace lovage
