#include "lovage/core/load_policy.h"

namespace lovage {

bool limits_prefills(const load_settings& settings, const route_table& table, const std::string& service) {
    if (settings.prefill_limit != mechanism_switch::automatic) {
        return settings.prefill_limit == mechanism_switch::on;
    }
    const auto found = table.services.find(service);
    return found != table.services.end() && found->second.has_streams_of_several_ranks;
}

bool learns_targets(const load_settings& settings, bool states_time_factor) {
    return settings.target_learning == mechanism_switch::on ||
           (settings.target_learning == mechanism_switch::automatic && states_time_factor);
}

} // namespace lovage
