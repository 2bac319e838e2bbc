#pragma once

#include "config_table_reader.h"

#include "lovage/core/fleet_config.h"

namespace lovage {

/// Reads all tables of a configuration file. Adds what is wrong to the problems of `state`, and returns the
/// configuration with defaults in place of what could not be read.
fleet_config read_config_tables(config_parse_state& state, const toml::table& root);

} // namespace lovage
