#include "lovage/adapters/gateway/target_status_document.h"

#include <nlohmann/json.hpp>

namespace lovage {

std::string encode_target_status(const std::string& node, const std::vector<target_status>& targets) {
    auto withheld = nlohmann::json::array();
    for (const auto& [target, state, left] : targets) {
        withheld.push_back({{"target", target.id},
                            {"service", target.service},
                            {"zone", target.zone},
                            {"state", name_of(k_acceptance_names, state)},
                            {"phase", name_of(k_target_phase_names, target.phase)},
                            {"started_ms", target.started_ms},
                            {"left_ms", left.count()}});
    }
    return nlohmann::json{{"node", node}, {"withheld", withheld}}.dump() + "\n";
}

} // namespace lovage
