#pragma once

#include "scenario.h"

#include <string>
#include <vector>

namespace lovage::scenarios {

/// Parses a scenario from TOML; `file_name` is used in error messages only. Fails with
/// `invalid_configuration` and the reason, also for unknown keys.
result<scenario> parse_scenario(const std::string& text, const std::string& file_name);

/// Returns the paths of the .toml files in tests/scenarios/cases, sorted by name.
std::vector<std::string> scenario_files();

/// Reads and parses a file. Errors as in `parse_scenario`.
result<scenario> load_scenario(const std::string& path);

/// Returns the scenario's world, seed and events, one line for each event in the syntax of the files.
std::string describe(const scenario& scenario_spec);

} // namespace lovage::scenarios
