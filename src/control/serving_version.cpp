#include "lovage/control/serving_version.h"

#include <algorithm>
#include <limits>

namespace lovage {

namespace {

bool is_vetoed(const fleet_view& view, const std::string& move) {
    return std::find(view.vetoed_moves.begin(), view.vetoed_moves.end(), move) != view.vetoed_moves.end();
}

// Maps the request id to a uniform position between 0 and 1; requests at positions below the share get the
// new version. The move's id is the hash seed, so that different moves select different requests.
double position_of(const request_id& request, const std::string& move) {
    const std::uint64_t hash = hash_bytes(request.to_string(), hash_bytes(move));
    return static_cast<double>(hash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

// Share of requests that get the move's new version at `now`.
double share_of(const move_record& move, wall_time now) {
    switch (move.phase) {
    case move_phase::canary:
    case move_phase::growing:
        return move.deadline == wall_time{} || now < move.deadline ? move.share : 0.0;
    case move_phase::landed:
        return 1.0;
    case move_phase::loading:
    case move_phase::reverted:
        break;
    }
    return 0.0;
}

} // namespace

version_choice serving_version(const fleet_view& view, const std::string& model, const request_id& request,
                               wall_time now) {
    if (!view.config) {
        return {};
    }
    const auto& models = view.config->models;
    const auto found = std::find_if(models.begin(), models.end(),
                                    [&model](const model_config& entry) { return entry.name == model; });
    if (found == models.end()) {
        return {};
    }
    version_choice choice{found->version, found->version};
    for (const auto& move : view.moves) {
        // A later configuration that sets another version supersedes the move.
        if (move.model != model || move.from != found->version || is_vetoed(view, move.id)) {
            continue;
        }
        const double share = share_of(move, now);
        if (share >= 1.0 || position_of(request, move.id) < share) {
            choice.version = move.to;
        }
    }
    return choice;
}

} // namespace lovage
