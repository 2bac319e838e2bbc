#pragma once

#include "scenario.h"

namespace lovage::scenarios {

/// Runs a scenario of the fleet world in virtual time: the control state of all entries and agents, with
/// gossip, the store, configuration changes, leader election, rollouts and simulated traffic. The result
/// depends only on the scenario and its seed.
run_outcome run_fleet_world(const scenario& scenario_spec);

} // namespace lovage::scenarios
