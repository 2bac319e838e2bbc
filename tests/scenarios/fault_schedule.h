#pragma once

#include "scenario.h"

#include <cstdint>
#include <functional>

namespace lovage::scenarios {

/// Returns a scenario of `world` with random faults; the same seed gives the same scenario.
scenario generate_scenario(world_kind world, std::uint64_t seed);

/// Returns a minimal failing scenario: removes events one at a time as long as `fails` still returns true for
/// the rest. `failing` must fail.
scenario shrink_scenario(scenario failing, const std::function<bool(const scenario&)>& fails);

} // namespace lovage::scenarios
