#include "lovage/core/version_split.h"

namespace lovage {

bool is_eligible_for_side(const version_split& split, version_side side, const std::string& target_id,
                          const std::string& version) {
    const bool is_moved = version == split.version;
    if (side == version_side::usual) {
        return !is_moved;
    }
    return is_moved && (split.share >= 1.0 || split.canaries.count(target_id) > 0);
}

} // namespace lovage
