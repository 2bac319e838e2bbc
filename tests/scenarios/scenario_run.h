#pragma once

#include "scenario.h"

#include <string>
#include <vector>

namespace lovage::scenarios {

/// Returns whether `world` implements events of this kind.
bool has_event(world_kind world, event_kind kind);

/// Runs a scenario in virtual time in the world that it names.
run_outcome run_scenario(const scenario& scenario_spec);

/// Returns one message for each violated invariant, each expected invariant that was never evaluated and each
/// end check that does not hold; empty if the run passed.
std::vector<std::string> failures_of(const scenario& scenario_spec, const run_outcome& outcome);

} // namespace lovage::scenarios
