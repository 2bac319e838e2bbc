#pragma once

#include "scenario.h"

namespace lovage::scenarios {

/// Runs a scenario of the answer world in virtual time: one home entry, which owns the answers and resumes
/// them on other agents, and agents with simulated engines. Deterministic for a given scenario.
run_outcome run_answer_world(const scenario& scenario_spec);

} // namespace lovage::scenarios
