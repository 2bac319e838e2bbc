#pragma once

#include "lovage/control/fleet_view.h"

#include <string>

namespace lovage {

/// The model version for a new answer, and the version to use if no live target has the first one loaded.
struct version_choice {
    std::string version;
    std::string fallback;
};

/// The version of `model` for a new answer to `request`. This is the configured version, unless a move
/// (rollout of a new version) applies: in phase `canary` or `growing` its share of request ids gets the new
/// version, and in phase `landed` all do. A vetoed move, and one that has not landed by its deadline, has no
/// effect. Both versions are empty if the configuration has no such model.
version_choice serving_version(const fleet_view& view, const std::string& model, const request_id& request,
                               wall_time now);

} // namespace lovage
