#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/route_table.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lovage {

/// Whether a mechanism is in force. `automatic` leaves it to what the configuration and the targets state.
enum class mechanism_switch : std::uint8_t { automatic, on, off };
inline constexpr std::size_t k_mechanism_switch_count = 3;
inline constexpr enum_names<k_mechanism_switch_count> k_mechanism_switch_names{"auto", "on", "off"};
static_assert(static_cast<std::size_t>(mechanism_switch::off) + 1 == k_mechanism_switch_count);

/// Switches of the mechanisms for competing and uneven load.
struct load_settings {
    mechanism_switch prefill_limit = mechanism_switch::automatic;
    mechanism_switch target_learning = mechanism_switch::automatic;
};

/// Returns whether the prefills of a service's engines are limited. Automatic: its streams have more than one
/// rank, so that some of them can be delayed for others.
bool limits_prefills(const load_settings& settings, const route_table& table, const std::string& service);

/// Returns whether the performance of a service's targets decides their share of the load. Automatic: its
/// targets state how long work takes them.
bool learns_targets(const load_settings& settings, bool states_time_factor);

} // namespace lovage
