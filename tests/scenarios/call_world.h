#pragma once

#include "scenario.h"

namespace lovage::scenarios {

/// Runs a scenario of the call world in virtual time: one non-idempotent request that its caller sends to
/// several entries, the store with the claim on the request, and agents with their ledgers of calls. The
/// result depends only on the scenario and its seed.
run_outcome run_call_world(const scenario& scenario_spec);

} // namespace lovage::scenarios
