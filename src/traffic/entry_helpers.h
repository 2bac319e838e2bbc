#pragma once

#include "lovage/control/fleet_view.h"

namespace lovage {

/// Returns whether a member has failed or left, so that no connection to it is kept.
inline bool is_gone(const member_info& member) {
    return member.state == member_state::dead || member.state == member_state::left;
}

} // namespace lovage
